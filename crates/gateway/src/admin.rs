//! Handlers of the readiness probe, the metrics and the state dump.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::answer::Reply;
use crate::follow::Connectivity;
use crate::gateway::Gateway;
use crate::report::DUMP_PATH;
use crate::report::Dump;
use crate::report::LeafStatus;
use crate::server::Handler;
use crate::server::Phase;

/// Handler of the readiness probe of the load balancer.
pub struct Readiness {
    gateway: Arc<Gateway>,
    phase: watch::Receiver<Phase>,
    path: SmolStr,
}

impl Readiness {
    /// Creates a handler that answers at `path`.
    pub fn new(gateway: Arc<Gateway>, phase: watch::Receiver<Phase>, path: SmolStr) -> Self {
        Self { gateway, phase, path }
    }
}

#[async_trait]
impl Handler for Readiness {
    async fn handle(&self, request: Request<Incoming>, _first: bool) -> Reply {
        let ready =
            *self.phase.borrow() == Phase::Serving && self.gateway.directory().is_complete();
        if request.uri().path() != self.path {
            text_reply(StatusCode::NOT_FOUND, String::new())
        } else if ready {
            text_reply(StatusCode::OK, "ready\n".to_owned())
        } else {
            text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    }
}

/// Handler of `/metrics` and `/dump`.
pub struct Admin {
    name: SmolStr,
    gateway: Arc<Gateway>,
    connectivity: Arc<Connectivity>,
}

impl Admin {
    /// Creates a handler that serves the state of `gateway` under the instance name `name`.
    pub fn new(name: SmolStr, gateway: Arc<Gateway>, connectivity: Arc<Connectivity>) -> Self {
        Self { name, gateway, connectivity }
    }

    fn dump(&self) -> Dump {
        let directory = self.gateway.directory();
        let leafs = directory.leafs().into_iter().map(|leaf| {
            let entry = leaf.entry();
            let state = <&str>::from(leaf.presence()).into();
            let stats = leaf.stats();
            LeafStatus { entry, state, in_flight: stats.in_flight(), failures: stats.failures() }
        });
        let delay = self.gateway.shedder().delay().as_micros();
        Dump {
            name: self.name.clone(),
            version: directory.active().map(|active| active.version()),
            revision: directory.revision(),
            catalog_lost: self.connectivity.is_lost(),
            processor_delay_us: u64::try_from(delay).unwrap_or(u64::MAX),
            requests: self.gateway.shedder().admitted(),
            outcomes: self.gateway.metrics().outcomes(),
            budgets: self.gateway.quotas().tokens_by_service(),
            leafs: leafs.collect(),
        }
    }
}

#[async_trait]
impl Handler for Admin {
    async fn handle(&self, request: Request<Incoming>, _first: bool) -> Reply {
        let body = match request.uri().path() {
            "/metrics" => self.gateway.metrics().scrape().map_err(|error| error.to_string()),
            DUMP_PATH => serde_json::to_string(&self.dump()).map_err(|error| error.to_string()),
            _ => return text_reply(StatusCode::NOT_FOUND, String::new()),
        };
        match body {
            Ok(body) => text_reply(StatusCode::OK, body),
            Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error),
        }
    }
}

fn text_reply(status: StatusCode, body: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply
}
