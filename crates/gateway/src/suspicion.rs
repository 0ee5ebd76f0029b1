//! Whether the request of a fetch may crash leafs.

use std::sync::Arc;

use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::quarantine::Decision;
use jaycrank_policy::quarantine::Isolation;
use jaycrank_policy::quarantine::Run;
use jaycrank_policy::quarantine::Turn;
use smol_str::format_smolstr;
use tokio::time::Instant;

use crate::fetch::Job;
use crate::gateway::Gateway;
use crate::leaf::IsolatedLeaf;
use crate::leaf::Leaf;
use crate::quarantine::SUSPECT_WAIT_MAX;

/// What a fetch knows of its request, and its isolated run.
pub(crate) struct Suspicion<'a> {
    gateway: &'a Gateway,
    job: &'a Job,
    /// Whether a leaf crashed with the request in flight and it has not run isolated since.
    suspected: bool,
    /// Permit of the isolated run.
    isolation: Option<Isolation>,
    /// Marks of the leafs of the isolated run.
    leafs: Vec<IsolatedLeaf>,
}

impl<'a> Suspicion<'a> {
    pub(crate) fn new(gateway: &'a Gateway, job: &'a Job) -> Self {
        Self { gateway, job, suspected: false, isolation: None, leafs: Vec::new() }
    }

    /// Waits until the request may run isolated, or normally if it was cleared. Returns `false` if it
    /// must not run again.
    pub(crate) async fn isolate(&mut self) -> bool {
        if self.is_isolated() {
            return false;
        }
        let fingerprint = self.job.outgoing.fingerprint();
        let deadline = self.job.deadline.at().min(Instant::now() + SUSPECT_WAIT_MAX);
        match self.gateway.quarantine().isolate(fingerprint, true, deadline).await {
            Turn::Isolated(isolation) => self.isolation = Some(isolation),
            Turn::Cleared => {}
            Turn::Refused { .. } | Turn::TimedOut => return false,
        }
        self.suspected = false;
        true
    }

    /// Marks a leaf that the request is sent to if it runs isolated.
    pub(crate) fn mark(&mut self, leaf: &Arc<Leaf>) {
        if self.is_isolated() {
            self.leafs.push(IsolatedLeaf::new(leaf));
        }
    }

    /// Records that a leaf ended with the request in flight, which makes the request a suspect
    /// unless it has just succeeded.
    pub(crate) fn record_crash(&mut self, leaf: &Leaf) {
        let fingerprint = self.job.outgoing.fingerprint();
        let isolated = self.is_isolated();
        let suspected = isolated || !self.gateway.has_just_succeeded(&self.job.outgoing);
        let id = leaf.with_entry(|entry| entry.id.clone());
        event!(
            Event::LeafCrashed,
            request = self.job.outgoing.id,
            service = self.job.service,
            leaf = id,
            fingerprint = format_smolstr!("{fingerprint:016x}"),
            caller = self.job.outgoing.caller,
            target = format_smolstr!("{:016x}", self.job.outgoing.target_hash()),
            body = format_smolstr!("{:016x}", self.job.outgoing.body_hash()),
            isolated = isolated,
            suspected = suspected
        );
        self.gateway.metrics().record_leaf_crash(isolated);
        if !suspected {
            return;
        }
        self.suspected = true;
        let quarantine = self.gateway.quarantine();
        let now = Instant::now().into_std();
        quarantine.record_incident(&id, &[fingerprint], isolated.then_some(fingerprint), now);
    }

    /// Records that the connection to a leaf broke without a sign whether the leaf ended, which may
    /// make the request a suspect unless it has just succeeded.
    pub(crate) fn record_loss(&mut self, leaf: &Leaf) {
        let run = match (self.is_isolated(), self.job.idempotent) {
            (true, _) => Run::Isolated,
            (false, true) => Run::Idempotent,
            (false, false) => Run::Once,
        };
        if run != Run::Isolated && self.gateway.has_just_succeeded(&self.job.outgoing) {
            return;
        }
        let fingerprint = self.job.outgoing.fingerprint();
        let id = leaf.with_entry(|entry| entry.id.clone());
        let (service, now) = (&self.job.service, Instant::now().into_std());
        let quarantine = self.gateway.quarantine();
        if quarantine.record_loss(fingerprint, service, &id, run, now) {
            self.suspected = true;
            event!(
                Event::RequestSuspected,
                request = self.job.outgoing.id,
                service = service,
                leaf = id,
                fingerprint = format_smolstr!("{fingerprint:016x}"),
                isolated = run == Run::Isolated
            );
        }
    }

    /// Records that a leaf answered, which clears the request if it is a suspect.
    pub(crate) fn record_answer(&mut self) {
        self.gateway.quarantine().record_answer(Instant::now().into_std());
        if self.suspected || self.is_isolated() {
            let fingerprint = self.job.outgoing.fingerprint();
            self.gateway.quarantine().record_success(fingerprint, Instant::now().into_std());
            self.suspected = false;
        }
    }

    /// Returns whether the request may run only isolated from now on: a leaf ended with it in flight,
    /// here, at another shard or at another instance.
    pub(crate) fn is_suspected(&self) -> bool {
        let quarantine = self.gateway.quarantine();
        self.suspected
            || !self.is_isolated()
                && !quarantine.is_empty()
                && quarantine.decide(self.job.outgoing.fingerprint(), Instant::now().into_std())
                    != Decision::Run
    }

    pub(crate) fn is_isolated(&self) -> bool {
        self.job.isolated || self.isolation.is_some()
    }
}
