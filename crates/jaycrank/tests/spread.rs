//! Propagation of settings among instances on loopback while the store is down.
//!
//! The heartbeat interval is a minute, so a test passes only if messages are sent immediately.

use std::any::Any;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank::ledger::Ledger;
use jaycrank_instance::Documents;
use jaycrank_instance::Exchange;
use jaycrank_instance::Handler;
use jaycrank_instance::Identity;
use jaycrank_instance::Key;
use jaycrank_instance::Membership;
use jaycrank_instance::Sections;
use jaycrank_instance::Tasks;
use jaycrank_instance::bootstrap;
use jaycrank_instance::bootstrap::Source;
use jaycrank_instance::documents::CONFIG_KEY;
use jaycrank_instance::membership::Liveness;
use jaycrank_instance::server;
use jaycrank_instance::wire::Blob;
use jaycrank_instance::wire::Claim;
use jaycrank_instance::wire::Document;
use jaycrank_instance::wire::Forward;
use jaycrank_instance::wire::Outcome;
use jaycrank_instance::wire::State;
use jaycrank_settings::Branch;
use jaycrank_settings::Edit;
use jaycrank_settings::Tree;
use jaycrank_standin::Store;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

const SEED: u64 = 13;
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(60);

/// Longest wait for a condition. It is well below the heartbeat interval.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Handler that owns no partition and sends empty sections.
struct Idle;

#[async_trait]
impl Handler for Idle {
    fn fill_sections(&self, _sections: &mut Sections) {}

    fn handle_sections(&self, _from: &Identity, _sections: Sections) {}

    async fn claim(&self, _claim: Claim) -> Outcome {
        Outcome { status: 503, body: Blob::default() }
    }

    async fn forward(&self, _forward: Forward) -> Outcome {
        Outcome { status: 503, body: Blob::default() }
    }
}

/// Source of the settings that reads them from a ledger.
struct LedgerFallback<'a>(&'a Ledger);

#[async_trait]
impl bootstrap::Fallback for LedgerFallback<'_> {
    async fn documents(&self) -> Result<Vec<Document>, SmolStr> {
        let tree = self.0.load().await.map_err(|error| format_smolstr!("{error}"))?;
        let value = Blob(serde_json::to_vec(&tree).unwrap().into());
        Ok(vec![Document { key: CONFIG_KEY.into(), revision: tree.revision(), value }])
    }
}

struct Node {
    exchange: Arc<Exchange>,
    tasks: Tasks,
    address: SocketAddr,
    /// Listener, kept until the node is dropped.
    _server: Box<dyn Any>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn exchange(name: &str, address: SocketAddr, seed: Option<SocketAddr>) -> Arc<Exchange> {
    let own = Identity {
        name: name.into(),
        incarnation: 1,
        state: State::Starting,
        address,
        caller_address: address,
        failure_domain: "d1".into(),
        region: "r1".into(),
    };
    let membership = Membership::new(own, HEARTBEAT_INTERVAL).with_seeds(seed);
    Arc::new(Exchange::new(membership, Documents::new(), Arc::new(Idle)))
}

async fn run(exchange: Arc<Exchange>, address: SocketAddr) -> Node {
    exchange.membership().set_state(State::Ready);
    let bound = server::bind(address, exchange.clone(), key(), server::Bounds::default()).await;
    let server = Box::new(bound.unwrap());
    let tasks = Tasks::start(exchange.clone(), key());
    Node { exchange, tasks, address, _server: server }
}

fn key() -> Key {
    Key::new(b"shared")
}

/// Starts `n` nodes that know only the address of the first one.
async fn nodes(n: usize) -> Vec<Node> {
    let mut nodes: Vec<Node> = Vec::new();
    for number in 0..n {
        let address = free_address();
        let seed = nodes.first().map(|first| first.address);
        nodes.push(run(exchange(&format!("n{number}"), address, seed), address).await);
    }
    let all_ready = || nodes.iter().all(|node| node.ready_count() == n);
    wait_until("all nodes know each other", all_ready).await;
    nodes
}

impl Node {
    fn ready_count(&self) -> usize {
        self.exchange.membership().ready_instances(Instant::now().into_std()).len()
    }

    fn revision(&self) -> u64 {
        self.exchange.documents().get(CONFIG_KEY).map_or(0, |(revision, _)| revision)
    }

    fn liveness(&self, name: &str) -> Option<Liveness> {
        let peers = self.exchange.membership().peers(Instant::now().into_std());
        peers.iter().find(|peer| peer.identity.name == name).map(|peer| peer.liveness)
    }

    fn apply(&self, tree: &Tree) {
        let value = serde_json::to_vec(tree).unwrap();
        self.exchange.documents().apply(CONFIG_KEY, tree.revision(), value.into());
    }
}

async fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < end, "not met: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn ledger() -> (Arc<Store>, Ledger) {
    let store = Arc::new(Store::new(SEED));
    let ledger = Ledger::new(store.clone());
    let tree = Tree::new().with_branch("", Branch::new("root-team", json!({})));
    ledger.create("setup", &tree).await.unwrap();
    (store, ledger)
}

fn edit() -> Edit {
    let value = Some(json!({ "weight": 2.0 }));
    Edit { id: "edit-a".into(), path: "members/m1".into(), base: 0, owner: None, value }
}

/// Guards against an accepted edit that reaches only one instance when the store fails right after
/// it, and against a new instance that can't start without the store.
#[tokio::test]
async fn edit_before_an_outage_reaches_all_and_a_new_instance() {
    let (store, ledger) = ledger().await;
    let nodes = nodes(5).await;
    let accepted = ledger.edit("ada", &["root-team".into()], &edit()).await.unwrap();
    store.update_fault(|fault| fault.outage = true);
    nodes[3].apply(&accepted.tree);
    nodes[3].tasks.notify_peers();
    wait_until("all have the edit", || nodes.iter().all(|node| node.revision() == 2)).await;

    let address = free_address();
    let late = exchange("late", address, Some(nodes[1].address));
    let source = bootstrap::fetch_documents(&late, &key(), &LedgerFallback(&ledger), WAIT_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(source, Source::Peer("n1".into()));
    let (revision, value) = late.documents().get(CONFIG_KEY).unwrap();
    let tree: Tree = serde_json::from_slice(&value).unwrap();
    assert_eq!((revision, tree), (2, accepted.tree));
}

/// Guards against a start that fails although the store works, and one that succeeds without the
/// settings.
#[tokio::test]
async fn first_instance_starts_from_the_store() {
    let (store, ledger) = ledger().await;
    let first = exchange("first", free_address(), None);
    let source =
        bootstrap::fetch_documents(&first, &key(), &LedgerFallback(&ledger), WAIT_TIMEOUT).await;
    assert_eq!(source, Ok(Source::Store));
    assert!(first.documents().get(CONFIG_KEY).is_some());
    store.update_fault(|fault| fault.outage = true);
    let alone = exchange("alone", free_address(), Some(free_address()));
    let time = Duration::from_millis(1);
    let error = bootstrap::fetch_documents(&alone, &key(), &LedgerFallback(&ledger), time)
        .await
        .unwrap_err();
    insta::assert_snapshot!(error.to_string(), @"none of 1 peers provided the settings; reading the store failed: not applied, settings unavailable: platform unavailable: injected outage");
}

/// Guards against a leaving instance that its peers detect only by missing heartbeats.
#[tokio::test]
async fn leaving_instance_is_announced_at_once() {
    let nodes = nodes(4).await;
    nodes[2].exchange.membership().set_state(State::Leaving);
    assert_eq!(nodes[2].tasks.broadcast(WAIT_TIMEOUT).await, 3);
    for node in [&nodes[0], &nodes[1], &nodes[3]] {
        assert_eq!(node.liveness("n2"), Some(Liveness::Leaving));
        assert_eq!(node.ready_count(), 3);
    }
}
