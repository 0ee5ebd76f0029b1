//! Watch over connections that go silent, and over leafs that have not been heard from.

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

use crate::connection::Link;
use crate::leaf::Leaf;
use crate::leaf::now;
use crate::pool::Lease;
use crate::scatter::Shared;
use crate::wire::Id;

/// Time between two scans over the connections in use.
const SCAN: Duration = Duration::from_millis(10);
/// A wait of this multiple of the leaf's p99 makes a connection suspected.
const SUSPECT_FACTOR: u32 = 3;
/// Shortest and longest wait that makes a connection suspected. The longest one bounds the time
/// of recovery, because a check costs one small request.
const SUSPECT_MIN: Duration = Duration::from_millis(40);
const SUSPECT_MAX: Duration = Duration::from_millis(250);
/// Latencies that are needed before the p99 of a leaf counts.
const COUNT_MIN: u64 = 16;
/// Wait that makes a connection silent if the leaf answers pings but does not tell whether it has
/// the request. A request that takes longer runs again on another connection.
const UNTOLD_MIN: Duration = Duration::from_secs(1);
/// Time for a reply that was on its way when the leaf answered that it has no such request.
const GRACE: Duration = Duration::from_millis(10);
/// Time for a ping on an idle connection.
const PING_MAX: Duration = Duration::from_millis(50);
/// Time after which a leaf that was not heard from is asked for its status, and idle connections
/// are pinged.
const IDLE: Duration = Duration::from_secs(1);

/// Scans all connections until the fleet is closed.
pub(crate) async fn watch(shared: Arc<Shared>) {
    let mut ticks = interval(SCAN);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut polled = now();
    loop {
        ticks.tick().await;
        let now = now();
        let leafs = shared.leafs();
        for leaf in &leafs {
            scan(&shared, leaf);
        }
        if now.saturating_duration_since(polled) >= IDLE {
            polled = now;
            leafs.iter().for_each(|leaf| poll(&shared, leaf, now));
        }
    }
}

/// Checks the connections of a leaf whose sub-requests have waited long.
fn scan(shared: &Arc<Shared>, leaf: &Arc<Leaf>) {
    if leaf.in_flight() == 0 {
        return;
    }
    let summary = leaf.summary();
    let expected = summary.p99 * SUSPECT_FACTOR;
    let known = summary.count >= COUNT_MIN;
    let bound = if known { expected.clamp(SUSPECT_MIN, SUSPECT_MAX) } else { SUSPECT_MAX };
    let mut suspected = Vec::new();
    leaf.pool().visit_links(|link| {
        if let Some((id, waited)) = link.waiting()
            && waited >= bound
        {
            // The next check of this connection is due after the same time.
            link.checked();
            suspected.push((link.clone(), id));
        }
    });
    if !suspected.is_empty() {
        tokio::spawn(check(shared.clone(), leaf.clone(), suspected));
    }
}

/// Closes suspected connections whose sub-requests the leaf does not have.
async fn check(shared: Arc<Shared>, leaf: Arc<Leaf>, suspected: Vec<(Arc<Link>, Id)>) {
    let idle = sweep(&shared, &leaf);
    let busy = async {
        for (link, id) in &suspected {
            // A slow server answers late or has the request; both keep the connection.
            let Ok(running) = leaf.control().ping(*id).await else { continue };
            let silent = match running {
                Some(running) => !running,
                None => link.in_flight_for() >= UNTOLD_MIN,
            };
            if !silent {
                continue;
            }
            let (shared, link, id) = (shared.clone(), link.clone(), *id);
            tokio::spawn(async move {
                sleep(GRACE).await;
                if link.waiting().is_some_and(|(waiting, _)| waiting == id) {
                    shared.silent.fetch_add(1, Ordering::Relaxed);
                    link.close_silent();
                }
            });
        }
    };
    tokio::join!(idle, busy);
}

/// Pings all idle connections of a leaf; those without an answer are closed if the leaf answers
/// on another connection.
async fn sweep(shared: &Shared, leaf: &Leaf) {
    let ping = async |mut lease: Lease| {
        let answered = match lease.connection() {
            Ok(connection) => timeout(PING_MAX, connection.control(Method::GET, "/ping", 0)).await,
            Err(_) => return None,
        };
        match answered {
            Ok(Ok(_)) => {
                lease.give_back();
                None
            }
            // A connection with a ping in flight can't be used again in any case.
            _ => Some(lease),
        }
    };
    let silent = join_all(leaf.pool().take_all_idle().into_iter().map(ping)).await;
    let count = silent.into_iter().flatten().count();
    shared.silent.fetch_add(count as u64, Ordering::Relaxed);
}

fn poll(shared: &Arc<Shared>, leaf: &Arc<Leaf>, now: Instant) {
    // With a single connection there is none to ask on, which says nothing about the leaf.
    if leaf.silence(now) < IDLE || !leaf.control().is_allowed() {
        return;
    }
    let (shared, leaf) = (shared.clone(), leaf.clone());
    tokio::spawn(async move {
        // A failure lowers the weight of the leaf, and the next poll follows.
        if leaf.poll().await.is_ok() {
            sweep(&shared, &leaf).await;
        }
    });
}
