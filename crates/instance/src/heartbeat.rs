//! The tasks that exchange heartbeats, one for each peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::auth::Key;
use crate::client::Client;
use crate::client::Error;
use crate::exchange::Exchange;
use crate::wire::Blob;
use crate::wire::Document;
use crate::wire::Pull;

/// Shortest time that a peer gets to reply to a heartbeat.
const HEARTBEAT_TIMEOUT_MIN: Duration = Duration::from_millis(500);

/// Time that a peer gets to reply to a pull, which may carry several megabytes.
const PULL_TIMEOUT: Duration = Duration::from_secs(10);

/// Running heartbeat tasks; dropping it ends them.
pub struct Tasks {
    exchange: Arc<Exchange>,
    key: Key,
    supervisor: JoinHandle<()>,
}

impl Tasks {
    /// Starts a task for each address of the membership, now and when it changes.
    pub fn start(exchange: Arc<Exchange>, key: Key) -> Self {
        let supervisor = tokio::spawn(supervise(exchange.clone(), key.clone()));
        Self { exchange, key, supervisor }
    }

    /// Sends a heartbeat to all peers at once, without waiting for the replies.
    pub fn notify_peers(&self) {
        self.exchange.notify_peers();
    }

    /// Sends a heartbeat to all peers and waits up to `time` for the replies. Returns the number
    /// of peers that replied. A leaving instance calls it before it closes its listener.
    pub async fn broadcast(&self, time: Duration) -> usize {
        let mut exchanges = JoinSet::new();
        for address in self.exchange.membership().targets(Instant::now().into_std()) {
            let (exchange, key) = (self.exchange.clone(), self.key.clone());
            exchanges.spawn(async move {
                let client = Client::new(address, key).with_traffic(exchange.traffic().clone());
                let reply = client.heartbeat(&exchange.compose_heartbeat(None), time).await;
                reply.is_ok_and(|reply| {
                    exchange.handle_heartbeat(reply);
                    true
                })
            });
        }
        let mut replied = 0;
        let all = async {
            while let Some(result) = exchanges.join_next().await {
                replied += usize::from(result.unwrap_or(false));
            }
        };
        // Peers that do not reply in time notice the missing heartbeats.
        let _ = timeout(time, all).await;
        replied
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

/// Keeps one task for each address. The set of tasks ends with this task.
async fn supervise(exchange: Arc<Exchange>, key: Key) {
    let mut changed = exchange.membership().subscribe();
    let mut tasks = JoinSet::new();
    let mut handles = BTreeMap::new();
    loop {
        changed.borrow_and_update();
        let now = Instant::now().into_std();
        exchange.remove_stale_peers();
        let targets = exchange.membership().targets(now);
        handles.retain(|address: &SocketAddr, handle: &mut tokio::task::AbortHandle| {
            let kept = targets.contains(address);
            if !kept {
                handle.abort();
                exchange.unregister(*address);
            }
            kept
        });
        for address in targets {
            handles
                .entry(address)
                .or_insert_with(|| tasks.spawn(run(address, exchange.clone(), key.clone())));
        }
        while tasks.try_join_next().is_some() {}
        // A peer that left changes the targets without a message, so they are read again.
        let pause = exchange.membership().interval() * crate::membership::MISSED_HEARTBEATS_MAX;
        let _ = timeout(pause, changed.changed()).await;
    }
}

/// Exchanges heartbeats with one peer for as long as it is a target.
async fn run(address: SocketAddr, exchange: Arc<Exchange>, key: Key) {
    let client = Client::new(address, key).with_traffic(exchange.traffic().clone());
    let notifier = exchange.register(address);
    let mut name = None;
    loop {
        let interval = exchange.membership().interval();
        let heartbeat = exchange.compose_heartbeat(name.as_deref());
        // A failed exchange needs no action: the peer's silence is what counts.
        if let Ok(reply) = client.heartbeat(&heartbeat, interval.max(HEARTBEAT_TIMEOUT_MIN)).await {
            name = Some(reply.from.name.clone());
            if exchange.handle_heartbeat(reply) {
                // A failed pull is made up for after the next heartbeat.
                let _ = pull_documents(&client, &exchange).await;
            }
        }
        // A tenth of jitter keeps the heartbeats of many instances from coming together.
        let pause = interval.mul_f64(rand::random_range(0.9..1.0));
        let due = async {
            let mut rest = pause;
            while !rest.is_zero() {
                sleep(rest).await;
                // An exchange that the peer started carried this instance's data too, so each
                // pair makes one exchange in an interval and not two.
                let now = Instant::now().into_std();
                let silent = name
                    .as_ref()
                    .and_then(|name| exchange.membership().time_since_heartbeat(name, now));
                rest = silent.map_or(Duration::ZERO, |silent| pause.saturating_sub(silent));
            }
        };
        tokio::select! {
            () = due => {}
            () = notifier.notified() => {}
        }
    }
}

/// Pulls all documents that a peer has newer, and returns how many were applied.
///
/// # Errors
///
/// As for [`Client::pull`]; documents that arrived before are kept.
pub async fn pull_documents(client: &Client, exchange: &Exchange) -> Result<usize, Error> {
    let mut applied = 0;
    loop {
        let pull = Pull { above: exchange.documents().revisions() };
        let reply = client.pull(&pull, PULL_TIMEOUT).await?;
        let before = applied;
        for Document { key, revision, value: Blob(value) } in reply.documents {
            applied += usize::from(exchange.documents().apply(key, revision, value));
        }
        if !reply.more || applied == before {
            return Ok(applied);
        }
    }
}
