//! Setup shared by the tests.

use std::time::Duration;

use bytes::Bytes;
use jaycrank_backend::Fleet;
use jaycrank_backend::Options;
use jaycrank_backend::Plan;
use jaycrank_backend::leaf::now;
use jaycrank_settings::schema::Policy;
use jaycrank_settings::schema::Rank;
use jaycrank_settings::schema::Service as Settings;
use jaycrank_standin::deployment::Service;
use jaycrank_standin::deployment::Shape;
use jaycrank_standin::leaf::Behavior;

pub const SERVICE_NAME: &str = "reel-history";
pub const SEED: u64 = 11;

/// Returns a deployment shape of `groups` groups of `leafs` leafs with 2 slots each.
pub fn shape(groups: usize, leafs: usize) -> Shape {
    Shape { name: SERVICE_NAME, groups, leafs, slots: 2, connections: 10, connect_ms: 0 }
}

pub async fn start(shape: Shape, service_ms: u64) -> Service {
    let behavior = Behavior {
        slots: shape.slots,
        service_time: Duration::from_millis(service_ms),
        ..Behavior::default()
    };
    Service::start(shape, &behavior, SEED).await.unwrap()
}

pub fn settings(shape: &Shape) -> Settings {
    Settings {
        slots: shape.slots as u32,
        connections: shape.connections as u32,
        floors: [(Rank::Urgent, 0.5)].into(),
        deadline_max_ms: 30_000,
        queue_max: 256,
        weights: Default::default(),
    }
}

pub fn fleet(service: &Service, policy: Policy) -> Fleet {
    let fleet = Fleet::new(Options { policy, ..Options::default() });
    fleet.set_service(SERVICE_NAME, service.shard_map(), &settings(service.shape()), 1);
    fleet
}

pub fn plan(deadline_ms: u64) -> Plan {
    Plan {
        service: SERVICE_NAME.into(),
        group: None,
        body: Bytes::from_static(b"{}"),
        deadline: now() + Duration::from_millis(deadline_ms),
        rank: Rank::Middle,
        within_floor: false,
        fingerprint: 42,
        hedge: true,
        retry_broken: true,
    }
}
