//! Measures slot utilization and queue length of the leafs while the instances offer more load than
//! the capacity. Time is simulated, so the results depend only on the seed.
//!
//! Usage: `cargo run -p jaycrank-backend --example saturation GROUPS LEAFS SLOTS INSTANCES MS`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use jaycrank_backend::Fleet;
use jaycrank_backend::Options;
use jaycrank_backend::Plan;
use jaycrank_backend::leaf::now;
use jaycrank_settings::schema;
use jaycrank_settings::schema::Rank;
use jaycrank_standin::deployment::Service;
use jaycrank_standin::deployment::Shape;
use tokio::time::sleep;

const SEED: u64 = 5;
const WARM_UP_TIME: Duration = Duration::from_secs(2);
const MEASURED_TIME: Duration = Duration::from_secs(4);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

#[tokio::main(flavor = "current_thread")]
async fn main() {
    tokio::time::pause();
    let arguments: Vec<usize> =
        std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let [groups, leafs, slots, instances, service_ms] = arguments[..] else {
        eprintln!("usage: saturation GROUPS LEAFS SLOTS INSTANCES MS");
        std::process::exit(2);
    };
    let shape = Shape { name: "busy", groups, leafs, slots, connections: 100, connect_ms: 1 };
    let behavior = shape.behavior(Duration::from_millis(service_ms as u64));
    let service = Service::start(shape, &behavior, SEED).await.unwrap();
    let settings = schema::Service {
        slots: slots as u32,
        connections: 100,
        floors: Default::default(),
        deadline_max_ms: 30_000,
        queue_max: 256,
        weights: Default::default(),
    };
    let fleets: Vec<_> = (0..instances)
        .map(|seed| {
            let options = Options { seed: seed as u64, ..Options::default() };
            let fleet = Arc::new(Fleet::new(options));
            fleet.set_service("busy", service.shard_map(), &settings, instances);
            fleet
        })
        .collect();
    for fleet in &fleets {
        tokio::spawn(offer_load(fleet.clone()));
    }
    sleep(WARM_UP_TIME).await;
    let completed =
        |service: &Service| -> u64 { service.leafs().map(|leaf| leaf.counts().completed()).sum() };
    let received =
        |service: &Service| -> u64 { service.leafs().map(|leaf| leaf.counts().received()).sum() };
    let (started_at, completed_before, received_before) =
        (now(), completed(&service), received(&service));
    let (mut busy, mut queued, mut samples) = (0, 0, 0);
    while now() - started_at < MEASURED_TIME {
        sleep(SAMPLE_INTERVAL).await;
        for leaf in service.leafs() {
            busy += leaf.in_flight().min(slots);
            queued += leaf.in_flight().saturating_sub(slots);
            samples += 1;
        }
    }
    let samples = f64::from(samples);
    println!("slots busy:        {:.1}%", 100.0 * busy as f64 / samples / slots as f64);
    println!("queued per leaf:   {:.2}", queued as f64 / samples);
    let rate = (completed(&service) - completed_before) as f64 / MEASURED_TIME.as_secs_f64();
    println!("completed:         {rate:.0} sub-requests/s");
    println!("received:          {}", received(&service) - received_before);
    let hedges: Vec<u64> = fleets.iter().map(|fleet| fleet.dump().hedges).collect();
    println!("hedges:            {hedges:?}");
}

/// Sends queries from 64 clients whenever the back-pressure allows.
async fn offer_load(fleet: Arc<Fleet>) {
    let backpressure = fleet.backpressure("busy");
    let notify = backpressure.subscribe();
    let clients = (0..64).map(async |_| {
        loop {
            while !backpressure.can_accept() {
                // The timeout covers a notification that another client has consumed.
                let _ = tokio::time::timeout(Duration::from_millis(5), notify.notified()).await;
            }
            let plan = Plan {
                service: "busy".into(),
                group: None,
                body: Bytes::from_static(b"{}"),
                deadline: now() + Duration::from_secs(5),
                rank: Rank::Middle,
                within_floor: false,
                fingerprint: 1,
                hedge: true,
                retry_broken: true,
            };
            let _ = fleet.scatter(&plan).await;
        }
    });
    join_all(clients).await;
}
