//! Admission under floods, with a model of the leafs on the paused clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jaycrank_policy::admission::Admission;
use jaycrank_policy::admission::Backpressure;
use jaycrank_policy::admission::Cause;
use jaycrank_policy::admission::Fair;
use jaycrank_policy::admission::Fifo;
use jaycrank_policy::admission::Permit;
use jaycrank_policy::admission::Refused;
use jaycrank_policy::admission::Request;
use jaycrank_settings::Rank;
use jaycrank_settings::Service;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::time::Instant;

const SEED: u64 = 11;
const SLOTS: usize = 10;
const SERVICE_MS: u64 = 50;
/// Queries per second of the model: slots over service time.
const CAPACITY: f64 = 200.0;
const SECONDS: u64 = 10;

/// Leafs as a number of slots, with a queue in front of them.
struct Leafs {
    slots: usize,
    free: Semaphore,
    used: AtomicUsize,
    freed: Arc<Notify>,
}

impl Leafs {
    fn new(slots: usize) -> Arc<Self> {
        Arc::new(Self {
            slots,
            free: Semaphore::new(slots),
            used: AtomicUsize::new(0),
            freed: Arc::new(Notify::new()),
        })
    }

    async fn run(&self, permit: Permit, time: Duration) {
        self.used.fetch_add(1, Ordering::SeqCst);
        permit.mark_dispatched();
        let slot = self.free.acquire().await.unwrap();
        tokio::time::sleep(time).await;
        drop(slot);
        self.used.fetch_sub(1, Ordering::SeqCst);
        self.freed.notify_one();
    }
}

impl Backpressure for Leafs {
    fn can_accept(&self) -> bool {
        self.used.load(Ordering::SeqCst) < self.slots
    }

    fn subscribe(&self) -> Arc<Notify> {
        self.freed.clone()
    }
}

fn service() -> Service {
    let floors = BTreeMap::from([(Rank::Urgent, 0.5), (Rank::Middle, 0.3), (Rank::Least, 0.1)]);
    Service {
        slots: 3,
        connections: 30,
        floors,
        deadline_max_ms: 30_000,
        queue_max: 256,
        weights: BTreeMap::new(),
    }
}

fn request(member: &str, rank: Rank, deadline_ms: u64) -> Request {
    let deadline = Instant::now().into_std() + Duration::from_millis(deadline_ms);
    Request { member: member.into(), rank, deadline }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: usize,
    complete: usize,
    late: usize,
    refused: usize,
}

type Counts = BTreeMap<(Rank, &'static str), Count>;

const DEADLINE_MS: u64 = 400;

/// Offers queries of each member and rank at its rate, in queries per second.
async fn offer(
    admission: Arc<dyn Admission>,
    leafs: Arc<Leafs>,
    load: &[(&'static str, Rank, f64)],
) -> Counts {
    let counts = Arc::new(Mutex::new(Counts::new()));
    let end = Instant::now() + Duration::from_secs(SECONDS);
    let sources = load.iter().enumerate().map(|(index, &(member, rank, rate))| {
        let (admission, leafs, counts) = (admission.clone(), leafs.clone(), counts.clone());
        tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(SEED + index as u64);
            let mut at = Instant::now();
            while at < end {
                tokio::time::sleep_until(at).await;
                at += Duration::from_secs_f64(-random.random::<f64>().max(1e-9).ln() / rate);
                let time = Duration::from_millis(random.random_range(30..=2 * SERVICE_MS - 30));
                let (admission, leafs, counts) = (admission.clone(), leafs.clone(), counts.clone());
                tokio::spawn(async move {
                    let request = request(member, rank, DEADLINE_MS);
                    let deadline = request.deadline;
                    let result = admission.admit(request).await;
                    let refused = result.is_err();
                    if let Ok(permit) = result {
                        leafs.run(permit, time).await;
                    }
                    let late = Instant::now().into_std() > deadline;
                    let mut counts = counts.lock().unwrap();
                    let count = counts.entry((rank, member)).or_default();
                    count.offered += 1;
                    count.refused += usize::from(refused);
                    count.late += usize::from(late);
                    count.complete += usize::from(!refused && !late);
                });
            }
        })
    });
    for source in sources.collect::<Vec<_>>() {
        source.await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(2 * DEADLINE_MS)).await;
    Arc::into_inner(counts).unwrap().into_inner().unwrap()
}

async fn fair(load: &[(&'static str, Rank, f64)]) -> Counts {
    let leafs = Leafs::new(SLOTS);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    offer(admission, leafs, load).await
}

fn rate(count: Count) -> f64 {
    count.complete as f64 / SECONDS as f64
}

/// Guards against urgent work that waits behind a flood of bulk work, and against idle leafs while
/// bulk work is refused.
#[tokio::test(start_paused = true)]
async fn urgent_is_served_under_a_flood_of_the_least() {
    let counts = fair(&[("a", Rank::Urgent, 20.0), ("b", Rank::Least, 10.0 * CAPACITY)]).await;
    let urgent = counts[&(Rank::Urgent, "a")];
    assert_eq!(urgent.complete, urgent.offered, "{counts:?}");
    let least = counts[&(Rank::Least, "b")];
    assert!(rate(least) > 0.9 * (CAPACITY - 20.0), "{counts:?}");
    assert_eq!(least.late, 0, "{counts:?}");
}

/// Guards against lower ranks that lose their floor to a flood of urgent work.
#[tokio::test(start_paused = true)]
async fn floors_are_kept_under_a_flood_of_the_urgent() {
    let counts = fair(&[
        ("a", Rank::Urgent, 10.0 * CAPACITY),
        ("b", Rank::Middle, CAPACITY),
        ("c", Rank::Least, CAPACITY),
    ])
    .await;
    assert!(rate(counts[&(Rank::Middle, "b")]) > 0.9 * 0.3 * CAPACITY, "{counts:?}");
    assert!(rate(counts[&(Rank::Least, "c")]) > 0.9 * 0.1 * CAPACITY, "{counts:?}");
    assert!(rate(counts[&(Rank::Urgent, "a")]) > 0.9 * 0.5 * CAPACITY, "{counts:?}");
}

/// Guards against a member whose flood costs other members their answers.
#[tokio::test(start_paused = true)]
async fn flood_of_one_member_overflows_its_own_queue() {
    let small = ["a", "b", "c", "d", "e", "f", "g"];
    let mut load: Vec<_> = small.map(|member| (member, Rank::Middle, 20.0)).to_vec();
    load.push(("h", Rank::Middle, 10.0 * CAPACITY));
    let counts = fair(&load).await;
    for member in small {
        let count = counts[&(Rank::Middle, member)];
        assert!(count.complete as f64 >= 0.97 * count.offered as f64, "{member}: {counts:?}");
    }
    assert!(rate(counts[&(Rank::Middle, "h")]) > 0.85 * (CAPACITY - 140.0), "{counts:?}");
}

/// Guards against capacity kept free for ranks that have no work.
#[tokio::test(start_paused = true)]
async fn free_capacity_passes_to_the_least() {
    let counts = fair(&[("a", Rank::Least, 10.0 * CAPACITY)]).await;
    assert!(rate(counts[&(Rank::Least, "a")]) > 0.93 * CAPACITY, "{counts:?}");
}

/// Guards against a member of small weight that is never served while others flood.
#[tokio::test(start_paused = true)]
async fn small_weight_is_not_starved() {
    let leafs = Leafs::new(SLOTS);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    let weights = BTreeMap::from([("a".into(), 0.05), ("b".into(), 1.0)]);
    admission.set_allocation([BTreeMap::new(), weights, BTreeMap::new()], 0.0);
    let load = [("a", Rank::Middle, 50.0), ("b", Rank::Middle, 10.0 * CAPACITY)];
    let counts = offer(admission, leafs, &load).await;
    let rate = rate(counts[&(Rank::Middle, "a")]);
    assert!(rate > 0.5 * CAPACITY * 0.05 / 1.05, "{counts:?}");
}

async fn learn(admission: &dyn Admission, leafs: &Leafs) {
    for _ in 0..16 {
        let permit = admission.admit(request("a", Rank::Middle, 1_000)).await.unwrap();
        leafs.run(permit, Duration::from_millis(SERVICE_MS)).await;
    }
}

/// Guards against refusals that are held back until the deadline.
#[tokio::test(start_paused = true)]
async fn queued_work_is_refused_as_soon_as_its_deadline_cannot_be_met() {
    let leafs = Leafs::new(1);
    let admission = Fair::new(&service(), leafs.clone());
    learn(&admission, &leafs).await;
    leafs.used.store(1, Ordering::SeqCst);
    let start = Instant::now();
    let refused = admission.admit(request("a", Rank::Middle, 200)).await.unwrap_err();
    assert_eq!(refused.cause, Cause::Deadline);
    let held = start.elapsed();
    assert!(held <= Duration::from_millis(200 - SERVICE_MS + 2), "held for {held:?}");
    assert!(held >= Duration::from_millis(200 - SERVICE_MS - 2), "held for {held:?}");
}

/// Guards against queueing work whose deadline is shorter than the usual answer time.
#[tokio::test(start_paused = true)]
async fn hopeless_work_is_refused_at_arrival() {
    let leafs = Leafs::new(1);
    let admission = Fair::new(&service(), leafs.clone());
    learn(&admission, &leafs).await;
    let start = Instant::now();
    let refused = admission.admit(request("a", Rank::Middle, 20)).await.unwrap_err();
    assert_eq!(refused.cause, Cause::Deadline);
    assert_eq!(start.elapsed(), Duration::ZERO);
}

async fn stalled() -> (Arc<Leafs>, Arc<Fair>) {
    let leafs = Leafs::new(0);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    (leafs, admission)
}

fn spawn(
    admission: &Arc<Fair>,
    member: &'static str,
    rank: Rank,
) -> tokio::task::JoinHandle<Result<(), Refused>> {
    let admission = admission.clone();
    tokio::spawn(async move { admission.admit(request(member, rank, 10_000)).await.map(drop) })
}

/// Guards against a queue that grows with the load, or that one rank or member fills for others.
#[tokio::test(start_paused = true)]
async fn queue_is_bounded_by_rank_and_member() {
    let (_leafs, admission) = stalled().await;
    for rank in [Rank::Least, Rank::Middle] {
        for member in ["a", "b", "c", "d"] {
            (0..1_000).for_each(|_| drop(spawn(&admission, member, rank)));
            tokio::time::sleep(Duration::from_millis(1)).await;
            let queued = admission.load().queued;
            assert!(queued[rank.index()] <= 85, "{queued:?}");
        }
    }
    let late = spawn(&admission, "late", Rank::Middle);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(!late.is_finished(), "a member without queued work found no place");
    let queued = admission.load().queued;
    assert!(queued.iter().sum::<usize>() <= 256, "{queued:?}");
}

/// Guards against queries of callers that have gone holding places in the queue.
#[tokio::test(start_paused = true)]
async fn query_of_a_caller_that_has_gone_leaves_the_queue() {
    let (_leafs, admission) = stalled().await;
    let query = spawn(&admission, "a", Rank::Middle);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(admission.load().queued, [0, 1, 0]);
    query.abort();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(admission.load().queued, [0, 0, 0]);
}

/// Guards against urgent work within its floor that waits for room, and against a floor that has
/// no bound when there is no room.
#[tokio::test(start_paused = true)]
async fn urgent_within_its_floor_needs_no_room() {
    let (_leafs, admission) = stalled().await;
    let permit = admission.admit(request("a", Rank::Urgent, 100)).await.unwrap();
    assert!(permit.within_floor());
    let queries: Vec<_> = (0..40).map(|_| spawn(&admission, "a", Rank::Urgent)).collect();
    tokio::time::sleep(Duration::from_millis(1)).await;
    let admitted = queries.iter().filter(|query| query.is_finished()).count();
    assert!(admitted < 10, "{admitted} of 40 admitted without room");
}

/// Guards against a draining instance that takes new work or drops queued work.
#[tokio::test(start_paused = true)]
async fn draining_serves_the_queue_and_refuses_the_rest() {
    let leafs = Leafs::new(1);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    leafs.used.store(1, Ordering::SeqCst);
    let queued = spawn(&admission, "a", Rank::Middle);
    tokio::time::sleep(Duration::from_millis(1)).await;
    admission.drain();
    let refused = admission.admit(request("a", Rank::Urgent, 100)).await.unwrap_err();
    assert_eq!(refused.cause, Cause::Draining);
    leafs.used.store(0, Ordering::SeqCst);
    leafs.freed.notify_one();
    assert_eq!(queued.await.unwrap(), Ok(()));
}

/// Guards against a baseline that reorders, sheds early or has no bound.
#[tokio::test(start_paused = true)]
async fn fifo_refuses_only_when_full() {
    let leafs = Leafs::new(SLOTS);
    let admission = Arc::new(Fifo::new(64, leafs.clone()));
    let load = [("a", Rank::Urgent, 20.0), ("b", Rank::Least, 10.0 * CAPACITY)];
    let counts = offer(admission, leafs, &load).await;
    let (urgent, least) = (counts[&(Rank::Urgent, "a")], counts[&(Rank::Least, "b")]);
    assert!(urgent.refused as f64 > 0.8 * urgent.offered as f64, "{counts:?}");
    // The baseline admits queries that are too late to be of use.
    let admitted = (least.complete + least.late) as f64 / SECONDS as f64;
    assert!(admitted > 0.9 * CAPACITY, "{counts:?}");
}

/// Guards against weights that do not count when members flood.
#[tokio::test(start_paused = true)]
async fn flooding_members_are_served_by_weight() {
    let leafs = Leafs::new(SLOTS);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    let weights = BTreeMap::from([("a".into(), 3.0), ("b".into(), 1.0)]);
    admission.set_allocation([BTreeMap::new(), weights, BTreeMap::new()], 0.0);
    let load = [("a", Rank::Middle, 5.0 * CAPACITY), ("b", Rank::Middle, 5.0 * CAPACITY)];
    let counts = offer(admission, leafs, &load).await;
    let ratio = rate(counts[&(Rank::Middle, "a")]) / rate(counts[&(Rank::Middle, "b")]);
    assert!((2.5..3.5).contains(&ratio), "{ratio}: {counts:?}");
}

/// Guards against a member that saves up credit while it is idle and then shuts out the others.
#[tokio::test(start_paused = true)]
async fn idle_member_saves_up_no_credit() {
    let leafs = Leafs::new(1);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    for _ in 0..100 {
        drop(admission.admit(request("b", Rank::Middle, 10_000)).await.unwrap());
    }
    leafs.used.store(1, Ordering::SeqCst);
    let order = Arc::new(Mutex::new(Vec::new()));
    for index in 0..20 {
        let (admission, leafs, order) = (admission.clone(), leafs.clone(), order.clone());
        let member = if index % 2 == 0 { "a" } else { "b" };
        tokio::spawn(async move {
            let permit = admission.admit(request(member, Rank::Middle, 10_000)).await.unwrap();
            order.lock().unwrap().push(member);
            leafs.run(permit, Duration::from_millis(SERVICE_MS)).await;
        });
    }
    tokio::time::sleep(Duration::from_millis(1)).await;
    leafs.used.store(0, Ordering::SeqCst);
    leafs.freed.notify_one();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let order = order.lock().unwrap();
    assert_eq!(order.len(), 20);
    let first = order[..10].iter().filter(|member| **member == "a").count();
    assert!((4..=6).contains(&first), "{order:?}");
}
