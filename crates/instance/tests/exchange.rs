//! Delta-encoded heartbeats over a network that loses, delays and reorders them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use jaycrank_instance::Documents;
use jaycrank_instance::Exchange;
use jaycrank_instance::Handler;
use jaycrank_instance::Heartbeat;
use jaycrank_instance::Identity;
use jaycrank_instance::Membership;
use jaycrank_instance::Sections;
use jaycrank_instance::wire;
use jaycrank_instance::wire::Claim;
use jaycrank_instance::wire::Forward;
use jaycrank_instance::wire::Outcome;
use jaycrank_instance::wire::State;
use jaycrank_settings::Rank;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::format_smolstr;

const SEED: u64 = 29;
const STEPS: usize = 20_000;

/// Handler that sends the sections `own` and keeps the last sections received.
#[derive(Default)]
struct Node {
    own: Mutex<Sections>,
    received: Mutex<Option<Sections>>,
}

#[async_trait]
impl Handler for Node {
    fn fill_sections(&self, sections: &mut Sections) {
        *sections = self.own.lock().unwrap().clone();
    }

    fn handle_sections(&self, _from: &Identity, sections: Sections) {
        *self.received.lock().unwrap() = Some(sections);
    }

    async fn claim(&self, _claim: Claim) -> Outcome {
        unreachable!("no claim is sent")
    }

    async fn forward(&self, _forward: Forward) -> Outcome {
        unreachable!("no query is sent")
    }
}

struct Side {
    name: &'static str,
    node: Arc<Node>,
    exchange: Exchange,
    /// Heartbeats in transit to this side, with the sections of the sender when it sent them.
    inbox: Vec<(Heartbeat, Sections)>,
}

fn side(name: &'static str, incarnation: u64) -> Side {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let own = Identity {
        name: name.into(),
        incarnation,
        state: State::Ready,
        address,
        caller_address: address,
        failure_domain: "d1".into(),
        region: "r1".into(),
    };
    let node = Arc::new(Node::default());
    let membership = Membership::new(own, Duration::from_secs(1));
    let exchange = Exchange::new(membership, Documents::new(), node.clone());
    Side { name, node, exchange, inbox: Vec::new() }
}

fn change(sections: &mut Sections, random: &mut StdRng) {
    sections.epochs.insert(random.random_range(0..4), random.random_range(0..9));
    sections.epochs.remove(&random.random_range(0..4));
    let service = format_smolstr!("s{}", random.random_range(0..3));
    let members = sections.demand.entry(service).or_default().entry(Rank::Least).or_default();
    let member = format_smolstr!("m{}", random.random_range(0..3));
    *members.entry(member).or_default() += 1.0;
}

/// Guards against decoded sections that differ from those of the sender, and against older sections
/// that are delivered after newer ones. Both follow from a delta that is applied to a wrong base.
#[test]
fn sections_arrive_as_they_were_sent() {
    let mut random = StdRng::seed_from_u64(SEED);
    let mut sides = [side("a", 1), side("b", 1)];
    let (mut incarnation, mut received, mut with_base) = (1, 0, 0);
    let mut last_number = [(0, 0); 2];
    for step in 0..STEPS {
        let from = random.random_range(0..2);
        let to = 1 - from;
        if step % 1_000 == 999 {
            incarnation += 1;
            sides[from] = side(sides[from].name, incarnation);
            last_number = [(0, 0); 2];
        }
        change(&mut sides[from].node.own.lock().unwrap(), &mut random);
        let heartbeat = sides[from].exchange.compose_heartbeat(Some(sides[to].name));
        let sections = sides[from].node.own.lock().unwrap().clone();
        with_base += usize::from(heartbeat.base > 0);
        sides[to].inbox.push((heartbeat, sections));
        while sides[to].inbox.len() > 4 || random.random_bool(0.5) && !sides[to].inbox.is_empty() {
            let position = random.random_range(0..sides[to].inbox.len());
            let (heartbeat, sections) = sides[to].inbox.swap_remove(position);
            if random.random_bool(0.3) {
                continue;
            }
            let number = (heartbeat.from.incarnation, heartbeat.number);
            sides[to].node.received.lock().unwrap().take();
            sides[to].exchange.handle_heartbeat(heartbeat);
            if let Some(found) = sides[to].node.received.lock().unwrap().take() {
                assert_eq!(found, sections, "step {step}");
                assert!(number.1 == 0 || number > last_number[to], "step {step}");
                last_number[to] = last_number[to].max(number);
                received += 1;
            }
        }
    }
    assert!(
        received > STEPS / 4 && with_base > STEPS / 2,
        "{received} received, {with_base} with base"
    );
}

/// Guards against heartbeats that repeat unchanged sections. The budget of an instance is 9 KB/s.
#[test]
fn unchanged_sections_are_not_sent_again() {
    let (a, b) = (side("a", 1), side("b", 1));
    let mut own = a.node.own.lock().unwrap();
    for member in 0..200 {
        let members = own.demand.entry("quote-desk".into()).or_default();
        let members = members.entry(Rank::Urgent).or_default();
        members.insert(format_smolstr!("member-{member}"), 9.0);
    }
    drop(own);
    let mut sizes = Vec::new();
    for _ in 0..4 {
        let heartbeat = a.exchange.compose_heartbeat(Some("b"));
        sizes.push(wire::encode(&heartbeat).unwrap().len());
        b.exchange.handle_heartbeat(heartbeat);
        a.exchange.handle_heartbeat(b.exchange.compose_heartbeat(Some("a")));
    }
    assert!(sizes[0] > 2_000 && sizes[3] < 100, "{sizes:?}");
}

/// Guards against a memory leak: the sessions of replaced instances must not be kept.
#[tokio::test(start_paused = true)]
async fn sessions_of_silent_peers_are_dropped() {
    let (a, b) = (side("a", 1), side("b", 1));
    a.exchange.handle_heartbeat(b.exchange.compose_heartbeat(None));
    a.exchange.remove_stale_peers();
    assert_eq!(a.exchange.session_count(), 1);
    tokio::time::advance(Duration::from_secs(5)).await;
    a.exchange.remove_stale_peers();
    assert_eq!(a.exchange.session_count(), 0);
    // A peer that returns gets the sections in full.
    a.exchange.handle_heartbeat(b.exchange.compose_heartbeat(None));
    assert_eq!(a.exchange.compose_heartbeat(Some("b")).base, 0);
}

/// Guards against a heartbeat number that is reused after only one side has dropped the session:
/// the other side would apply a delta to the wrong sections.
#[tokio::test(start_paused = true)]
async fn dropped_session_never_reuses_a_number() {
    let (a, b) = (side("a", 1), side("b", 1));
    let mut random = StdRng::seed_from_u64(SEED);
    a.exchange.handle_heartbeat(b.exchange.compose_heartbeat(None));
    for _ in 0..3 {
        for _ in 0..30 {
            change(&mut a.node.own.lock().unwrap(), &mut random);
            b.exchange.handle_heartbeat(a.exchange.compose_heartbeat(Some("b")));
            let sent = a.node.own.lock().unwrap().clone();
            assert_eq!(b.node.received.lock().unwrap().take(), Some(sent));
            a.exchange.handle_heartbeat(b.exchange.compose_heartbeat(Some("a")));
        }
        tokio::time::advance(Duration::from_secs(5)).await;
        a.exchange.remove_stale_peers();
        assert_eq!(a.exchange.session_count(), 0);
        a.exchange.handle_heartbeat(b.exchange.compose_heartbeat(None));
    }
}
