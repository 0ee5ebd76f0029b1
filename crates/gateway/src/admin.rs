//! Handlers of the readiness probe, the metrics and the state dump.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jaycrank_policy::capacity::RECEIVE_BUFFER_BYTES;
use jaycrank_policy::clients::Counts;
use jaycrank_policy::quarantine::Observation;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::sync::watch;

use crate::answer::Reply;
use crate::delegation::Delegator;
use crate::follow::Connectivity;
use crate::gateway::Gateway;
use crate::report::DUMP_PATH;
use crate::report::Dump;
use crate::report::LeafStatus;
use crate::server::Bounds;
use crate::server::Handler;
use crate::server::Origin;
use crate::server::Phase;

/// HTTP path, before the fingerprint, that ends the refusal of a request.
const LIFT_PREFIX: &str = "/quarantine/lift/";

/// Handler of the readiness probe of the load balancer.
pub struct Readiness {
    gateway: Arc<Gateway>,
    phase: watch::Receiver<Phase>,
    path: SmolStr,
    delegator: Option<Arc<Delegator>>,
}

impl Readiness {
    /// Creates a handler that answers at `path`.
    pub fn new(gateway: Arc<Gateway>, phase: watch::Receiver<Phase>, path: SmolStr) -> Self {
        Self { gateway, phase, path, delegator: None }
    }

    /// Sets the other instances, which may serve callers while this one is cut off from all leafs.
    pub fn with_delegator(mut self, delegator: Option<Arc<Delegator>>) -> Self {
        self.delegator = delegator;
        self
    }
}

/// Returns whether callers should use another instance because this one is cut off from all leafs.
/// If no instance reaches leafs, there is no better one.
pub(crate) fn is_unready(gateway: &Gateway, delegator: Option<&Delegator>) -> bool {
    gateway.reachability().is_cut_off()
        && delegator.is_some_and(|delegator| delegator.has_peers() && !delegator.is_pointless())
}

#[async_trait]
impl Handler for Readiness {
    async fn handle(&self, request: Request<Incoming>, _origin: Origin) -> Reply {
        let ready = *self.phase.borrow() == Phase::Serving
            && self.gateway.directory().is_complete()
            && !is_unready(&self.gateway, self.delegator.as_deref());
        if request.uri().path() != self.path {
            text_reply(StatusCode::NOT_FOUND, String::new())
        } else if ready {
            text_reply(StatusCode::OK, "ready\n".to_owned())
        } else {
            text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
        }
    }

    fn bounds(&self) -> Bounds {
        probe_bounds(&self.gateway)
    }

    fn record_closed(&self, counts: Counts) {
        self.gateway.record_closed("ready", counts);
    }
}

/// Handler of `/metrics`, `/dump` and `/quarantine/lift/FINGERPRINT`.
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
            let rest = leaf.rest().wait(Instant::now());
            LeafStatus {
                entry,
                state,
                in_flight: stats.in_flight(),
                failures: stats.failures(),
                rest_ms: u64::try_from(rest.as_millis()).unwrap_or(u64::MAX),
            }
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
            quarantine: self.quarantine(),
            limits: self.gateway.rate_limits().statuses(),
            traffic: self.gateway.traffic().counts(),
            memory: self.gateway.memory_usage(),
        }
    }

    fn quarantine(&self) -> BTreeMap<SmolStr, Observation> {
        let observations = self.gateway.quarantine().observations(Instant::now());
        let named = observations
            .into_iter()
            .map(|(fingerprint, observation)| (format_smolstr!("{fingerprint:016x}"), observation));
        named.collect()
    }

    /// Ends the refusal of the request with this fingerprint, in hexadecimal.
    fn lift(&self, fingerprint: &str) -> Reply {
        let fingerprint = u64::from_str_radix(fingerprint, 16).ok();
        let quarantine = self.gateway.quarantine();
        match fingerprint.map(|fingerprint| quarantine.lift(fingerprint, Instant::now())) {
            Some(true) => text_reply(StatusCode::OK, "lifted\n".to_owned()),
            Some(false) => text_reply(StatusCode::NOT_FOUND, "not quarantined\n".to_owned()),
            None => text_reply(StatusCode::BAD_REQUEST, "not a fingerprint\n".to_owned()),
        }
    }
}

#[async_trait]
impl Handler for Admin {
    async fn handle(&self, request: Request<Incoming>, _origin: Origin) -> Reply {
        if request.method() == Method::POST
            && let Some(fingerprint) = request.uri().path().strip_prefix(LIFT_PREFIX)
        {
            return self.lift(fingerprint);
        }
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

    fn bounds(&self) -> Bounds {
        probe_bounds(&self.gateway)
    }

    fn record_closed(&self, counts: Counts) {
        self.gateway.record_closed("admin", counts);
    }
}

/// Returns the bounds of a listener for probes or metrics.
fn probe_bounds(gateway: &Gateway) -> Bounds {
    Bounds {
        connections: gateway.capacity().probe_connections(),
        receive_buffer: Some(RECEIVE_BUFFER_BYTES),
    }
}

fn text_reply(status: StatusCode, body: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply
}
