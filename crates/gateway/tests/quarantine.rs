//! Tests of requests that crash the leafs that run them, and of leafs that crash without one.

mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::call;
use common::call_from;
use common::config;
use common::entry;
use common::eventually;
use common::free_address;
use common::get;
use common::options;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_policy::quarantine::State;
use jaycrank_standin::Catalog;
use jaycrank_standin::Server;
use jaycrank_standin::server::Crash;
use jaycrank_standin::server::Manner;
use jaycrank_standin::server::Reaction;
use jaycrank_standin::server::Request;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

const INSTANCES: usize = 3;
const LEAFS: usize = 6;
/// Number of times that a request that crashes leafs is sent.
const SENDS: usize = 200;
/// Most leafs that such a request may crash.
const CRASHES_MAX: u64 = 3;
/// Time for which a crashed leaf is down.
const DOWNTIME: Duration = Duration::from_millis(200);
/// Longest graceful shutdown of an instance, short so that it resembles a crash.
const GRACE: Duration = Duration::from_millis(400);
/// Time in which instances find each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Instances that know each other, with the leafs of one service or of several shards.
struct Tier {
    instances: Vec<Option<Instance>>,
    peers: Vec<SocketAddr>,
    catalog: Arc<Catalog>,
    leafs: Vec<Server>,
}

impl Tier {
    /// Starts instances and leafs. The leafs are spread over `services`; the route `/all/` gathers
    /// over all of them and the other routes lead to the first one.
    async fn start(services: &[&str], manner: Manner) -> Self {
        Self::start_with(INSTANCES, services, manner).await
    }

    /// Starts a tier of `instances` instances; see [`start`](Self::start).
    async fn start_with(instances: usize, services: &[&str], manner: Manner) -> Self {
        let catalog = Arc::new(Catalog::new());
        catalog.put_config(config(1, services[0], services));
        let mut leafs = Vec::new();
        for index in 0..LEAFS {
            let leaf = Server::start(&format!("leaf-{index}")).await.unwrap();
            leaf.set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::from_millis(5)));
            leaf.set_crash(Some(Crash { target: "poison".into(), manner, downtime: DOWNTIME }));
            catalog.put_leaf(entry(&leaf, services[index % services.len()]));
            leafs.push(leaf);
        }
        let peers: Vec<SocketAddr> = (0..instances).map(|_| free_address()).collect();
        let mut tier = Self { instances: Vec::new(), peers, catalog, leafs };
        for index in 0..instances {
            let instance = tier.start_instance(index).await;
            tier.instances.push(Some(instance));
        }
        sleep(DISCOVERY_TIME.mul_f64(instances as f64 / INSTANCES as f64)).await;
        tier
    }

    async fn start_instance(&self, index: usize) -> Instance {
        let mut options = options(Some(self.peers[index]), self.peers.clone());
        options.grace = GRACE;
        let instance = Instance::start(options, self.catalog.clone()).await.unwrap();
        let gateway = instance.gateway().clone();
        eventually("routes and leafs", || gateway.directory().is_complete()).await;
        instance
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.instances[index].as_ref().unwrap().address()
    }

    fn crashes(&self) -> u64 {
        self.leafs.iter().map(Server::crashes).sum()
    }

    /// Sends requests with different paths at all instances until `stop` is notified; returns how
    /// many were answered, and how many were sent.
    fn send_others(&self) -> (tokio::task::JoinHandle<(usize, usize)>, Arc<Notify>) {
        let count = self.instances.len();
        let addresses: Vec<_> = (0..count).map(|index| self.address(index)).collect();
        let stop = Arc::new(Notify::new());
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let (mut answered, mut sent) = (0, 0);
            loop {
                let id = format!("other-{sent}");
                let request = get(&format!("/read/{}", sent % 7), &id);
                let response = call(addresses[sent % count], &request).await;
                sent += 1;
                answered += usize::from(response.status == 200);
                if timeout(Duration::from_millis(2), stopped.notified()).await.is_ok() {
                    return (answered, sent);
                }
            }
        });
        (task, stop)
    }

    /// Sends a request at all instances in turn and returns the statuses.
    async fn send(&self, path: &str, count: usize, pause: Duration) -> Vec<u16> {
        let mut statuses = Vec::new();
        for index in 0..count {
            let id = format!("{}-{index}", path.trim_matches('/'));
            let address = self.address(index % self.instances.len());
            statuses.push(call(address, &get(path, &id)).await.status);
            sleep(pause).await;
        }
        statuses
    }
}

/// Guards against a request that crashes leaf after leaf because each instance forgets it with its
/// answer: sent 200 times at three instances, it ended one or more leafs each time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashes_leafs_is_stopped_at_all_instances() {
    for manner in [Manner::Close, Manner::Reset, Manner::Partial] {
        for path in ["/read/poison", "/write/poison"] {
            let tier = Tier::start(&["db"], manner).await;
            let statuses = tier.send(path, SENDS, Duration::from_millis(5)).await;
            let crashes = tier.crashes();
            assert!((1..=CRASHES_MAX).contains(&crashes), "{manner:?} {path}: {crashes} crashes");
            let last = statuses.last().copied();
            assert_eq!(last, Some(503), "{manner:?} {path}: it is refused as not run");
        }
    }
}

/// Guards against a request that is taken for a new one because another caller sends it, the host is
/// written in another case or the body comes in chunks: it ended a leaf or more each time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashes_leafs_is_known_from_any_caller_and_in_any_form() {
    for path in ["/read/poison", "/write/poison"] {
        let tier = Tier::start(&["db"], Manner::Close).await;
        let head = |host: &str, id: usize| {
            format!("POST {path} HTTP/1.1\r\nhost: {host}\r\nx-request-id: {id}\r\n")
        };
        for index in 0..SENDS {
            let request = match index % 3 {
                0 => head("db.example", index) + "content-length: 4\r\n\r\nbody",
                1 => head("DB.Example", index) + "content-length: 4\r\n\r\nbody",
                _ => {
                    head("db.example", index)
                        + "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
                }
            };
            let caller = Ipv4Addr::new(127, 0, 1, 1 + (index % 48) as u8);
            call_from(caller, tier.address(index % INSTANCES), &request).await;
            sleep(Duration::from_millis(5)).await;
        }
        let crashes = tier.crashes();
        assert!((1..=CRASHES_MAX).contains(&crashes), "{path}: {crashes} crashes");
    }
}

/// Guards against two requests that crash leafs at the same time and hide each other: both were
/// suspects again whenever one was refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_requests_that_crash_leafs_are_both_stopped() {
    for round in 0..4 {
        let tier = Tier::start(&["db"], Manner::Close).await;
        for index in 0..60 {
            let mut calls = JoinSet::new();
            for path in ["/read/poison-1", "/write/poison-2"] {
                let address = tier.address((index + round) % INSTANCES);
                let request = get(path, &format!("{index}"));
                calls.spawn(async move { call(address, &request).await.status });
            }
            while calls.join_next().await.is_some() {}
            sleep(Duration::from_millis(20)).await;
        }
        let crashes = tier.crashes();
        assert!(crashes <= 2 * CRASHES_MAX, "round {round}: {crashes} crashes");
    }
}

/// Guards against a leaf that listens again before the instance can see that it has ended, so that
/// its end looks like a connection that broke for another reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashes_leafs_that_listen_again_at_once_is_stopped() {
    let cases = [
        (Manner::Close, "/read/poison", INSTANCES, true),
        (Manner::Close, "/write/poison", 2 * INSTANCES, true),
        (Manner::Reset, "/read/poison", 2 * INSTANCES, true),
        (Manner::Reset, "/write/poison", INSTANCES, false),
        (Manner::Partial, "/read/poison", INSTANCES, false),
        (Manner::Partial, "/write/poison", 2 * INSTANCES, false),
    ];
    for (manner, path, instances, with_others) in cases {
        let tier = Tier::start_with(instances, &["db"], manner).await;
        let (target, downtime) = ("poison".to_owned(), Duration::ZERO);
        let crash = Crash { target, manner, downtime };
        tier.leafs.iter().for_each(|leaf| leaf.set_crash(Some(crash.clone())));
        let others = with_others.then(|| tier.send_others());
        tier.send(path, SENDS, Duration::from_millis(5)).await;
        if let Some((others, stop)) = others {
            stop.notify_one();
            let (answered, sent) = others.await.unwrap();
            assert!(answered * 100 >= sent * 99, "{answered} of {sent} others answered");
        }
        let crashes = tier.crashes();
        assert!((1..=CRASHES_MAX).contains(&crashes), "{manner:?} {path}: {crashes} crashes");
    }
}

/// Guards against instances that get the request at the same moment and each crash a second leaf
/// before they hear of each other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_reaches_all_instances_at_once_crashes_three_leafs_at_most() {
    for round in 0..5 {
        let tier = Tier::start(&["db"], Manner::Close).await;
        let mut calls = JoinSet::new();
        for index in 0..INSTANCES {
            let address = tier.address(index);
            let request = get("/read/poison", &format!("p{index}"));
            calls.spawn(async move { call(address, &request).await.status });
        }
        while let Some(status) = calls.join_next().await {
            assert!([502, 503].contains(&status.unwrap()));
        }
        tier.send("/read/poison", 30, Duration::from_millis(10)).await;
        assert!(tier.crashes() <= CRASHES_MAX, "round {round}: {} crashes", tier.crashes());
    }
}

/// Guards against requests that fail because another one crashes leafs beside them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_requests_are_served_beside_one_that_crashes_leafs() {
    let tier = Tier::start(&["db"], Manner::Close).await;
    let (others, stop) = tier.send_others();
    tier.send("/read/poison", SENDS, Duration::from_millis(10)).await;
    stop.notify_one();
    let (answered, sent) = others.await.unwrap();
    assert!(sent > 100 && answered * 100 >= sent * 99, "{answered} of {sent} answered");
    assert!(tier.crashes() <= CRASHES_MAX, "{} crashes", tier.crashes());
}

/// Guards against an instance that crashes another leaf after its start, because it has lost what it
/// knew: instances are killed and started in series, until none of the first ones is left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_instances_still_refuse_the_request() {
    let mut tier = Tier::start(&["db"], Manner::Reset).await;
    tier.send("/write/poison", 30, Duration::from_millis(5)).await;
    let crashes = tier.crashes();
    assert!((1..=CRASHES_MAX).contains(&crashes), "{crashes} crashes");
    for index in 0..INSTANCES {
        tier.instances[index].take().unwrap().shutdown().await;
        tier.peers[index] = free_address();
        tier.instances[index] = Some(tier.start_instance(index).await);
        sleep(DISCOVERY_TIME * 2).await;
    }
    let statuses = tier.send("/write/poison", 12, Duration::from_millis(5)).await;
    assert_eq!((statuses, tier.crashes()), (vec![503; 12], crashes));
}

/// Guards against a gathered request that crashes a leaf of every shard again and again: its first
/// run reaches one leaf of each shard, and an isolated run only one of all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gathered_request_that_crashes_leafs_is_stopped() {
    let services = ["s0", "s1", "s2"];
    let tier = Tier::start(&services, Manner::Close).await;
    tier.send("/all/poison", 60, Duration::from_millis(5)).await;
    let crashes = tier.crashes();
    assert!((1..=services.len() as u64 + 1).contains(&crashes), "{crashes} crashes");
}

/// Guards against hedges of a gathered request at the other shards after it has crashed a leaf of
/// one: they crash leafs that the first sends have spared.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gathered_request_that_crashed_a_leaf_is_not_hedged() {
    let services = ["s0", "s1", "s2"];
    let tier = Tier::start(&services, Manner::Close).await;
    tier.send("/all/harmless", 30, Duration::ZERO).await;
    for leaf in tier.leafs.iter().enumerate().filter(|(index, _)| index % services.len() > 0) {
        leaf.1.set_crash(None);
        leaf.1.set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::from_millis(400)));
    }
    call(tier.address(0), &get("/all/poison", "p")).await;
    for (index, leaf) in tier.leafs.iter().enumerate() {
        let is_poison = |request: &&Request| request.target.contains("poison");
        let sends = leaf.executed().iter().filter(is_poison).count();
        let hedged = tier.leafs[(index + services.len()) % LEAFS].executed();
        let sends_to_shard = sends + hedged.iter().filter(is_poison).count();
        let is_crashing_shard = index % services.len() == 0;
        assert!(
            is_crashing_shard || sends_to_shard == 1,
            "shard of leaf {index}: {sends_to_shard}"
        );
    }
}

/// Leafs crash without a request to blame, each time with the same popular request in flight at
/// several of them: one leaf, half of them, and all, which are down for some time or listen again at
/// once. Guards against refusing that request after the leafs are back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_in_flight_at_crashes_without_a_cause_are_not_refused() {
    let tier = Tier::start(&["db"], Manner::Reset).await;
    let cases = [1, LEAFS / 2, LEAFS].into_iter();
    for (crashed, downtime) in cases.flat_map(|count| [(count, DOWNTIME), (count, Duration::ZERO)])
    {
        for leaf in &tier.leafs {
            let (target, manner) = ("poison".to_owned(), Manner::Reset);
            leaf.set_crash(Some(Crash { target, manner, downtime }));
        }
        for leaf in &tier.leafs {
            leaf.set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::from_millis(200)));
        }
        let mut calls = JoinSet::new();
        for index in 0..INSTANCES * LEAFS {
            let address = tier.address(index % INSTANCES);
            let request = get("/read/popular", &format!("c{crashed}-{downtime:?}-{index}"));
            calls.spawn(async move { call(address, &request).await.status });
        }
        sleep(Duration::from_millis(100)).await;
        tier.leafs[..crashed].iter().for_each(Server::crash);
        while calls.join_next().await.is_some() {}
        for leaf in &tier.leafs {
            leaf.set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::from_millis(5)));
        }
        sleep(DOWNTIME * 2).await;
        let statuses = tier.send("/read/popular", 30, Duration::from_millis(5)).await;
        assert_eq!(statuses, vec![200; 30], "after {crashed} leafs were down for {downtime:?}");
    }
}

/// Guards against connections that break while their leaf goes on, which must not make a request a
/// suspect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_connections_of_running_leafs_make_no_suspects() {
    let tier = Tier::start(&["db"], Manner::Reset).await;
    for reaction in [Reaction::Close, Reaction::Truncate, Reaction::Garbage, Reaction::WrongId] {
        tier.leafs[0].set_reaction(reaction);
        tier.send("/read/popular", 30, Duration::ZERO).await;
    }
    for instance in tier.instances.iter().flatten() {
        assert!(instance.gateway().quarantine().is_empty());
    }
}

/// Guards against a refusal without the time after which it ends, one that an operator can't see or
/// end, and one that affects another request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_is_shown_and_can_be_lifted() {
    let tier = Tier::start(&["db"], Manner::Close).await;
    tier.send("/read/poison", 12, Duration::from_millis(5)).await;
    let refused = call(tier.address(0), &get("/read/poison", "last")).await;
    let seconds: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(refused.status == 503 && (500.0..=600.0).contains(&seconds), "{seconds} s");
    assert_eq!(call(tier.address(0), &get("/read/poison-less", "n")).await.status, 502);
    tier.leafs.iter().for_each(|leaf| leaf.set_crash(None));
    let quarantine = tier.instances[0].as_ref().unwrap().gateway().quarantine();
    let now = std::time::Instant::now();
    let refusals = || {
        let observations = quarantine.observations(now).into_iter();
        observations.filter(|(_, observation)| observation.state == State::Refused)
    };
    let fingerprints: Vec<_> = refusals().map(|(fingerprint, _)| fingerprint).collect();
    for fingerprint in &fingerprints {
        assert!(quarantine.lift(*fingerprint, now));
    }
    sleep(Duration::from_millis(500)).await;
    let statuses = tier.send("/read/poison", 6, Duration::ZERO).await;
    assert_eq!((fingerprints.is_empty(), statuses), (false, vec![200; 6]));
}
