//! The state dump of an instance.

use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::node::Parts;

/// Collects the state of an instance: membership, documents, leafs, claims, admission queues and
/// counts of calls to the platform.
pub fn dump(parts: &Parts) -> Value {
    let shared = &parts.shared;
    let exchange = shared.exchange();
    let own = exchange.membership().own();
    let peers: Vec<Value> = exchange
        .membership()
        .peers(Instant::now().into_std())
        .into_iter()
        .map(|peer| {
            json!({
                "name": peer.identity.name,
                "incarnation": peer.identity.incarnation,
                "address": peer.identity.address,
                "liveness": peer.liveness.to_string(),
                "silent_ms": peer.time_since_heartbeat.map(|time| time.as_millis() as u64),
            })
        })
        .collect();
    json!({
        "name": own.name,
        "incarnation": own.incarnation,
        "state": own.state,
        "region": own.region,
        "failure_domain": own.failure_domain,
        "settings_revision": shared.active().config().revision(),
        "documents": exchange.documents().revisions(),
        "peers": peers,
        "heartbeat_bytes": {
            "sent": exchange.traffic().sent_bytes(),
            "received": exchange.traffic().received_bytes(),
        },
        "platform_calls": parts.calls.snapshot(),
        "claims": parts.claims.dump(),
        "admission": parts
            .admissions
            .loads()
            .into_iter()
            .map(|(name, load)| {
                (
                    name,
                    json!({
                        "queued": load.queued,
                        "running": load.running,
                        "capacity": load.capacity,
                    }),
                )
            })
            .collect::<std::collections::BTreeMap<_, _>>(),
        "fleet": shared.fleet().dump(),
    })
}
