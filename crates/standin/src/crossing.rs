//! Replies that reach the wrong request.

use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;

use crate::leaf::Behavior;

type Reply = Response<Full<Bytes>>;

/// A reply that is kept back for a later request.
#[derive(Debug, Default)]
pub(crate) struct Crossing {
    kept: Mutex<Option<Reply>>,
}

impl Crossing {
    /// Duplicates a reply of a connection if `drawn`, a random number in [0, 1), says so. Each
    /// later reply of the connection then takes the place of the next.
    pub(crate) fn duplicate(&self, reply: Reply, behavior: &Behavior, drawn: f64) -> Reply {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.is_none() && drawn >= behavior.duplicated_fraction {
            return reply;
        }
        kept.replace(reply.clone()).unwrap_or(reply)
    }

    /// Replaces a reply of a leaf by the one before it if `drawn` says so.
    pub(crate) fn replace(&self, reply: Reply, behavior: &Behavior, drawn: f64) -> Reply {
        if behavior.replaced_fraction == 0.0 {
            return reply;
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let last = kept.replace(reply.clone());
        if drawn < behavior.replaced_fraction { last.unwrap_or(reply) } else { reply }
    }
}
