//! Admission control under overload, with simulated leafs on a paused clock.

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
const LEAF_SLOTS: usize = 10;
/// Mean service time of a query.
const SERVICE_MS: u64 = 50;
/// Queries per second that the simulated leafs complete: slots over mean service time.
const CAPACITY_PER_S: f64 = 200.0;
const DURATION_S: u64 = 10;

/// Simulated leafs: a number of slots with a queue in front.
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

/// Offers queries of each member and rank as a Poisson process with its rate per second.
async fn offer(
    admission: Arc<dyn Admission>,
    leafs: Arc<Leafs>,
    load: &[(&'static str, Rank, f64)],
) -> Counts {
    let counts = Arc::new(Mutex::new(Counts::new()));
    let end = Instant::now() + Duration::from_secs(DURATION_S);
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

async fn offer_fair(load: &[(&'static str, Rank, f64)]) -> Counts {
    let leafs = Leafs::new(LEAF_SLOTS);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    offer(admission, leafs, load).await
}

/// Returns the complete answers per second.
fn goodput(count: Count) -> f64 {
    count.complete as f64 / DURATION_S as f64
}

/// Guards against urgent queries that wait behind a flood of bulk queries, and against idle leafs
/// while bulk queries are refused.
#[tokio::test(start_paused = true)]
async fn urgent_queries_are_served_during_a_flood_of_the_least_urgent() {
    let counts =
        offer_fair(&[("a", Rank::Urgent, 20.0), ("b", Rank::Least, 10.0 * CAPACITY_PER_S)]).await;
    let urgent = counts[&(Rank::Urgent, "a")];
    assert_eq!(urgent.complete, urgent.offered, "{counts:?}");
    let least = counts[&(Rank::Least, "b")];
    assert!(goodput(least) > 0.9 * (CAPACITY_PER_S - 20.0), "{counts:?}");
    assert_eq!(least.late, 0, "{counts:?}");
}

/// Guards against lower ranks that lose their floors to a flood of urgent queries.
#[tokio::test(start_paused = true)]
async fn floors_are_kept_during_a_flood_of_urgent_queries() {
    let counts = offer_fair(&[
        ("a", Rank::Urgent, 10.0 * CAPACITY_PER_S),
        ("b", Rank::Middle, CAPACITY_PER_S),
        ("c", Rank::Least, CAPACITY_PER_S),
    ])
    .await;
    assert!(goodput(counts[&(Rank::Middle, "b")]) > 0.9 * 0.3 * CAPACITY_PER_S, "{counts:?}");
    assert!(goodput(counts[&(Rank::Least, "c")]) > 0.9 * 0.1 * CAPACITY_PER_S, "{counts:?}");
    assert!(goodput(counts[&(Rank::Urgent, "a")]) > 0.9 * 0.5 * CAPACITY_PER_S, "{counts:?}");
}

/// Guards against a member whose flood displaces the queries of other members.
#[tokio::test(start_paused = true)]
async fn flood_of_one_member_fills_only_its_own_queue() {
    let small = ["a", "b", "c", "d", "e", "f", "g"];
    let mut load: Vec<_> = small.map(|member| (member, Rank::Middle, 20.0)).to_vec();
    load.push(("h", Rank::Middle, 10.0 * CAPACITY_PER_S));
    let counts = offer_fair(&load).await;
    for member in small {
        let count = counts[&(Rank::Middle, member)];
        assert!(count.complete as f64 >= 0.97 * count.offered as f64, "{member}: {counts:?}");
    }
    assert!(goodput(counts[&(Rank::Middle, "h")]) > 0.85 * (CAPACITY_PER_S - 140.0), "{counts:?}");
}

/// Guards against capacity that is reserved for ranks without queries.
#[tokio::test(start_paused = true)]
async fn unused_floors_are_available_to_the_least_urgent_rank() {
    let counts = offer_fair(&[("a", Rank::Least, 10.0 * CAPACITY_PER_S)]).await;
    assert!(goodput(counts[&(Rank::Least, "a")]) > 0.93 * CAPACITY_PER_S, "{counts:?}");
}

/// Guards against starvation of a member of small weight while others flood.
#[tokio::test(start_paused = true)]
async fn member_of_small_weight_is_not_starved() {
    let leafs = Leafs::new(LEAF_SLOTS);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    let weights = BTreeMap::from([("a".into(), 0.05), ("b".into(), 1.0)]);
    admission.set_allocation([BTreeMap::new(), weights, BTreeMap::new()], 0.0);
    let load = [("a", Rank::Middle, 50.0), ("b", Rank::Middle, 10.0 * CAPACITY_PER_S)];
    let counts = offer(admission, leafs, &load).await;
    let goodput = goodput(counts[&(Rank::Middle, "a")]);
    assert!(goodput > 0.5 * CAPACITY_PER_S * 0.05 / 1.05, "{counts:?}");
}

/// Runs queries until the median service time is known.
async fn record_service_times(admission: &dyn Admission, leafs: &Leafs) {
    for _ in 0..16 {
        let permit = admission.admit(request("a", Rank::Middle, 1_000)).await.unwrap();
        leafs.run(permit, Duration::from_millis(SERVICE_MS)).await;
    }
}

/// Guards against queries that are refused only at their deadlines, although they could be refused
/// as soon as the remaining time is shorter than queries usually take.
#[tokio::test(start_paused = true)]
async fn queued_query_is_refused_as_soon_as_its_deadline_cannot_be_met() {
    let leafs = Leafs::new(1);
    let admission = Fair::new(&service(), leafs.clone());
    record_service_times(&admission, &leafs).await;
    leafs.used.store(1, Ordering::SeqCst);
    let start = Instant::now();
    let refused = admission.admit(request("a", Rank::Middle, 200)).await.unwrap_err();
    assert_eq!(refused.cause, Cause::Deadline);
    let waited = start.elapsed();
    assert!(waited <= Duration::from_millis(200 - SERVICE_MS + 2), "waited for {waited:?}");
    assert!(waited >= Duration::from_millis(200 - SERVICE_MS - 2), "waited for {waited:?}");
}

/// Guards against queueing queries that have less time left than queries usually take.
#[tokio::test(start_paused = true)]
async fn query_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let leafs = Leafs::new(1);
    let admission = Fair::new(&service(), leafs.clone());
    record_service_times(&admission, &leafs).await;
    let start = Instant::now();
    let refused = admission.admit(request("a", Rank::Middle, 20)).await.unwrap_err();
    assert_eq!(refused.cause, Cause::Deadline);
    assert_eq!(start.elapsed(), Duration::ZERO);
}

/// Creates an admission whose leafs never accept a query.
async fn admission_without_slots() -> (Arc<Leafs>, Arc<Fair>) {
    let leafs = Leafs::new(0);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    (leafs, admission)
}

fn spawn_query(
    admission: &Arc<Fair>,
    member: &'static str,
    rank: Rank,
) -> tokio::task::JoinHandle<Result<(), Refused>> {
    let admission = admission.clone();
    tokio::spawn(async move { admission.admit(request(member, rank, 10_000)).await.map(drop) })
}

/// Guards against a queue that grows with the load, or that one rank or member fills completely.
#[tokio::test(start_paused = true)]
async fn queue_is_bounded_by_rank_and_member() {
    let (_leafs, admission) = admission_without_slots().await;
    for rank in [Rank::Least, Rank::Middle] {
        for member in ["a", "b", "c", "d"] {
            (0..1_000).for_each(|_| drop(spawn_query(&admission, member, rank)));
            tokio::time::sleep(Duration::from_millis(1)).await;
            let queued = admission.load().queued;
            assert!(queued[rank.index()] <= 85, "{queued:?}");
        }
    }
    let newcomer = spawn_query(&admission, "late", Rank::Middle);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert!(!newcomer.is_finished(), "a member without queued queries is refused");
    let queued = admission.load().queued;
    assert!(queued.iter().sum::<usize>() <= 256, "{queued:?}");
}

/// Guards against queries that stay queued after their callers have stopped waiting.
#[tokio::test(start_paused = true)]
async fn cancelled_query_is_removed_from_the_queue() {
    let (_leafs, admission) = admission_without_slots().await;
    let query = spawn_query(&admission, "a", Rank::Middle);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(admission.load().queued, [0, 1, 0]);
    query.abort();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(admission.load().queued, [0, 0, 0]);
}

/// Guards against urgent queries within their floor that wait for back-pressure to end, and against
/// an unbounded number of them during back-pressure.
#[tokio::test(start_paused = true)]
async fn urgent_queries_within_their_floor_bypass_back_pressure() {
    let (_leafs, admission) = admission_without_slots().await;
    let permit = admission.admit(request("a", Rank::Urgent, 100)).await.unwrap();
    assert!(permit.within_floor());
    let queries: Vec<_> = (0..40).map(|_| spawn_query(&admission, "a", Rank::Urgent)).collect();
    tokio::time::sleep(Duration::from_millis(1)).await;
    let admitted = queries.iter().filter(|query| query.is_finished()).count();
    assert!(admitted < 10, "{admitted} of 40 admitted despite back-pressure");
}

/// Guards against a draining instance that accepts new queries or drops queued ones.
#[tokio::test(start_paused = true)]
async fn draining_serves_queued_queries_and_refuses_new_ones() {
    let leafs = Leafs::new(1);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    leafs.used.store(1, Ordering::SeqCst);
    let queued = spawn_query(&admission, "a", Rank::Middle);
    tokio::time::sleep(Duration::from_millis(1)).await;
    admission.drain();
    let refused = admission.admit(request("a", Rank::Urgent, 100)).await.unwrap_err();
    assert_eq!(refused.cause, Cause::Draining);
    leafs.used.store(0, Ordering::SeqCst);
    leafs.freed.notify_one();
    assert_eq!(queued.await.unwrap(), Ok(()));
}

/// Guards against a baseline that reorders queries, sheds early or has no bound.
#[tokio::test(start_paused = true)]
async fn fifo_refuses_only_when_full() {
    let leafs = Leafs::new(LEAF_SLOTS);
    let admission = Arc::new(Fifo::new(64, leafs.clone()));
    let load = [("a", Rank::Urgent, 20.0), ("b", Rank::Least, 10.0 * CAPACITY_PER_S)];
    let counts = offer(admission, leafs, &load).await;
    let (urgent, least) = (counts[&(Rank::Urgent, "a")], counts[&(Rank::Least, "b")]);
    assert!(urgent.refused as f64 > 0.8 * urgent.offered as f64, "{counts:?}");
    // The baseline also admits queries that can't meet their deadlines.
    let admitted = (least.complete + least.late) as f64 / DURATION_S as f64;
    assert!(admitted > 0.9 * CAPACITY_PER_S, "{counts:?}");
}

/// Guards against weights that have no effect while members flood.
#[tokio::test(start_paused = true)]
async fn flooding_members_are_served_by_weight() {
    let leafs = Leafs::new(LEAF_SLOTS);
    let admission = Arc::new(Fair::new(&service(), leafs.clone()));
    let weights = BTreeMap::from([("a".into(), 3.0), ("b".into(), 1.0)]);
    admission.set_allocation([BTreeMap::new(), weights, BTreeMap::new()], 0.0);
    let load =
        [("a", Rank::Middle, 5.0 * CAPACITY_PER_S), ("b", Rank::Middle, 5.0 * CAPACITY_PER_S)];
    let counts = offer(admission, leafs, &load).await;
    let ratio = goodput(counts[&(Rank::Middle, "a")]) / goodput(counts[&(Rank::Middle, "b")]);
    assert!((2.5..3.5).contains(&ratio), "{ratio}: {counts:?}");
}

/// Guards against a member that accumulates credit while idle and then blocks the others.
#[tokio::test(start_paused = true)]
async fn idle_member_accumulates_no_credit() {
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
