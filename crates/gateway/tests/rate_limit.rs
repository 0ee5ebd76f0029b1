//! Tests of leafs that state how many requests a second they take from all instances together.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::call;
use common::config;
use common::entry;
use common::eventually;
use common::free_address;
use common::get;
use common::options;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_standin::Catalog;
use jaycrank_standin::Server;
use jaycrank_standin::server::Reaction;
use tokio::task::JoinSet;
use tokio::time::sleep;

const INSTANCES: usize = 3;
/// Requests a second that the leaf under test states.
const RATE: f64 = 10.0;
const WINDOW: Duration = Duration::from_secs(4);
/// Most arrivals in a window over what the limit allows.
const EXCESS_MAX: f64 = 1.2;
/// Time in which instances find each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time from the first answer with a limit until all instances keep to it.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Instances that know each other, with the leafs of the service `db`.
struct Tier {
    instances: Vec<Option<Instance>>,
    peers: Vec<SocketAddr>,
    catalog: Arc<Catalog>,
    leafs: Vec<Server>,
}

impl Tier {
    async fn start(leafs: usize) -> Self {
        let catalog = Arc::new(Catalog::new());
        catalog.put_config(config(1, "db", &["db"]));
        let mut servers = Vec::new();
        for index in 0..leafs {
            let leaf = Server::start(&format!("leaf-{index}")).await.unwrap();
            leaf.set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::from_millis(2)));
            catalog.put_leaf(entry(&leaf, "db"));
            servers.push(leaf);
        }
        let peers: Vec<SocketAddr> = (0..INSTANCES).map(|_| free_address()).collect();
        let mut tier = Self { instances: Vec::new(), peers, catalog, leafs: servers };
        for index in 0..INSTANCES {
            let instance = tier.start_instance(index).await;
            tier.instances.push(Some(instance));
        }
        sleep(DISCOVERY_TIME).await;
        tier
    }

    async fn start_instance(&self, index: usize) -> Instance {
        let mut options = options(Some(self.peers[index]), self.peers.clone());
        options.grace = Duration::from_millis(400);
        let instance = Instance::start(options, self.catalog.clone()).await.unwrap();
        let gateway = instance.gateway().clone();
        eventually("routes and leafs", || gateway.directory().is_complete()).await;
        instance
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.instances[index].as_ref().unwrap().address()
    }

    /// Sends requests at the instances in turn, `gap` apart, for some time; returns the statuses.
    async fn send(
        &self,
        path: &str,
        gap: Duration,
        time: Duration,
        only: Option<usize>,
    ) -> Vec<u16> {
        let mut calls = JoinSet::new();
        let end = Instant::now() + time;
        let mut count = 0;
        while Instant::now() < end {
            let address = self.address(only.unwrap_or(count % INSTANCES));
            let request = get(path, &format!("r{count}"));
            calls.spawn(async move { call(address, &request).await.status });
            count += 1;
            sleep(gap).await;
        }
        calls.join_all().await
    }

    /// Returns the greatest number of requests in a window that a leaf got after `since`.
    fn most_in_window(&self, leaf: usize, since: Instant) -> usize {
        let requests = self.leafs[leaf].executed();
        let times: Vec<Instant> =
            requests.iter().map(|request| request.received_at).filter(|at| *at >= since).collect();
        let counts = times
            .iter()
            .map(|start| times.iter().filter(|at| *at >= start && **at < *start + WINDOW).count());
        counts.max().unwrap_or_default()
    }
}

fn allowed() -> usize {
    (RATE * WINDOW.as_secs_f64() * EXCESS_MAX) as usize
}

/// Guards against a leaf that gets its usual part of the requests from each instance although it
/// states how many it takes from all of them together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_of_a_leaf_holds_over_all_instances() {
    let tier = Tier::start(2).await;
    tier.leafs[0].set_rate_limit(Some("10"));
    tier.send("/read/", Duration::from_millis(10), SETTLING_TIME, None).await;
    let since = Instant::now();
    let statuses =
        tier.send("/read/", Duration::from_millis(10), Duration::from_secs(6), None).await;
    let most = tier.most_in_window(0, since);
    assert!(most <= allowed(), "{most} requests in 4 s, {} allowed", allowed());
    assert!(statuses.iter().all(|status| *status == 200), "the other leaf takes the rest");
}

/// Guards against a limit that is exceeded where no other leaf has room, against idle instances that
/// hold back their part of it, and against requests that wait instead of being refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_of_the_only_leaf_is_used_by_the_instance_that_has_requests() {
    let tier = Tier::start(1).await;
    tier.leafs[0].set_rate_limit(Some("10"));
    tier.send("/read/", Duration::from_millis(20), SETTLING_TIME, Some(1)).await;
    let since = Instant::now();
    let statuses =
        tier.send("/read/", Duration::from_millis(20), Duration::from_secs(6), Some(1)).await;
    let most = tier.most_in_window(0, since);
    assert!(most <= allowed(), "{most} requests in 4 s, {} allowed", allowed());
    let answered = statuses.iter().filter(|status| **status == 200).count();
    assert!(answered as f64 >= 0.7 * RATE * 6.0, "{answered} answered in 6 s");
    let refused = statuses.iter().filter(|status| **status == 503).count();
    assert_eq!(answered + refused, statuses.len(), "the others were not run");
}

/// Guards against an instance without peers, which no other one grants tokens.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_without_peers_uses_the_limit_alone() {
    let leaf = Server::start("leaf-0").await.unwrap();
    leaf.set_rate_limit(Some("10"));
    let (instance, _) = common::start(config(1, "db", &["db"]), &[(&leaf, "db")]).await;
    let mut answered = 0;
    for count in 0..150 {
        let response = call(instance.address(), &get("/read/", &format!("r{count}"))).await;
        answered += usize::from(response.status == 200);
        sleep(Duration::from_millis(20)).await;
    }
    let requests = leaf.executed();
    let (first, last) = (requests[0].received_at, requests[requests.len() - 1].received_at);
    let rate = answered as f64 / last.duration_since(first).as_secs_f64();
    assert!((0.7 * RATE..1.5 * RATE).contains(&rate), "{rate:.1} a second");
}

/// Guards against instances that forget a limit when they are replaced one after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_holds_while_instances_are_replaced() {
    let mut tier = Tier::start(2).await;
    tier.leafs[0].set_rate_limit(Some("10"));
    tier.send("/read/", Duration::from_millis(10), SETTLING_TIME, None).await;
    let since = Instant::now();
    for index in 0..INSTANCES {
        tier.instances[index].take().unwrap().shutdown().await;
        // A stopped instance frees its ports when its tasks have ended.
        sleep(Duration::from_millis(300)).await;
        let instance = tier.start_instance(index).await;
        tier.instances[index] = Some(instance);
        tier.send("/read/", Duration::from_millis(10), Duration::from_millis(1_500), None).await;
    }
    let most = tier.most_in_window(0, since);
    // The users' rule allows this much, also with new instances that have not had an answer.
    let allowed = (RATE * WINDOW.as_secs_f64() * 1.5) as usize + 5;
    assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
}

/// Guards against a limit that is kept after the leaf has lifted it, and against values that are no
/// limit and lift one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_ends_with_an_answer_without_it_but_not_with_garbage() {
    let tier = Tier::start(1).await;
    let limits = || tier.instances[0].as_ref().unwrap().gateway().rate_limits().statuses();
    tier.leafs[0].set_rate_limit(Some("40"));
    tier.send("/read/", Duration::from_millis(20), SETTLING_TIME, Some(0)).await;
    assert_eq!(limits().values().next().map(|limit| limit.rate), Some(40.0));
    for garbage in ["-3", "NaN", "many", "1|2", "1e999"] {
        tier.leafs[0].set_rate_limit(Some(garbage));
        tier.send("/read/", Duration::from_millis(20), Duration::from_millis(100), Some(0)).await;
        assert_eq!(limits().values().next().map(|limit| limit.rate), Some(40.0), "{garbage}");
    }
    tier.leafs[0].set_rate_limit(None);
    tier.send("/read/", Duration::from_millis(20), SETTLING_TIME, Some(0)).await;
    assert!(limits().is_empty(), "{:?}", limits());
}
