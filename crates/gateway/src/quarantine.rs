//! Exchanges the requests that are suspected of crashing leafs among instances.
//!
//! An instance that sees a leaf crash pushes what it knows to a few instances of its region and to
//! one of each other region, which push it on within their region ([`gossip`]). The rate of pushes
//! is bounded, so that a failure of many leafs at once can't flood the instances. What a peer missed
//! reaches it by regular exchanges with random peers. Instances without suspects send nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use jaycrank_http::Client;
use jaycrank_policy::gossip;
use jaycrank_policy::gossip::Pacer;
use jaycrank_policy::quarantine::Observations;
use jaycrank_policy::quarantine::Quarantine;
use jaycrank_policy::quarantine::Source;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::call;
use crate::gateway::Gateway;
use crate::peer::Peers;
use crate::topology::Distance;
use crate::traffic::Kind;

/// Longest time for which a request waits until it may run isolated.
pub(crate) const SUSPECT_WAIT_MAX: Duration = Duration::from_millis(500);
/// HTTP path of an exchange. Instances of versions without a quarantine answer with an error.
pub(crate) const QUARANTINE_PATH: &str = "/quarantine";
/// HTTP path of an exchange with an instance of another region.
pub(crate) const CROSSING_PATH: &str = "/quarantine/crossing";
/// HTTP path of a push. Instances of versions that send reports to all others answer with an error.
pub(crate) const PUSH_PATH: &str = "/quarantine/push";
/// Interval of the regular exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Range of the random factor of the interval, so that instances don't exchange in step.
const INTERVAL_JITTER: Range<f64> = 0.8..1.2;
/// Number of regular exchanges after the start that are made even without suspects, because a
/// restarted instance has lost its own. The first one is made at once, before there are routes.
const INITIAL_EXCHANGES: u32 = 3;
/// Interval of the first regular exchanges.
const INITIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Pause between rounds, so that the crashes of one moment share a push, and a failure of many leafs
/// costs no more than a hundred rounds a second.
const ROUND_PAUSE: Duration = Duration::from_millis(10);
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

/// What an instance pushes to another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Push {
    /// Whether the sender is in another region than the receiver.
    crossed: bool,
    observations: Observations,
}

/// Merges what a peer sent and returns what it may lack.
pub(crate) fn respond(gateway: &Gateway, exchange: Exchange) -> Exchange {
    merge_and_answer(gateway, exchange, |quarantine, now| {
        quarantine.sample(gossip::EXCHANGE_MAX, now)
    })
}

/// Merges what a peer of another region sent and returns the most serious of what it may lack.
pub(crate) fn respond_to_crossing(gateway: &Gateway, exchange: Exchange) -> Exchange {
    merge_and_answer(gateway, exchange, Quarantine::crossing_sample)
}

fn merge_and_answer(
    gateway: &Gateway,
    exchange: Exchange,
    sample: impl Fn(&Quarantine, std::time::Instant) -> Observations,
) -> Exchange {
    let now = Instant::now().into_std();
    let quarantine = gateway.quarantine();
    quarantine.merge(exchange.observations, now);
    let digest = quarantine.digest(now);
    let is_known = digest == exchange.digest;
    let observations = if is_known { Observations::new() } else { sample(quarantine, now) };
    Exchange { digest, observations }
}

/// Merges what a peer pushed.
pub(crate) fn receive(gateway: &Gateway, push: Push) {
    let source = if push.crossed { Source::OtherRegion } else { Source::OwnRegion };
    let now = Instant::now().into_std();
    gateway.quarantine().receive(push.observations, source, now);
}

/// Pushes news and makes regular exchanges until it is aborted.
pub(crate) async fn share(gateway: Arc<Gateway>, peers: Arc<Peers>) {
    let changed = gateway.quarantine().subscribe();
    let mut sender = Sender { gateway, peers, clients: BTreeMap::new() };
    let mut pacer = Pacer::new(Instant::now().into_std());
    let mut rounds = 0;
    let mut next_exchange = Instant::now();
    loop {
        let push_at = sender.next_push(&pacer);
        tokio::select! {
            // News since the last push may be allowed to go out earlier.
            () = changed.notified() => {}
            () = sleep_until(push_at.unwrap_or(next_exchange).min(next_exchange)) => {}
        }
        sender.refresh();
        sender.push(&mut pacer);
        if Instant::now() >= next_exchange {
            let is_initial = rounds < INITIAL_EXCHANGES;
            if is_initial || !sender.gateway.quarantine().is_empty() {
                sender.exchange();
            }
            rounds = rounds.saturating_add(1);
            let interval = if is_initial { INITIAL_INTERVAL } else { EXCHANGE_INTERVAL };
            let jitter = rand::random_range(INTERVAL_JITTER);
            next_exchange = Instant::now() + interval.mul_f64(jitter);
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Sends observations to other instances.
struct Sender {
    gateway: Arc<Gateway>,
    peers: Arc<Peers>,
    clients: BTreeMap<SocketAddr, Arc<Client>>,
}

impl Sender {
    /// Takes over the list of instances.
    fn refresh(&mut self) {
        let own = self.peers.own_address();
        let names = self.peers.addresses().iter().chain([&own]).map(name).collect::<Vec<_>>();
        self.gateway.quarantine().set_ready_instances(&names);
        let known = self.peers.addresses_and_seeds();
        self.clients.retain(|address, _| known.contains(address));
    }

    /// Returns whether this instance pushes the news of its region to other regions.
    fn is_bridge(&self) -> bool {
        let own = self.peers.own_address();
        let regions = self.peers.by_region();
        !regions.others.is_empty() && regions.bridge(own) == own
    }

    /// Returns the time of the next push that is allowed, or `None` if there is nothing to push.
    fn next_push(&self, pacer: &Pacer) -> Option<Instant> {
        let now = Instant::now();
        let quarantine = self.gateway.quarantine();
        let targets = self.peers.by_region().own.len();
        let near = quarantine.has_news().then(|| pacer.push_wait(targets, now.into_std()));
        let crossing = quarantine.has_crossing().filter(|_| self.is_bridge());
        let crossing =
            crossing.map(|with_refusals| pacer.crossing_wait(with_refusals, now.into_std()));
        near.into_iter().chain(crossing).min().map(|wait| now + wait)
    }

    /// Pushes news to instances of the own region, and from the bridge of the region to one instance
    /// of each other region, as far as the pacer allows.
    fn push(&mut self, pacer: &mut Pacer) {
        let now = Instant::now().into_std();
        let quarantine = self.gateway.quarantine();
        let regions = self.peers.by_region();
        if quarantine.has_news() && pacer.try_push(regions.own.len(), now) {
            let observations = quarantine.take_news(gossip::PUSH_MAX, now);
            let targets = regions.push_targets(self.peers.own_address(), &mut rand::rng());
            let targets = targets.into_iter().map(|peer| vec![peer]).collect();
            self.send_to_each(targets, Push { crossed: false, observations });
        }
        let quarantine = self.gateway.quarantine();
        if let Some(with_refusals) = quarantine.has_crossing()
            && self.is_bridge()
            && pacer.try_cross(with_refusals, now)
        {
            let observations = quarantine.take_crossing(now);
            let targets = self.peers.by_region().crossing_targets(&mut rand::rng());
            self.send_to_each(targets, Push { crossed: true, observations });
        }
    }

    /// Sends a push to one instance of each list, the first one that answers.
    fn send_to_each(&mut self, targets: Vec<Vec<SocketAddr>>, message: Push) {
        if message.observations.is_empty() {
            return;
        }
        let message = Arc::new(message);
        for attempts in targets {
            let clients: Vec<_> = attempts.into_iter().map(|peer| self.client(peer)).collect();
            let (gateway, message) = (self.gateway.clone(), message.clone());
            tokio::spawn(async move {
                for (client, distance) in clients {
                    if push(&gateway, &client, distance, &message).await.is_ok() {
                        break;
                    }
                }
            });
        }
    }

    /// Exchanges observations with random peers.
    fn exchange(&mut self) {
        let now = Instant::now().into_std();
        let quarantine = self.gateway.quarantine();
        let digest = quarantine.digest(now);
        let (near, far) = self.peers.by_region().exchange_targets(&mut rand::rng());
        let near_sample = quarantine.sample(gossip::EXCHANGE_MAX, now);
        let far_sample = far.map(|_| quarantine.crossing_sample(now)).unwrap_or_default();
        let near = near.into_iter().map(|peer| (peer, QUARANTINE_PATH, near_sample.clone()));
        let far = far.map(|peer| (peer, CROSSING_PATH, far_sample));
        for (peer, path, observations) in near.chain(far) {
            let (client, distance) = self.client(peer);
            let gateway = self.gateway.clone();
            let message = Exchange { digest, observations };
            tokio::spawn(async move {
                // A peer that does not answer gets the observations by later exchanges.
                let _ = exchange(&gateway, &client, distance, path, &message).await;
            });
        }
    }

    fn client(&mut self, peer: SocketAddr) -> (Arc<Client>, Distance) {
        let client = self.clients.entry(peer).or_insert_with(|| Arc::new(call::client(peer)));
        (client.clone(), self.peers.distance(peer))
    }
}

fn name(address: &SocketAddr) -> SmolStr {
    format_smolstr!("{address}")
}

/// Pushes observations to a peer.
async fn push(
    gateway: &Gateway,
    client: &Client,
    distance: Distance,
    message: &Push,
) -> Result<(), call::Error> {
    let counter = gateway.traffic().counter(Kind::Suspects, distance);
    let pushed = call::call(client, PUSH_PATH, message, EXCHANGE_TIMEOUT, counter).await;
    match pushed {
        // An instance of a version without pushes takes the same observations by an exchange.
        Err(call::Error::Rejected(_)) => {
            let digest = gateway.quarantine().digest(Instant::now().into_std());
            let message = Exchange { digest, observations: message.observations.clone() };
            exchange(gateway, client, distance, QUARANTINE_PATH, &message).await
        }
        pushed => pushed,
    }
}

/// Sends observations to a peer and merges its own.
async fn exchange(
    gateway: &Gateway,
    client: &Client,
    distance: Distance,
    path: &str,
    message: &Exchange,
) -> Result<(), call::Error> {
    let counter = gateway.traffic().counter(Kind::Suspects, distance);
    let received: Exchange = call::call(client, path, message, EXCHANGE_TIMEOUT, counter).await?;
    gateway.quarantine().merge(received.observations, Instant::now().into_std());
    Ok(())
}
