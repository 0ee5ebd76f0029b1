//! Admission control, counting and allocation together, in six instances that share the slots of a
//! service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jaycrank_policy::Tally;
use jaycrank_policy::admission::Admission;
use jaycrank_policy::admission::Backpressure;
use jaycrank_policy::admission::Fair;
use jaycrank_policy::admission::Request;
use jaycrank_policy::share;
use jaycrank_policy::share::Input;
use jaycrank_policy::tally::Counters;
use jaycrank_policy::tally::Key;
use jaycrank_policy::tally::Outcome;
use jaycrank_settings::Rank;
use jaycrank_settings::Service;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::format_smolstr;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::time::Instant;

const SEED: u64 = 14;
const SLOTS: f64 = 90.0;
/// Queries per second that the slots complete in 50 ms each.
const CAPACITY_PER_S: f64 = 1_800.0;
/// Queries per second of each member that offers little.
const SMALL_RATE: f64 = 200.0;
const DURATION_S: f64 = 4.0;
/// Time until demand and allocation are stable, which is not counted.
const WARM_UP_S: f64 = 1.0;
const SERVICE: &str = "reel-history";

/// Slots allocated to one instance.
struct AllocatedSlots {
    slots: Mutex<f64>,
    used: AtomicUsize,
    freed: Arc<Notify>,
}

impl Backpressure for AllocatedSlots {
    fn can_accept(&self) -> bool {
        (self.used.load(Ordering::SeqCst) as f64) < *self.slots.lock().unwrap()
    }

    fn subscribe(&self) -> Arc<Notify> {
        self.freed.clone()
    }
}

struct Instance {
    allocated: Arc<AllocatedSlots>,
    admission: Fair,
    counters: Counters,
}

impl Instance {
    fn new() -> Arc<Self> {
        let service = Service {
            slots: 3,
            connections: 30,
            floors: BTreeMap::from([(Rank::Urgent, 0.5), (Rank::Middle, 0.3)]),
            deadline_max_ms: 30_000,
            queue_max: 256,
            weights: BTreeMap::new(),
        };
        let slots = Mutex::new(SLOTS / 6.0);
        let freed = Arc::new(Notify::new());
        let allocated = Arc::new(AllocatedSlots { slots, used: AtomicUsize::new(0), freed });
        let admission = Fair::new(&service, allocated.clone());
        Arc::new(Self { allocated, admission, counters: Counters::new() })
    }

    async fn query(&self, member: &'static str, leafs: &Semaphore) {
        let now = Instant::now();
        let counter = self.counters.counter(&Key::new(SERVICE, Rank::Middle, member));
        counter.count_offered(now.into_std());
        let deadline = now.into_std() + Duration::from_millis(400);
        let request = Request { member: member.into(), rank: Rank::Middle, deadline };
        let Ok(permit) = self.admission.admit(request).await else {
            counter.count_outcome(Outcome::Refused, now.elapsed());
            return;
        };
        counter.count_admitted();
        self.allocated.used.fetch_add(1, Ordering::SeqCst);
        permit.mark_dispatched();
        let slot = leafs.acquire().await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(slot);
        self.allocated.used.fetch_sub(1, Ordering::SeqCst);
        self.allocated.freed.notify_one();
        counter.count_outcome(Outcome::Complete, now.elapsed());
    }
}

/// Exchanges the demand between the instances and sets their allocations.
fn exchange(instances: &[Arc<Instance>]) {
    let now = Instant::now().into_std();
    let mut input = Input { floors: [0.5, 0.3, 0.0], capacity: CAPACITY_PER_S, ..Input::default() };
    for (index, instance) in instances.iter().enumerate() {
        let demand = instance.counters.demand(now).remove(SERVICE).unwrap_or_default();
        input = input.with_instance(format_smolstr!("entry-{index}"), demand);
    }
    let allocation = share::allocate(&input);
    for (index, instance) in instances.iter().enumerate() {
        let name = format_smolstr!("entry-{index}");
        let fraction = allocation.fractions[&name];
        *instance.allocated.slots.lock().unwrap() = SLOTS * fraction;
        let weights = allocation.weights(&input, &name);
        instance.admission.set_allocation(weights, CAPACITY_PER_S * fraction);
    }
}

fn total(instances: &[Arc<Instance>], member: &str) -> Tally {
    let mut total = Tally::default();
    let key = Key::new(SERVICE, Rank::Middle, member);
    instances.iter().for_each(|instance| total.add(&instance.counters.counter(&key).tally()));
    total
}

/// Guards against a member that takes capacity from members with small demand by offering more than
/// twice the capacity through two of six instances, and against capacity that stays unused.
#[tokio::test(start_paused = true)]
async fn flood_through_two_of_six_instances_does_not_affect_other_members() {
    let small = ["a", "b", "c", "d", "e", "f", "g"];
    let instances: Vec<_> = (0..6).map(|_| Instance::new()).collect();
    let leafs = Arc::new(Semaphore::new(SLOTS as usize));
    let end = Instant::now() + Duration::from_secs_f64(DURATION_S);
    let sources =
        small.iter().map(|member| (*member, SMALL_RATE, 6)).chain([("h", 20.0 * SMALL_RATE, 2)]);
    for (index, (member, rate, instance_count)) in sources.enumerate() {
        let (instances, leafs) = (instances.clone(), leafs.clone());
        tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(SEED + index as u64);
            let mut at = Instant::now();
            while at < end {
                tokio::time::sleep_until(at).await;
                at += Duration::from_secs_f64(-random.random::<f64>().max(1e-9).ln() / rate);
                let instance = instances[random.random_range(0..instance_count)].clone();
                let leafs = leafs.clone();
                tokio::spawn(async move { instance.query(member, &leafs).await });
            }
        });
    }
    let mut before = BTreeMap::new();
    for round in 1..=(DURATION_S * 4.0) as u32 {
        tokio::time::sleep(Duration::from_millis(250)).await;
        exchange(&instances);
        if f64::from(round) == WARM_UP_S * 4.0 {
            before = small.iter().chain(&["h"]).map(|m| (*m, total(&instances, m))).collect();
        }
    }
    for member in small {
        let (before, after) = (before[member], total(&instances, member));
        let (offered, refused) = (after.offered - before.offered, after.refused - before.refused);
        assert!(refused as f64 <= 0.03 * offered as f64, "{member}: {refused} of {offered}");
    }
    let complete = total(&instances, "h").complete - before["h"].complete;
    let rate = complete as f64 / (DURATION_S - WARM_UP_S);
    let left = CAPACITY_PER_S - 7.0 * SMALL_RATE;
    assert!(rate > 0.85 * left, "{rate} of {left} per second left for the flooding member");
    let slots: Vec<_> = instances.iter().map(|i| *i.allocated.slots.lock().unwrap()).collect();
    assert!(
        slots[0].min(slots[1]) > 1.3 * slots[2..].iter().copied().fold(0.0, f64::max),
        "{slots:?}"
    );
}
