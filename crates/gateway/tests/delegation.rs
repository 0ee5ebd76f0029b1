//! Tests of instances that are cut off from all leafs while callers and other instances reach them.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use jaycrank_gateway::catalog::Entry;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_policy::route::Route;
use jaycrank_standin::Catalog;
use jaycrank_standin::Link;
use jaycrank_standin::Server;
use jaycrank_standin::link::State;
use jaycrank_standin::server::Reaction;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

const INSTANCES: usize = 3;
const SHARDS: [&str; 3] = ["s0", "s1", "s2"];
const LEAFS_PER_SERVICE: usize = 2;
/// Time in which instances find each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time after the start of a cut from which callers must be served as well as at other instances.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Least part of first tries that must be served at instances that are cut off.
const SERVED_MIN: f64 = 0.95;
/// Timeout of the routes, longer than the time after which [`eventually`] fails.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest graceful shutdown of an instance.
const GRACE: Duration = Duration::from_millis(3_500);
/// Time after which an instance no longer avoids a leaf because of failures in a cut.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);
const CUTS: [State; 3] = [State::Hang, State::Reset, State::RefuseNew];

/// Instances that each reach the leafs over links of their own. Each has a failure domain of its own,
/// so that it takes the addresses of the leafs from its own catalog.
struct Tier {
    instances: Vec<Instance>,
    links: Vec<Vec<Link>>,
    leafs: Vec<Server>,
    ready: Vec<SocketAddr>,
}

impl Tier {
    async fn start() -> Self {
        let mut leafs = Vec::new();
        for service in SHARDS.iter().chain(&["db"]) {
            for index in 0..LEAFS_PER_SERVICE {
                let leaf = Server::start(&format!("{service}-{index}")).await.unwrap();
                let body = [b'a' + leafs.len() as u8; 16].to_vec();
                leaf.set_reaction(Reaction::Answer(body, Duration::from_millis(5)));
                leafs.push(leaf);
            }
        }
        let peers: Vec<SocketAddr> = (0..INSTANCES).map(|_| free_address()).collect();
        let mut tier = Self { instances: Vec::new(), links: Vec::new(), leafs, ready: Vec::new() };
        for index in 0..INSTANCES {
            let catalog = Arc::new(Catalog::new());
            let mut config = config(1, "db", &SHARDS);
            let single = Route {
                name: "single".into(),
                prefix: "/single/".into(),
                attempts_max: 1,
                ..config.routes[0].clone()
            };
            config.routes.push(single);
            config.routes.iter_mut().for_each(|route| route.timeout = ROUTE_TIMEOUT);
            catalog.put_config(config);
            let mut links = Vec::new();
            for leaf in &tier.leafs {
                let link = Link::start(leaf.address()).await.unwrap();
                let service = leaf.id().split('-').next().unwrap();
                catalog.put_leaf(Entry { address: link.address(), ..entry(leaf, service) });
                links.push(link);
            }
            let mut options = options(Some(peers[index]), peers.clone());
            options.ready_listen = free_address();
            options.instances = INSTANCES;
            options.grace = GRACE;
            options.failure_domain = format!("domain-{index}").into();
            let domains =
                (0..INSTANCES).map(|index| (format!("domain-{index}").into(), "r".into()));
            options.regions = BTreeMap::from_iter(domains);
            tier.ready.push(options.ready_listen);
            let instance = Instance::start(options, catalog).await.unwrap();
            eventually("routes and leafs", || instance.gateway().directory().is_complete()).await;
            tier.instances.push(instance);
            tier.links.push(links);
        }
        sleep(DISCOVERY_TIME).await;
        tier
    }

    fn address(&self, index: usize) -> SocketAddr {
        self.instances[index].address()
    }

    fn cut(&self, index: usize, state: State) {
        self.links[index].iter().for_each(|link| link.set_state(state));
    }

    /// Sends requests at some instances for some time; returns the statuses with their ids and the
    /// times of sending.
    async fn send(
        &self,
        instances: &[usize],
        path: &'static str,
        prefix: &str,
        time: Duration,
    ) -> Vec<(String, Instant, u16)> {
        let mut calls = JoinSet::new();
        let end = Instant::now() + time;
        let mut count = 0;
        while Instant::now() < end {
            let address = self.address(instances[count % instances.len()]);
            let id = format!("{prefix}{count}");
            let request = get(path, &id);
            calls.spawn(async move {
                let sent = Instant::now();
                (id, sent, call(address, &request).await.status)
            });
            count += 1;
            sleep(Duration::from_millis(10)).await;
        }
        calls.join_all().await
    }

    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for request in self.leafs.iter().flat_map(Server::executed) {
            let id = request.headers.get("x-request-id").cloned().unwrap_or_default();
            *runs.entry(id).or_default() += 1;
        }
        runs
    }

    async fn ready_status(&self, index: usize) -> u16 {
        call(self.ready[index], "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").await.status
    }
}

/// Returns the part of the requests sent after `since` that were served.
fn served(outcomes: &[(String, Instant, u16)], since: Instant) -> f64 {
    let late: Vec<_> = outcomes.iter().filter(|(_, sent, _)| *sent >= since).collect();
    let served = late.iter().filter(|(_, _, status)| *status == 200).count();
    served as f64 / late.len() as f64
}

/// Guards against requests to a leaf that said that it leaves in an answer that this instance passed
/// on for another one, before it reached the leaf again itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaf_that_leaves_is_known_from_the_answer_of_a_helper() {
    let tier = Tier::start().await;
    tier.cut(0, State::Hang);
    let leaving = tier.leafs.iter().find(|leaf| leaf.id() == "db-0").unwrap();
    leaving.set_leaving(Some("1"));
    let mut sends = 0;
    while leaving.arrivals().is_empty() {
        tier.send(&[0], "/read/a", &format!("cut-{sends}-"), Duration::from_millis(200)).await;
        sends += 1;
        assert!(sends < 40, "no request reached the leaf");
    }
    tier.cut(0, State::Open);
    let reachability = tier.instances[0].gateway().reachability();
    eventually("reaching leafs again", || !reachability.is_cut_off()).await;
    // The other leaf is slower, so that this one would be chosen.
    let other = tier.leafs.iter().find(|leaf| leaf.id() == "db-1").unwrap();
    other.set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::from_millis(150)));
    sleep(FAILURE_MEMORY).await;
    let before = leaving.arrivals().len();
    let results = tier.send(&[0], "/read/b", "after-", Duration::from_secs(1)).await;
    assert!(results.iter().all(|(_, _, status)| *status == 200));
    assert_eq!(leaving.arrivals().len(), before);
}

/// Guards against callers of instances without leafs that are hardly served, although another
/// instance reaches the leafs: two of three instances are cut off, in each manner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_instances_without_leafs_are_served_through_others() {
    for cut in CUTS {
        let tier = Tier::start().await;
        tier.send(&[0, 1, 2], "/all/", "warm", Duration::from_millis(500)).await;
        [0, 1].iter().for_each(|index| tier.cut(*index, cut));
        let since = Instant::now() + DETECTION_TIME;
        for path in ["/all/", "/read/", "/write/"] {
            let outcomes = tier.send(&[0, 1], path, path, Duration::from_millis(2_500)).await;
            let part = served(&outcomes, since);
            assert!(
                outcomes.iter().all(|(_, sent, _)| *sent < since) || part >= SERVED_MIN,
                "{cut:?} {path}: {part:.2} served"
            );
        }
        assert_eq!(tier.ready_status(0).await, 503, "{cut:?}: new callers go elsewhere");
        assert_eq!(tier.ready_status(2).await, 200);
        [0, 1].iter().for_each(|index| tier.cut(*index, State::Open));
        let gateway = tier.instances[0].gateway();
        eventually("the cut is over", || !gateway.reachability().is_cut_off()).await;
        assert_eq!(tier.ready_status(0).await, 200);
        let outcomes = tier.send(&[0, 1], "/all/", "after", Duration::from_millis(500)).await;
        assert!(served(&outcomes, since) >= SERVED_MIN, "{cut:?}: served after the cut");
    }
}

/// Guards against a request that may run only once and runs at two instances, or is refused as not
/// run although a leaf ran it, when the links are cut with requests in flight.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_are_not_idempotent_run_once_through_a_cut() {
    for cut in CUTS {
        let tier = Tier::start().await;
        tier.leafs.iter().for_each(|leaf| {
            leaf.set_reaction(Reaction::Answer(vec![b'w'; 16], Duration::from_millis(60)));
        });
        let outcomes = {
            let sending = tier.send(&[0, 1], "/write/", "w", Duration::from_millis(2_500));
            let cutting = async {
                for state in [cut, State::Open, cut, State::Open] {
                    sleep(Duration::from_millis(550)).await;
                    tier.cut(0, state);
                }
            };
            tokio::join!(sending, cutting).0
        };
        let runs = tier.runs();
        for (id, _, status) in &outcomes {
            let runs = runs.get(id).copied().unwrap_or_default();
            assert!(runs <= 1, "{cut:?}: {id} ran {runs} times");
            assert!(*status != 503 || runs == 0, "{cut:?}: {id} ran and was refused as not run");
        }
    }
}

/// Guards against a request that runs on more leafs than its route allows, because the instance that
/// gets it after a cut does not know the leafs that already have it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delegated_requests_keep_to_the_leafs_that_their_route_allows() {
    let tier = Tier::start().await;
    tier.leafs.iter().for_each(|leaf| {
        leaf.set_reaction(Reaction::Answer(vec![b'r'; 16], Duration::from_millis(400)));
    });
    let sending = tier.send(&[0], "/single/", "s", Duration::from_millis(1_500));
    let cutting = async {
        sleep(Duration::from_millis(500)).await;
        tier.cut(0, State::Hang);
    };
    let outcomes = tokio::join!(sending, cutting).0;
    let mut leafs: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
    for leaf in &tier.leafs {
        for request in leaf.executed() {
            let id = request.headers.get("x-request-id").cloned().unwrap_or_default();
            leafs.entry(id).or_default().insert(leaf.id());
        }
    }
    let exceeded: Vec<_> = leafs.iter().filter(|(_, leafs)| leafs.len() > 1).collect();
    assert!(exceeded.is_empty(), "on several leafs: {exceeded:?}");
    assert!(outcomes.iter().any(|(_, _, status)| *status == 200));
}

/// Guards against requests that wait for their deadline, or go round among instances, when the
/// leafs themselves are gone; and against a fleet that turns all callers away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_if_no_instance_reaches_leafs() {
    let tier = Tier::start().await;
    tier.send(&[0, 1, 2], "/all/", "warm", Duration::from_millis(300)).await;
    (0..INSTANCES).for_each(|index| tier.cut(index, State::Hang));
    tier.send(&[0, 1, 2], "/all/", "first", DETECTION_TIME).await;
    let cut_off = || tier.instances.iter().all(|it| it.gateway().reachability().is_cut_off());
    eventually("all instances know of the cut", cut_off).await;
    for (count, path) in ["/all/", "/read/", "/write/"].iter().cycle().take(9).enumerate() {
        let request = get(path, "late").replace("3000", "60000");
        let answered = call(tier.address(count % INSTANCES), &request);
        let response = timeout(ROUTE_TIMEOUT / 2, answered).await.expect("an answer at once");
        assert_eq!(response.status, 503, "{path}");
        assert!(response.headers.contains_key("retry-after"));
    }
    // Instances learn from each other that none of them is better.
    for index in 0..INSTANCES {
        while tier.ready_status(index).await != 200 {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against leafs that have crashed, or one service without leafs, taken for a cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leafs_that_fail_alone_are_not_taken_for_a_cut() {
    let tier = Tier::start().await;
    // All leafs but those of one shard.
    for index in 0..INSTANCES {
        tier.links[index][2..].iter().for_each(|link| link.set_state(State::Reset));
    }
    tier.send(&[0, 1, 2], "/read/", "r", Duration::from_secs(2)).await;
    for instance in &tier.instances {
        assert!(!instance.gateway().reachability().is_cut_off());
    }
}

/// Guards against work at another instance and its leaf for a caller that has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delegated_request_is_cancelled_when_the_caller_disconnects() {
    let tier = Tier::start().await;
    tier.cut(0, State::Reset);
    let gateway = tier.instances[0].gateway();
    tier.send(&[0], "/read/", "r", DETECTION_TIME).await;
    assert!(gateway.reachability().is_cut_off());
    tier.leafs.iter().for_each(|leaf| leaf.set_reaction(Reaction::Hang));
    let mut stream = TcpStream::connect(tier.address(0)).await.unwrap();
    let request = get("/read/", "left").replace("3000", "60000");
    stream.write_all(request.as_bytes()).await.unwrap();
    eventually("a leaf runs the request", || tier.runs().contains_key("left")).await;
    drop(stream);
    let helpers = || {
        let admitted = tier.instances.iter().map(|it| it.gateway().shedder().admitted());
        admitted.sum::<usize>() == 0
    };
    eventually("no instance works on the request", helpers).await;
}

/// Guards against a planned stop that cuts off the requests which an instance runs for others, or
/// those which others run for it, and against one that says of them that they have not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn delegated_requests_are_answered_before_an_instance_stops() {
    for stopped in [0..1, 1..INSTANCES] {
        let mut tier = Tier::start().await;
        tier.cut(0, State::Reset);
        tier.send(&[0], "/read/", "r", DETECTION_TIME).await;
        assert!(tier.instances[0].gateway().reachability().is_cut_off());
        tier.leafs.iter().for_each(|leaf| leaf.set_reaction(Reaction::Hang));
        let address = tier.address(0);
        let requests = ["/write/", "/read/"].map(|path| {
            let request = get(path, path).replace("3000", "60000");
            tokio::spawn(async move { call(address, &request).await.status })
        });
        let runs = || ["/write/", "/read/"].iter().all(|id| tier.runs().contains_key(*id));
        eventually("leafs run the requests", runs).await;
        let stops: JoinSet<()> =
            tier.instances.drain(stopped.clone()).map(Instance::shutdown).collect();
        for request in requests {
            let status = timeout(GRACE, request).await.expect("an answer in time").unwrap();
            assert_eq!(status, 502, "instances {stopped:?} stop");
        }
        stops.join_all().await;
    }
}
