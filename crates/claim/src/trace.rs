//! Optional trace of protocol events, for checks against the specification.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use jaycrank_platform::Version;
use smol_str::SmolStr;

use crate::head::Epoch;
use crate::submission::AttemptId;
use crate::submission::Outcome;
use crate::submission::RequestId;
use crate::verdict::Verdict;

/// Protocol event. The names follow `spec/claim.pml`.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The store applied a write; recorded by the store stand-in.
    Put {
        /// Key of the object.
        key: SmolStr,
        /// New value.
        value: Bytes,
        /// New version.
        version: Version,
    },
    /// The store deleted an object; recorded by the store stand-in.
    Delete {
        /// Key of the object.
        key: SmolStr,
    },
    /// An instance completed a takeover.
    Own {
        /// Epoch of the ownership.
        epoch: Epoch,
    },
    /// An owner learned that it is fenced, or handed over the partition.
    Lose {
        /// Epoch of the ownership.
        epoch: Epoch,
    },
    /// An owner dispatched a request.
    Run {
        /// Epoch of the ownership.
        epoch: Epoch,
        /// Id of the request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Id of the attempt.
        attempt_id: AttemptId,
    },
    /// A run ended.
    End {
        /// Id of the request.
        request_id: RequestId,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// A submission got its verdict.
    Tell {
        /// Id of the request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Id of the attempt.
        attempt_id: AttemptId,
        /// Verdict of the owner.
        verdict: Verdict,
    },
}

/// Shared list of events, each with the name of the instance where it happened.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    events: Arc<Mutex<Vec<(SmolStr, Event)>>>,
}

impl Trace {
    /// Creates an empty trace.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends an event.
    pub fn record(&self, instance: &str, event: Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push((instance.into(), event));
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<(SmolStr, Event)> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
