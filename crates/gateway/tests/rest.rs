//! Tests of leafs that ask for rest when they turn a request away.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::call;
use common::config;
use common::entry;
use common::get;
use common::options;
use common::start;
use jaycrank_gateway::catalog::Entry;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_standin::Catalog;
use jaycrank_standin::Server;
use jaycrank_standin::server::Reaction;
use jaycrank_standin::server::Request;
use tokio::task::JoinSet;
use tokio::time::sleep;

const LEAFS: usize = 3;
const INSTANCES: usize = 6;
/// Rest that the leafs ask for.
const REST: Duration = Duration::from_secs(1);
/// Time after the answer in which requests that were already sent may arrive.
const FLIGHT_TIME: Duration = Duration::from_millis(100);
/// Time after the end of the rest within which the leaf must have its full share again.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Least part of the requests that the fastest of three leafs gets when it has its full share.
const SHARE_MIN: f64 = 0.5;

/// Number of requests for one leaf, more than the connections to it.
const WAITING: usize = 40;

fn answer() -> Reaction {
    Reaction::Answer(vec![b'a'; 16], Duration::from_millis(2))
}

async fn servers(count: usize) -> Vec<Server> {
    let mut leafs = Vec::new();
    for index in 0..count {
        let leaf = Server::start(&format!("leaf-{index}")).await.unwrap();
        leaf.set_reaction(answer());
        leafs.push(leaf);
    }
    leafs
}

/// Starts instances, without contact to each other, with leafs of the service `db`.
async fn tier(instances: usize, leafs: usize) -> (Vec<Instance>, Arc<Catalog>, Vec<Server>) {
    let leafs = servers(leafs).await;
    let listed: Vec<_> = leafs.iter().map(|leaf| (leaf, "db")).collect();
    let (first, catalog) = start(config(1, "db", &["db"]), &listed).await;
    let mut all = vec![first];
    while all.len() < instances {
        let instance = Instance::start(options(None, Vec::new()), catalog.clone()).await.unwrap();
        let gateway = instance.gateway().clone();
        common::eventually("leafs", || gateway.directory().is_complete()).await;
        all.push(instance);
    }
    (all, catalog, leafs)
}

/// Sends requests at all instances, 2 ms apart, for some time; returns how many were answered with
/// 200, and how many were sent.
async fn send(instances: &[Instance], path: &str, time: Duration) -> (usize, usize) {
    let addresses: Vec<SocketAddr> = instances.iter().map(Instance::address).collect();
    let (mut calls, end, mut sent) = (JoinSet::new(), Instant::now() + time, 0);
    while Instant::now() < end {
        let (address, request) = (addresses[sent % addresses.len()], get(path, &format!("{sent}")));
        calls.spawn(async move { call(address, &request).await.status });
        sent += 1;
        sleep(Duration::from_millis(2)).await;
    }
    let statuses = calls.join_all().await;
    (statuses.iter().filter(|status| **status == 200).count(), sent)
}

/// Returns the number of requests that an instance has sent from the flight time after its first one to
/// the end of a rest.
fn arrivals_in_rest(leaf: &Server, instance: usize, rest: Duration) -> usize {
    let sender = |request: &Request| -> usize {
        request.headers["x-request-id"].parse::<usize>().unwrap() % INSTANCES
    };
    let arrivals = leaf.arrivals().into_iter().filter(|request| sender(request) == instance);
    let times: Vec<Instant> = arrivals.map(|request| request.received_at).collect();
    let Some(first) = times.first() else { return 0 };
    times.iter().filter(|at| (*first + FLIGHT_TIME..*first + rest).contains(*at)).count()
}

/// Guards against requests to a leaf that rests, whether it says that it has not run the request or
/// not, and against callers that notice it while other leafs have room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resting_leaf_gets_no_requests_and_then_its_share_again() {
    for reaction in [Reaction::Reject(503), Reaction::Status(503)] {
        let (instances, _catalog, leafs) = tier(INSTANCES, LEAFS).await;
        leafs[0].set_retry_after(Some("1"));
        leafs[0].set_reaction(reaction.clone());
        let (answered, sent) = send(&instances, "/read/a", REST.mul_f64(0.9)).await;
        for instance in 0..INSTANCES {
            let arrivals = arrivals_in_rest(&leafs[0], instance, REST);
            assert_eq!(arrivals, 0, "{reaction:?} instance {instance}");
        }
        assert!(answered * 100 >= sent * 98, "{reaction:?}: {answered} of {sent}");
        // The share of equally fast leafs is left to chance, so this one is made the fastest.
        leafs[0].set_reaction(answer());
        let slower = Reaction::Answer(vec![b'a'; 16], Duration::from_millis(30));
        leafs[1..].iter().for_each(|leaf| leaf.set_reaction(slower.clone()));
        send(&instances, "/read/b", RETURN_TIME).await;
        let before = leafs[0].arrivals().len();
        let (answered, sent) = send(&instances, "/read/c", REST).await;
        let share = (leafs[0].arrivals().len() - before) as f64 / sent as f64;
        assert!(share >= SHARE_MIN, "{reaction:?}: {share:.2} of the requests after its return");
        assert_eq!(answered, sent);
    }
}

/// Guards against a value that takes a leaf away though it is not defined, and against one that is
/// too large.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_defined_values_are_rests() {
    let cases = [
        ("0", false),
        ("0.0", false),
        ("-1", false),
        ("soon", false),
        ("", false),
        ("1e3", false),
        ("inf", false),
        ("Fri, 31 Dec 2027 23:59:59 GMT", false),
        ("1|2", false),
        ("1|1", true),
        ("0.7", true),
        ("1000000000", true),
        ("99999999999999999999999999999999999999999999", true),
    ];
    for (value, is_rest) in cases {
        let (instances, _catalog, leafs) = tier(1, LEAFS).await;
        leafs[0].set_retry_after(Some(value));
        leafs[0].set_reaction(Reaction::Reject(503));
        send(&instances, "/read/a", Duration::from_millis(200)).await;
        let leaf = instances[0].gateway().directory().leaf(&"leaf-0".into()).unwrap();
        let rests = !leaf.rest().wait(Instant::now()).is_zero();
        assert_eq!((leafs[0].arrivals().is_empty(), rests), (false, is_rest), "{value:?}");
    }
}

/// Guards against requests that are held, or sent, while all leafs rest, and a retry delay that ends
/// before the first rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_while_all_leafs_rest() {
    let (instances, catalog, leafs) = tier(1, 2).await;
    for (leaf, rest) in leafs.iter().zip(["4", "3"]) {
        leaf.set_retry_after(Some(rest));
        leaf.set_reaction(Reaction::Reject(503));
    }
    send(&instances, "/write/a", Duration::from_millis(100)).await;
    let arrivals = || leafs.iter().map(|leaf| leaf.arrivals().len()).sum::<usize>();
    let (before, sent) = (arrivals(), Instant::now());
    for path in ["/read/b", "/write/b", "/all/b"] {
        let refused = call(instances[0].address(), &get(path, path)).await;
        let seconds: f64 = refused.header("retry-after").unwrap().parse().unwrap();
        assert!(refused.status == 503 && (2.0..=4.0).contains(&seconds), "{path}: {seconds} s");
    }
    assert!(sent.elapsed() < Duration::from_millis(300), "{:?}", sent.elapsed());
    assert_eq!(arrivals(), before);
    leafs[1].set_reaction(answer());
    catalog.put_leaf(Entry { started_ms: 2, ..entry(&leafs[1], "db") });
    sleep(Duration::from_millis(200)).await;
    let status = call(instances[0].address(), &get("/read/c", "c")).await.status;
    assert_eq!(status, 200, "a new incarnation does not rest");
}

/// Guards against refusing requests while the only leaf of a service answers its first trials.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_wait_for_the_trials_of_the_only_leaf() {
    let (instances, _catalog, leafs) = tier(1, 1).await;
    leafs[0].set_retry_after(Some("0.5"));
    leafs[0].set_reaction(Reaction::Reject(503));
    send(&instances, "/read/a", Duration::from_millis(50)).await;
    leafs[0].set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::from_millis(20)));
    let leaf = instances[0].gateway().directory().leaf(&"leaf-0".into()).unwrap();
    common::eventually("the end of the rest", || leaf.rest().wait(Instant::now()).is_zero()).await;
    let mut calls = JoinSet::new();
    for index in 0..12 {
        let (address, request) = (instances[0].address(), get("/read/b", &format!("b{index}")));
        calls.spawn(async move { call(address, &request).await.status });
    }
    assert_eq!(calls.join_all().await, [200; 12]);
}

/// Guards against a gathered request that waits for a shard that rests, or that is sent to the others
/// although too few shards are left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_that_rest_are_left_out() {
    let leafs = servers(3).await;
    let services = ["s0", "s1", "s2"];
    let listed: Vec<_> = leafs.iter().zip(services).collect();
    let (instance, _catalog) = start(config(1, "s0", &services), &listed).await;
    for resting in [0, 1] {
        leafs[resting].set_retry_after(Some("5"));
        leafs[resting].set_reaction(Reaction::Reject(503));
        call(instance.address(), &get("/all/a", &format!("first-{resting}"))).await;
        let arrivals = || leafs.iter().map(|leaf| leaf.arrivals().len()).collect::<Vec<_>>();
        let before = arrivals();
        let response = call(instance.address(), &get("/all/b", &format!("{resting}"))).await;
        let after = arrivals();
        if resting == 0 {
            assert_eq!((response.status, response.header("x-missing-parts")), (200, Some("1")));
            assert_eq!((after[0], after[1] - before[1]), (before[0], 1));
        } else {
            assert_eq!((response.status, after), (503, before));
        }
    }
}

/// Guards against a request that was meant for a leaf before it asked for rest, and is sent to it
/// after having waited for a connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_waits_for_a_connection_is_not_sent_to_a_leaf_that_rests_meanwhile() {
    let leafs = servers(2).await;
    leafs[0].set_reaction(Reaction::Answer(vec![b'a'; 16], Duration::from_millis(400)));
    let mut config = config(1, "db", &["db"]);
    config.services.values_mut().for_each(|service| service.connections_max = 1);
    let (instance, catalog) = start(config, &[(&leafs[0], "db")]).await;
    let address = instance.address();
    let request = |index: usize| get("/write/a", &format!("w{index}"));
    let calls: Vec<_> = (0..WAITING)
        .map(request)
        .map(|request| tokio::spawn(async move { call(address, &request).await.status }))
        .collect();
    sleep(Duration::from_millis(100)).await;
    let connections = leafs[0].arrivals().len();
    leafs[0].set_retry_after(Some("5"));
    leafs[0].set_reaction(Reaction::Reject(503));
    catalog.put_leaf(entry(&leafs[1], "db"));
    for call in calls {
        assert_eq!(call.await.unwrap(), 200);
    }
    // Each connection carries one more request, whose answer asks for rest.
    assert!(2 * connections < WAITING, "{connections} were sent at once");
    assert!(leafs[0].arrivals().len() <= 2 * connections, "{}", leafs[0].arrivals().len());
    assert_eq!(leafs[1].executed().len(), WAITING - connections);
}
