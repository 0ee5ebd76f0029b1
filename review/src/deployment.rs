//! Parts of the small deployment that several cases use.

use std::sync::Arc;

use crate::client::HOST;
use crate::leaf::Config;
use crate::leaf::Leaf;
use crate::record::Record;

/// Bound of the settings: time after which a leaf that leaves gets no more requests.
pub const DRAIN_MS: u64 = 3_000;
/// Bound of the settings: time for which a machine must run undisturbed to be in touch.
pub const STABILITY_WINDOW_MS: u64 = 4_000;

/// End of the path of the request that crashes leafs.
pub const DEADLY: &str = "/deadly";

/// Returns a route to one service as JSON.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u64, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":800,\"priority\":2,\
         \"service\":\"{service}\",\"maxAttempts\":2}}"
    )
}

/// Returns a route over the shards of the deployment as JSON.
pub fn gather(name: &str, prefix: &str, timeout_ms: u64, services: &[&str]) -> String {
    let services: Vec<String> = services.iter().map(|name| format!("\"{name}\"")).collect();
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"kind\":\"safe\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":120,\"priority\":1,\
         \"gather\":[{}],\"maxAttempts\":2,\"topK\":10,\"minCoverage\":0.75}}",
        services.join(",")
    )
}

/// Returns a configuration as JSON.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":41,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Starts a leaf with the slots and connections of the deployment.
pub fn leaf(id: &str, service: &str, work_ms: u64, record: &Arc<Record>) -> Leaf {
    let config = Config {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "erie-toledo".to_owned(),
        slots: 3,
        connections_max: 41,
        deadly: Some(DEADLY),
    };
    Leaf::start(config, work_ms, record.clone())
}
