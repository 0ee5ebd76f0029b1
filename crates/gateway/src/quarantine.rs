//! Exchanges the requests that are suspected of crashing leafs among instances.
//!
//! An instance that sees a leaf crash sends what it knows to the other instances at once, so that
//! they don't crash a leaf with the same request. What a peer missed, because it was cut off or has
//! just started, reaches it by regular exchanges with random peers. Instances without suspects send
//! nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use jaycrank_http::Client;
use jaycrank_policy::quarantine::Observations;
use rand::seq::IteratorRandom;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::call;
use crate::gateway::Gateway;
use crate::peer::Peers;

/// Longest time for which a request waits until it may run isolated.
pub(crate) const SUSPECT_WAIT_MAX: Duration = Duration::from_millis(500);
/// HTTP path of an exchange. Instances of versions without a quarantine answer with an error.
pub(crate) const QUARANTINE_PATH: &str = "/quarantine";
/// Interval of the regular exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Range of the random factor of the interval, so that instances don't exchange in step.
const INTERVAL_JITTER: Range<f64> = 0.8..1.2;
/// Number of peers of a regular exchange. With two, an instance that missed a report gets it within
/// 5 s with a probability of over 99.99%.
const EXCHANGE_PEERS: usize = 2;
/// Number of regular exchanges after the start that are made even without suspects, because a
/// restarted instance has lost its own. The first one is made at once, before there are routes.
const INITIAL_EXCHANGES: u32 = 3;
/// Interval of the first regular exchanges.
const INITIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Most peers that a report is sent to at once. The others get it by regular exchanges.
const REPORT_PEERS_MAX: usize = 128;
/// Age of the observations that a report contains.
const REPORT_AGE: Duration = Duration::from_secs(3);
/// Pause after a report, so that the crashes of one moment share one.
const REPORT_PAUSE: Duration = Duration::from_millis(10);
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// What one instance tells another, in both directions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// Digest of all observations of the sender.
    pub digest: u64,
    /// Observations that the receiver may not have.
    pub observations: Observations,
}

/// Merges what a peer sent and returns what it lacks.
pub(crate) fn respond(gateway: &Gateway, exchange: Exchange) -> Exchange {
    let now = Instant::now().into_std();
    let quarantine = gateway.quarantine();
    quarantine.merge(exchange.observations, now);
    let digest = quarantine.digest(now);
    let is_known = digest == exchange.digest;
    let observations = if is_known { Observations::new() } else { quarantine.observations(now) };
    Exchange { digest, observations }
}

/// Sends reports of crashes and makes regular exchanges until it is aborted.
pub(crate) async fn share(gateway: Arc<Gateway>, peers: Arc<Peers>) {
    let changed = gateway.quarantine().subscribe();
    let mut clients: BTreeMap<SocketAddr, Arc<Client>> = BTreeMap::new();
    let mut rounds = 0;
    loop {
        let is_initial = rounds < INITIAL_EXCHANGES;
        let interval = match rounds {
            0 => Duration::ZERO,
            _ if is_initial => INITIAL_INTERVAL,
            _ => EXCHANGE_INTERVAL,
        };
        let is_report = tokio::select! {
            () = changed.notified() => true,
            () = sleep(interval.mul_f64(rand::random_range(INTERVAL_JITTER))) => false,
        };
        let own = peers.own_address();
        let names = peers.addresses().iter().chain([&own]).map(name).collect::<Vec<_>>();
        gateway.quarantine().set_ready_instances(&names);
        let known = peers.addresses_and_seeds();
        clients.retain(|address, _| known.contains(address));
        let count = match (is_report, is_initial || !gateway.quarantine().is_empty()) {
            (true, _) => REPORT_PEERS_MAX,
            (false, true) => EXCHANGE_PEERS,
            (false, false) => 0,
        };
        for peer in known.into_iter().sample(&mut rand::rng(), count) {
            let client = clients.entry(peer).or_insert_with(|| Arc::new(call::client(peer)));
            let (client, gateway) = (client.clone(), gateway.clone());
            tokio::spawn(async move {
                // A peer that does not answer gets the observations by later exchanges.
                let _ = exchange(&gateway, &client).await;
            });
        }
        if is_report {
            sleep(REPORT_PAUSE).await;
        } else {
            rounds = rounds.saturating_add(1);
        }
    }
}

fn name(address: &SocketAddr) -> SmolStr {
    format_smolstr!("{address}")
}

/// Sends the recent observations to a peer and merges its own; if it lacks older ones, sends all.
async fn exchange(gateway: &Gateway, client: &Client) -> Result<(), call::Error> {
    let quarantine = gateway.quarantine();
    let now = || Instant::now().into_std();
    let recent = quarantine.recent_observations(REPORT_AGE, now());
    let sent = Exchange { digest: quarantine.digest(now()), observations: recent };
    let received = call(client, &sent).await?;
    quarantine.merge(received.observations, now());
    let digest = quarantine.digest(now());
    if digest != received.digest {
        let all = Exchange { digest, observations: quarantine.observations(now()) };
        quarantine.merge(call(client, &all).await?.observations, now());
    }
    Ok(())
}

async fn call(client: &Client, exchange: &Exchange) -> Result<Exchange, call::Error> {
    call::call(client, QUARANTINE_PATH, exchange, EXCHANGE_TIMEOUT).await
}
