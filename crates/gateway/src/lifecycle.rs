//! Runs a gateway from its start to its graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use jaycrank_event::Event;
use jaycrank_event::event;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::admin::Admin;
use crate::admin::Ready;
use crate::answer::Reply;
use crate::catalog::Catalog;
use crate::config::Limits;
use crate::follow;
use crate::follow::Connectivity;
use crate::gateway::Gateway;
use crate::gateway::Options;
use crate::peer;
use crate::peer::Peers;
use crate::peer::Responder;
use crate::query;
use crate::relay::Relay;
use crate::server;
use crate::server::Connections;
use crate::server::Handler;
use crate::server::Phase;

/// Time after which the balancer sends no new connections: it asks each second and takes an
/// instance out at the second miss.
const BALANCER_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is left when the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a leaving instance looks whether it is done.
const DONE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the timer whose delay shows the load of the processor.
const LOAD_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which leafs that are gone are forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A running gateway.
pub struct Instance {
    name: SmolStr,
    gateway: Arc<Gateway>,
    phase: watch::Sender<Phase>,
    connections: Connections,
    address: SocketAddr,
    grace: Duration,
    tasks: Vec<JoinHandle<()>>,
}

/// Answers callers.
struct Callers(Arc<Gateway>);

#[async_trait]
impl Handler for Callers {
    async fn handle(&self, request: Request<Incoming>, first: bool) -> Reply {
        query::answer(&self.0, request, first).await
    }

    fn limits(&self) -> Limits {
        self.0.directory().active().map(|active| active.config().limits).unwrap_or_default()
    }
}

impl Instance {
    /// Binds all listeners and starts the tasks of a gateway.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn start(options: Options, catalog: Arc<dyn Catalog>) -> io::Result<Self> {
        let gateway =
            Gateway::new(&options).map_err(|error| io::Error::other(error.to_string()))?;
        let gateway = Arc::new(gateway);
        let connectivity = Arc::new(Connectivity::default());
        let (phase, phases) = watch::channel(Phase::Serving);
        let ready = Ready::new(gateway.clone(), phases.clone(), options.ready_path.clone());
        server::listen(options.ready_listen, Arc::new(ready), phases.clone()).await?;
        let callers = Arc::new(Callers(gateway.clone()));
        let (address, connections) =
            server::listen(options.listen, callers, phases.clone()).await?;
        if let Some(listen) = options.admin_listen {
            let admin = Admin::new(options.name.clone(), gateway.clone(), connectivity.clone());
            server::listen(listen, Arc::new(admin), phases.clone()).await?;
        }
        let mut tasks =
            vec![tokio::spawn(measure_load(gateway.clone())), tokio::spawn(sweep(gateway.clone()))];
        let mut catalog = catalog;
        if let Some(listen) = options.peer_listen {
            let domain = options.failure_domain.clone();
            let peers = Peers::new(listen, domain, options.regions.clone(), &options.seeds);
            let peers = Arc::new(peers);
            let responder = Responder::new(gateway.clone(), peers.clone(), connectivity.clone());
            server::listen(listen, Arc::new(responder), phases).await?;
            tasks.push(tokio::spawn(peer::poll_peers(
                gateway.clone(),
                peers.clone(),
                connectivity.clone(),
            )));
            catalog = Arc::new(
                Relay::new(catalog, gateway.clone(), peers).with_first_start(options.first_start),
            );
        }
        tasks.push(tokio::spawn(follow::follow(gateway.clone(), catalog, connectivity)));
        event!(Event::Listening, instance = options.name, caller = address);
        let Options { name, grace, .. } = options;
        Ok(Self { name, gateway, phase, connections, address, grace, tasks })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Applies the settings that may change while the instance runs; returns whether any did.
    pub fn configure(&mut self, options: &Options) -> bool {
        let grace = std::mem::replace(&mut self.grace, options.grace);
        let extra = self.gateway.budgets().configure(options.extra_ratio, options.extra_fixed);
        grace != options.grace || extra
    }

    /// Leaves: first the balancer notices, then idle connections close, then requests end.
    pub async fn shutdown(self) {
        let started = Instant::now();
        let end = started + self.grace.saturating_sub(GRACE_MARGIN);
        event!(Event::Leaving, instance = self.name, connections = self.connections.count());
        self.phase.send_replace(Phase::Leaving);
        sleep_until((started + BALANCER_TIME).min(end)).await;
        self.phase.send_replace(Phase::Closing);
        while self.connections.count() > 0 && Instant::now() < end {
            sleep(DONE_INTERVAL).await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
        let (open, ms) = (self.connections.count(), started.elapsed().as_millis());
        event!(Event::Stopped, instance = self.name, connections = open, ms = ms);
    }
}

/// Reports the delay of a timer, which is the time that ready work waits for the processor.
async fn measure_load(gateway: Arc<Gateway>) {
    loop {
        let due = Instant::now() + LOAD_INTERVAL;
        sleep_until(due).await;
        gateway.shedder().observe(due.elapsed());
    }
}

async fn sweep(gateway: Arc<Gateway>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        gateway.directory().sweep(Instant::now().into_std());
    }
}
