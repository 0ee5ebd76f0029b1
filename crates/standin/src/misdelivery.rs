//! Injection of replies that belong to another request.

use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;

use crate::leaf::Behavior;

type Reply = Response<Full<Bytes>>;

/// Sends a reply again in answer to a later request.
#[derive(Debug, Default)]
pub(crate) struct Misdelivery {
    held: Mutex<Option<Reply>>,
}

impl Misdelivery {
    /// Duplicates a reply of a connection if `drawn`, a random number in [0, 1), is below the
    /// duplicated fraction. After that every reply of the connection answers the request after its
    /// own.
    pub(crate) fn duplicate(&self, reply: Reply, behavior: &Behavior, drawn: f64) -> Reply {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.is_none() && drawn >= behavior.duplicated_fraction {
            return reply;
        }
        held.replace(reply.clone()).unwrap_or(reply)
    }

    /// Replaces a reply of a leaf by the previous one if `drawn`, a random number in [0, 1), is
    /// below the replaced fraction.
    pub(crate) fn replace(&self, reply: Reply, behavior: &Behavior, drawn: f64) -> Reply {
        if behavior.replaced_fraction == 0.0 {
            return reply;
        }
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = held.replace(reply.clone());
        if drawn < behavior.replaced_fraction { previous.unwrap_or(reply) } else { reply }
    }
}
