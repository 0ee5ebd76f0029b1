//! Background tasks that exchange heartbeats, one task for each peer address.

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

/// Minimum timeout of a heartbeat; a longer heartbeat interval extends it.
const HEARTBEAT_TIMEOUT_MIN: Duration = Duration::from_millis(500);

/// Timeout of a pull, whose reply may have several megabytes.
const PULL_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle of the heartbeat tasks, which are aborted when it is dropped.
pub struct Tasks {
    exchange: Arc<Exchange>,
    key: Key,
    supervisor: JoinHandle<()>,
}

impl Tasks {
    /// Starts a task for each address of the membership and keeps the tasks in step with it.
    pub fn start(exchange: Arc<Exchange>, key: Key) -> Self {
        let supervisor = tokio::spawn(supervise(exchange.clone(), key.clone()));
        Self { exchange, key, supervisor }
    }

    /// Makes all tasks send a heartbeat now, without waiting for the replies.
    pub fn notify_peers(&self) {
        self.exchange.notify_peers();
    }

    /// Sends a heartbeat to all peers, waits up to `time_limit` for the replies, and returns the
    /// number of peers that replied. A leaving instance calls it before it closes its listener.
    pub async fn broadcast(&self, time_limit: Duration) -> usize {
        let mut exchanges = JoinSet::new();
        for address in self.exchange.membership().targets(Instant::now().into_std()) {
            let (exchange, key) = (self.exchange.clone(), self.key.clone());
            exchanges.spawn(async move {
                let client = Client::new(address, key).with_traffic(exchange.traffic().clone());
                let reply = client.heartbeat(&exchange.compose_heartbeat(None), time_limit).await;
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
        // A peer that does not reply in time suspects this instance when its heartbeats stop.
        let _ = timeout(time_limit, all).await;
        replied
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

/// Runs one task for each target address, starting and aborting tasks as the targets change.
/// Aborting this task aborts them all.
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
            let is_target = targets.contains(address);
            if !is_target {
                handle.abort();
                exchange.unregister(*address);
            }
            is_target
        });
        for address in targets {
            handles
                .entry(address)
                .or_insert_with(|| tasks.spawn(run(address, exchange.clone(), key.clone())));
        }
        while tasks.try_join_next().is_some() {}
        // Targets also expire with time, without a change notification, so they are polled.
        let pause = exchange.membership().interval() * crate::membership::MISSED_HEARTBEATS_MAX;
        let _ = timeout(pause, changed.changed()).await;
    }
}

/// Exchanges heartbeats with one peer until the task is aborted.
async fn run(address: SocketAddr, exchange: Arc<Exchange>, key: Key) {
    let client = Client::new(address, key).with_traffic(exchange.traffic().clone());
    let notifier = exchange.register(address);
    let mut name = None;
    loop {
        let interval = exchange.membership().interval();
        let heartbeat = exchange.compose_heartbeat(name.as_deref());
        // A failed exchange needs no action: the failure detector acts on missing heartbeats.
        if let Ok(reply) = client.heartbeat(&heartbeat, interval.max(HEARTBEAT_TIMEOUT_MIN)).await {
            name = Some(reply.from.name.clone());
            if exchange.handle_heartbeat(reply) {
                // A failed pull is repeated after the next heartbeat.
                let _ = pull_documents(&client, &exchange).await;
            }
        }
        // Up to 10% of jitter keeps instances from sending their heartbeats in lockstep.
        let pause = interval.mul_f64(rand::random_range(0.9..1.0));
        let due = async {
            let mut remaining = pause;
            while !remaining.is_zero() {
                sleep(remaining).await;
                // An exchange that the peer started has transferred the data both ways, so a pair
                // needs only one exchange in an interval.
                let now = Instant::now().into_std();
                let silence = name
                    .as_ref()
                    .and_then(|name| exchange.membership().time_since_heartbeat(name, now));
                remaining = silence.map_or(Duration::ZERO, |silence| pause.saturating_sub(silence));
            }
        };
        tokio::select! {
            () = due => {}
            () = notifier.notified() => {}
        }
    }
}

/// Pulls all documents of which a peer has a higher revision, and returns how many were applied.
///
/// # Errors
///
/// See [`Client::pull`]. Documents of earlier replies stay applied.
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
