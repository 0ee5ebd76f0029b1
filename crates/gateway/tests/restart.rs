//! Tests of instances that start while another instance knows only an older state.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::call;
use common::config;
use common::entry;
use common::eventually;
use common::free_address;
use common::get;
use common::options;
use jaycrank_gateway::lifecycle::Instance;
use jaycrank_standin::Catalog;
use jaycrank_standin::Server;
use tokio::time::sleep;

/// Time in which an instance polls others several times.
const POLLS: Duration = Duration::from_millis(2_500);
const REQUESTS: usize = 40;

async fn start(
    peer: SocketAddr,
    seed: SocketAddr,
    catalog: &Arc<Catalog>,
    domain: &str,
) -> Instance {
    let mut options = options(Some(peer), vec![seed]);
    options.failure_domain = domain.into();
    let instance = Instance::start(options, catalog.clone()).await.unwrap();
    let gateway = instance.gateway().clone();
    eventually("routes and leafs", || gateway.directory().is_complete()).await;
    instance
}

/// Guards against a restarted instance that has forgotten which leafs have left and which routes are
/// out of force, and learns the older state from an instance that is cut off from the catalog.
#[tokio::test]
async fn restarted_instance_does_not_bring_back_what_has_left() {
    for domain in ["a", "b"] {
        let gone = Server::start("gone").await.unwrap();
        let kept = Server::start("kept").await.unwrap();
        let (stale, current) = (Arc::new(Catalog::new()), Arc::new(Catalog::new()));
        for catalog in [&stale, &current] {
            catalog.put_config(config(1, "db", &[]));
            catalog.put_leaf(entry(&gone, "db"));
            catalog.put_leaf(entry(&kept, "db"));
        }
        let peers = [free_address(), free_address()];
        let _behind = start(peers[0], peers[1], &stale, "a").await;
        stale.set_outage(true);
        current.remove_leaf("gone");
        current.put_config(config(2, "db", &[]));
        for start_number in 0..2 {
            let restarted = start(peers[1], peers[0], &current, domain).await;
            let gateway = restarted.gateway().clone();
            eventually("the version in force", || {
                gateway.directory().active().is_some_and(|active| active.version() == 2)
            })
            .await;
            sleep(POLLS).await;
            let before = gone.executed().len();
            for index in 0..REQUESTS {
                let id = format!("{domain}-{start_number}-{index}");
                let reply = call(restarted.address(), &get("/read/", &id)).await;
                assert_eq!((reply.status, reply.body), (200, b"kept".to_vec()));
            }
            assert_eq!(gone.executed().len(), before, "domain {domain}, start {start_number}");
            restarted.shutdown().await;
        }
    }
}
