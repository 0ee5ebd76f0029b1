//! Health checks: detects silent connections, and polls leafs that have not replied recently.
//!
//! A connection is silent (half-open) if no reply arrives on it, although its leaf answers on
//! another connection and does not report that it has the request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hyper::Method;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::Handle;
use crate::leaf::Leaf;
use crate::leaf::now;
use crate::pool::Lease;
use crate::scatter::Shared;
use crate::wire::Id;

/// Interval between two scans of the connections in use.
const SCAN_INTERVAL: Duration = Duration::from_millis(10);
/// Wait for a reply after which a connection is suspected, as a multiple of the leaf's p99 latency.
const SUSPECT_P99_FACTOR: u32 = 3;
/// Lower and upper bound of the wait after which a connection is suspected. The upper bound limits
/// the recovery time; it can be short because a check costs only one small request.
const SUSPECT_TIMEOUT_MIN: Duration = Duration::from_millis(40);
const SUSPECT_TIMEOUT_MAX: Duration = Duration::from_millis(250);
/// Minimum number of latency samples of a leaf for its p99 to be used.
const SAMPLES_MIN: u64 = 16;
/// Wait after which a connection is closed as silent if the leaf answers pings but does not state
/// whether it has the request. A request that takes longer is run again on another connection.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to wait for a reply that was in transit when the leaf answered that it does not have the
/// request.
const LATE_REPLY_GRACE: Duration = Duration::from_millis(10);
/// Timeout for a ping on an idle connection.
const PING_TIMEOUT: Duration = Duration::from_millis(50);
/// Time without a reply after which a leaf is asked for its status and its idle connections are
/// pinged; also the interval between these polls.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the health checks of all leafs until the task is aborted.
pub(crate) async fn monitor(shared: Arc<Shared>) {
    let mut ticks = interval(SCAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut polled_at = now();
    loop {
        ticks.tick().await;
        let now = now();
        let leafs = shared.leafs();
        for leaf in &leafs {
            scan_connections(&shared, leaf);
        }
        if now.saturating_duration_since(polled_at) >= STATUS_INTERVAL {
            polled_at = now;
            leafs.iter().for_each(|leaf| poll_if_idle(&shared, leaf, now));
        }
    }
}

/// Starts a check of the connections of a leaf that have waited too long for a reply.
fn scan_connections(shared: &Arc<Shared>, leaf: &Arc<Leaf>) {
    if leaf.in_flight() == 0 {
        return;
    }
    let summary = leaf.summary();
    let expected_max = summary.p99 * SUSPECT_P99_FACTOR;
    let has_samples = summary.count >= SAMPLES_MIN;
    let suspect_timeout = if has_samples {
        expected_max.clamp(SUSPECT_TIMEOUT_MIN, SUSPECT_TIMEOUT_MAX)
    } else {
        SUSPECT_TIMEOUT_MAX
    };
    let mut suspected = Vec::new();
    leaf.pool().visit_handles(|handle| {
        if let Some((id, wait)) = handle.pending_request()
            && wait >= suspect_timeout
        {
            // The next check of this connection is due after the same wait.
            handle.mark_checked();
            suspected.push((handle.clone(), id));
        }
    });
    if !suspected.is_empty() {
        tokio::spawn(check_suspected(shared.clone(), leaf.clone(), suspected));
    }
}

/// Pings a leaf about the sub-requests on its suspected connections, and closes the connections
/// whose sub-requests it does not have. If the leaf answers but does not state it, a connection
/// is closed once its sub-request has waited for [`UNCONFIRMED_TIMEOUT`]. Also checks the idle
/// connections of the leaf.
async fn check_suspected(shared: Arc<Shared>, leaf: Arc<Leaf>, suspected: Vec<(Arc<Handle>, Id)>) {
    let check_idle = ping_idle(&shared, &leaf);
    let check_in_use = async {
        for (handle, id) in &suspected {
            // If the leaf does not answer, or has the request, it may only be slow, so the
            // connection is kept.
            let Ok(running) = leaf.control().ping(*id).await else { continue };
            let is_silent = match running {
                Some(running) => !running,
                None => handle.in_flight_for() >= UNCONFIRMED_TIMEOUT,
            };
            if !is_silent {
                continue;
            }
            let (shared, handle, id) = (shared.clone(), handle.clone(), *id);
            tokio::spawn(async move {
                sleep(LATE_REPLY_GRACE).await;
                if handle.pending_request().is_some_and(|(pending_id, _)| pending_id == id) {
                    shared.silent.fetch_add(1, Ordering::Relaxed);
                    handle.close_silent();
                }
            });
        }
    };
    tokio::join!(check_idle, check_in_use);
}

/// Pings all idle connections of a leaf and closes those that do not answer.
async fn ping_idle(shared: &Shared, leaf: &Leaf) {
    let ping = async |mut lease: Lease| {
        let reply = match lease.connection() {
            Ok(connection) => {
                timeout(PING_TIMEOUT, connection.send_control(Method::GET, "/ping", 0)).await
            }
            Err(_) => return None,
        };
        match reply {
            Ok(Ok(_)) => {
                lease.release();
                None
            }
            // A connection with a ping in flight can't be reused, so the lease is dropped.
            _ => Some(lease),
        }
    };
    let silent = join_all(leaf.pool().take_all_idle().into_iter().map(ping)).await;
    let count = silent.into_iter().flatten().count();
    shared.silent.fetch_add(count as u64, Ordering::Relaxed);
}

/// Polls a leaf that has not replied recently, and then checks its idle connections.
fn poll_if_idle(shared: &Arc<Shared>, leaf: &Arc<Leaf>, now: Instant) {
    // With a single connection there is no control connection to poll on. That poll would fail and
    // be counted as a failure of the leaf.
    if leaf.time_since_reply(now) < STATUS_INTERVAL || !leaf.control().is_allowed() {
        return;
    }
    let (shared, leaf) = (shared.clone(), leaf.clone());
    tokio::spawn(async move {
        // A failure lowers the weight of the leaf, and the next poll tries again.
        if leaf.poll_status().await.is_ok() {
            ping_idle(&shared, &leaf).await;
        }
    });
}
