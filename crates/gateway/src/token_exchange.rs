//! Exchanges limits of leafs and their tokens among instances.
//!
//! Instances ask the owner of a leaf for tokens when they have requests for it. Regular exchanges with
//! random peers spread the limits and show which peers are in contact. Instances without limits send
//! nothing but a few messages after their start.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jaycrank_http::Client;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::call;
use crate::gateway::Gateway;
use crate::peer::Peers;
use crate::rate_limit::ASK_TIMEOUT;
use crate::rate_limit::Ask;
use crate::rate_limit::Decision;
use crate::rate_limit::RateLimits;
use crate::rate_limit::Report;
use crate::token_owner::Contact;
use crate::topology::Distance;
use crate::traffic::Counter;
use crate::traffic::Kind;

/// HTTP path of the exchanges.
pub(crate) const LIMIT_PATH: &str = "/limit";
/// Interval of the regular exchanges while a limit is known.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the first exchanges after the start, which are made even if no limit is known, and
/// of the exchanges while a peer does not answer.
const SHORT_INTERVAL: Duration = Duration::from_millis(300);
/// Number of exchanges after the start that are made even if no limit is known.
const INITIAL_EXCHANGES: u32 = 3;
/// Range of the random factor of the interval, so that instances don't exchange in step.
const INTERVAL_JITTER: Range<f64> = 0.8..1.2;
/// Number of peers of a regular exchange.
const EXCHANGE_PEERS: usize = 2;
/// Number of peers of an exchange while a peer does not answer, to find out whether this instance
/// is in contact with a majority.
const CONTACT_CHECK_PEERS: usize = 5;
/// Pause between rounds of asking, so that the requests of one moment share one message.
const ASK_PAUSE: Duration = Duration::from_millis(10);
/// Stands for an instance that other instances can't reach.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Message from one instance to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    from: SocketAddr,
    reports: Vec<Report>,
    asks: Vec<Ask>,
}

/// Reply to a message; the decisions are in the order of the asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    reports: Vec<Report>,
    decisions: Vec<Decision>,
}

/// Answers a message of another instance.
pub(crate) fn respond(gateway: &Gateway, message: Message) -> Answer {
    let limits = gateway.rate_limits();
    limits.record_contact(message.from, Contact::Reached);
    limits.merge(gateway, message.reports);
    let reports = limits.reports(&message.asks);
    Answer { reports, decisions: limits.decide(&message.asks) }
}

/// Asks for tokens and makes regular exchanges until it is aborted. An instance without `peers` grants
/// itself the tokens of all leafs.
pub(crate) async fn share(gateway: Arc<Gateway>, peers: Option<Arc<Peers>>) {
    let own = peers.as_ref().map_or(NO_ADDRESS, |peers| peers.own_address());
    let limits = gateway.rate_limits();
    let mut clients: BTreeMap<SocketAddr, Arc<Client>> = BTreeMap::new();
    let mut rounds: u32 = 0;
    let mut next_exchange = now();
    loop {
        let due = limits.next_ask().map_or(next_exchange, |ask| ask.min(next_exchange));
        tokio::select! {
            () = limits.demanded() => {}
            () = sleep_until(due.into()) => {}
        }
        let known = peers.as_ref().map(|peers| peers.addresses()).unwrap_or_default();
        limits.set_instances(known.clone(), own);
        clients.retain(|address, _| known.contains(address));
        let mut send = |peer: SocketAddr, asks: Vec<Ask>| {
            let client = clients.entry(peer).or_insert_with(|| Arc::new(call::client(peer)));
            let distance = peers.as_ref().map_or(Distance::Remote, |peers| peers.distance(peer));
            let counter = gateway.traffic().counter(Kind::Tokens, distance).clone();
            tokio::spawn(exchange(gateway.clone(), client.clone(), counter, own, asks));
        };
        if now() >= next_exchange {
            limits.sweep();
            let (count, interval) = exchange_plan(limits, rounds);
            for peer in known.iter().copied().sample(&mut rand::rng(), count) {
                send(peer, Vec::new());
            }
            next_exchange = now() + interval.mul_f64(rand::random_range(INTERVAL_JITTER));
            rounds = rounds.saturating_add(1);
        }
        for (owner, asks) in limits.asks() {
            if owner == own {
                limits.apply_decisions(&asks, &limits.decide(&asks));
            } else {
                send(owner, asks);
            }
        }
        sleep(ASK_PAUSE).await;
    }
}

/// Returns the number of peers of a regular exchange, and the interval until the next one.
fn exchange_plan(limits: &RateLimits, rounds: u32) -> (usize, Duration) {
    match (rounds < INITIAL_EXCHANGES, limits.is_unused()) {
        (true, _) => (EXCHANGE_PEERS, SHORT_INTERVAL),
        (false, true) => (0, EXCHANGE_INTERVAL),
        (false, false) if limits.misses_peers() => (CONTACT_CHECK_PEERS, SHORT_INTERVAL),
        (false, false) => (EXCHANGE_PEERS, EXCHANGE_INTERVAL),
    }
}

/// Sends one message to a peer and applies its answer.
async fn exchange(
    gateway: Arc<Gateway>,
    client: Arc<Client>,
    counter: Arc<Counter>,
    from: SocketAddr,
    asks: Vec<Ask>,
) {
    let limits = gateway.rate_limits();
    let message = Message { from, reports: limits.reports(&asks), asks };
    let answer: Result<Answer, call::Error> =
        call::call(&client, LIMIT_PATH, &message, ASK_TIMEOUT, &counter).await;
    let contact = match &answer {
        Ok(_) => Contact::Reached,
        // An instance of a version without limits grants nothing either.
        Err(call::Error::NotSent(_) | call::Error::Rejected(_) | call::Error::Invalid(_)) => {
            Contact::Ended
        }
        Err(call::Error::Lost(_)) => Contact::Missed,
    };
    limits.record_contact(client.address(), contact);
    match answer {
        Ok(answer) => {
            limits.merge(&gateway, answer.reports);
            limits.apply_decisions(&message.asks, &answer.decisions);
        }
        Err(_) => limits.clear_asks(&message.asks),
    }
}

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
