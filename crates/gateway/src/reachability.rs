//! Finds out whether this instance is cut off from all leafs.
//!
//! [`policy::reachability`](jaycrank_policy::reachability) decides; this module probes leafs when
//! there is a suspicion, and until the cut has ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::reachability::Change;
use smol_str::SmolStr;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::leaf::Leaf;

/// Most leafs that one round probes.
const PROBES_MAX: usize = 8;
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between rounds of probes while the instance is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a request in progress checks whether open connections have become silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// State of the reachability of leafs, shared among the tasks of an instance.
#[derive(Debug)]
pub struct Reachability {
    state: Mutex<jaycrank_policy::reachability::Reachability>,
    /// Whether leafs are being probed because of a suspicion.
    probing: AtomicBool,
    suspected: Notify,
    cut_off: watch::Sender<bool>,
    /// Notified at the end of each round of probes.
    probed: Notify,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            probing: AtomicBool::new(false),
            suspected: Notify::new(),
            cut_off: watch::channel(false).0,
            probed: Notify::new(),
        }
    }
}

impl Reachability {
    /// Records a request to a leaf.
    pub(crate) fn record_send(&self, now: std::time::Instant) {
        let mut state = self.lock();
        state.record_send(now);
        self.check(&state, now);
    }

    /// Records an answer of a leaf, whatever it says.
    pub(crate) fn record_answer(&self, now: std::time::Instant) {
        self.lock().record_answer(now);
    }

    /// Records whether a new connection to a leaf could be opened.
    pub(crate) fn record_connect(&self, succeeded: bool) {
        let mut state = self.lock();
        state.record_connect(succeeded);
        self.check(&state, now());
    }

    /// Returns whether this instance is cut off from all leafs.
    pub fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    /// Returns whether a request may reach a leaf although this instance is cut off.
    pub(crate) fn may_reach(&self) -> bool {
        self.lock().may_reach(now())
    }

    /// Returns whether a leaf has answered lately. While new connections fail, open ones may live on.
    fn has_answers(&self) -> bool {
        self.lock().has_answers(now())
    }

    /// Waits until this instance is cut off from all leafs.
    pub(crate) async fn wait_for_cut(&self) {
        // The sender lives as long as `self`.
        let _ = self.cut_off.subscribe().wait_for(|cut_off| *cut_off).await;
    }

    /// Waits until this instance is cut off from all leafs and open connections are silent too.
    pub(crate) async fn wait_for_silence(&self) {
        self.wait_for_cut().await;
        while self.has_answers() {
            sleep(SILENCE_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether this instance is cut off, after the probes of a suspicion have ended.
    pub(crate) async fn verdict(&self) -> bool {
        while self.probing.load(Ordering::Relaxed) {
            let mut probed = std::pin::pin!(self.probed.notified());
            probed.as_mut().enable();
            if self.probing.load(Ordering::Relaxed) {
                probed.await;
            }
        }
        self.is_cut_off()
    }

    fn check(&self, state: &jaycrank_policy::reachability::Reachability, now: std::time::Instant) {
        if state.is_suspected(now) && !self.probing.swap(true, Ordering::Relaxed) {
            self.suspected.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, jaycrank_policy::reachability::Reachability> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Probes leafs at each suspicion and until a cut has ended, until it is aborted.
pub(crate) async fn watch(gateway: Arc<Gateway>) {
    let reachability = gateway.reachability();
    loop {
        reachability.suspected.notified().await;
        probe(&gateway).await;
        reachability.probing.store(false, Ordering::Relaxed);
        reachability.probed.notify_waiters();
        while reachability.is_cut_off() {
            sleep(PROBE_INTERVAL).await;
            probe(&gateway).await;
        }
    }
}

/// Opens connections to some leafs and records how many accept one.
async fn probe(gateway: &Gateway) {
    let started = Instant::now();
    let leafs = choose_leafs(gateway.directory().leafs());
    let probes = leafs.iter().map(|leaf| timeout(PROBE_TIMEOUT, leaf.pool().try_open()));
    let outcomes = join_all(probes).await;
    let reached = outcomes.iter().filter(|outcome| matches!(outcome, Ok(true))).count();
    let reachability = gateway.reachability();
    let change = reachability.lock().record_probes(reached, leafs.len(), now());
    let Some(change) = change else { return };
    let cut_off = change == Change::CutOff;
    event!(
        if cut_off { Event::LeafsUnreachable } else { Event::LeafsReachable },
        probed = leafs.len(),
        reached = reached,
        ms = started.elapsed().as_millis()
    );
    reachability.cut_off.send_replace(cut_off);
}

/// Chooses leafs of different services. Those that have failed least come first: a leaf that has ended
/// says nothing about the others.
fn choose_leafs(mut leafs: Vec<Arc<Leaf>>) -> Vec<Arc<Leaf>> {
    leafs.sort_by_cached_key(|leaf| (leaf.stats().failures(), rand::random::<u32>()));
    let mut counts: BTreeMap<SmolStr, usize> = BTreeMap::new();
    leafs.sort_by_cached_key(|leaf| {
        let count = counts.entry(leaf.with_entry(|entry| entry.service.clone())).or_default();
        *count += 1;
        *count
    });
    leafs.truncate(PROBES_MAX);
    leafs
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
