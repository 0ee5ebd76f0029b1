//! Starts a gateway instance and shuts it down gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use jaycrank_event::Event;
use jaycrank_event::event;
use jaycrank_policy::capacity::RECEIVE_BUFFER_BYTES;
use jaycrank_policy::clients::Clients;
use jaycrank_policy::clients::Counts;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::admin::Admin;
use crate::admin::Readiness;
use crate::admin::is_unready;
use crate::answer::Reply;
use crate::call::Answerer;
use crate::call::Dispatcher;
use crate::catalog::Catalog;
use crate::config::Limits;
use crate::delegation;
use crate::delegation::Delegator;
use crate::follow;
use crate::follow::Connectivity;
use crate::gateway::Gateway;
use crate::gateway::Options;
use crate::peer;
use crate::peer::HttpTransport;
use crate::peer::Peers;
use crate::peer::Responder;
use crate::quarantine;
use crate::query;
use crate::reachability;
use crate::relay::Relay;
use crate::server;
use crate::server::Bounds;
use crate::server::Handler;
use crate::server::Origin;
use crate::server::Phase;
use crate::token_exchange;
use crate::traffic;

/// Time after which the load balancer sends no new connections: it probes each second and removes
/// an instance at the second failed probe.
const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace period kept in reserve, so that the process exits before it is killed.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Time in which the last answers leave a process that is not short of processor time.
const ANSWER_TIME_MIN: Duration = Duration::from_millis(200);
/// Largest part of the grace period in which only the last answers leave.
const ANSWER_TIME_FRACTION_MAX: f64 = 0.25;
/// Number of times that an answer waits for the processor on its way: the timer, the request, the
/// connection, and the end of the process.
const ANSWER_WAKEUPS: u32 = 4;
/// Interval at which a leaving instance checks whether all connections are closed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the timer whose delay measures the load of the processor.
const LOAD_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired leafs are dropped and idle connections closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Idle time after which a connection to a leaf is closed if another one is wanted.
const SPARE_IDLE_TIME: Duration = Duration::from_millis(100);
/// Shortest interval at which such connections, or those of slow clients, are closed.
const SPARE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the counts of messages and bytes are logged.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Running gateway instance.
pub struct Instance {
    name: SmolStr,
    gateway: Arc<Gateway>,
    phase: watch::Sender<Phase>,
    connections: Arc<Clients>,
    /// Number of requests of other instances in progress.
    delegated_running: Arc<AtomicUsize>,
    address: SocketAddr,
    grace: Duration,
    tasks: Vec<JoinHandle<()>>,
}

/// Handler of the requests of callers.
struct CallerHandler {
    gateway: Arc<Gateway>,
    delegator: Option<Arc<Delegator>>,
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>, origin: Origin) -> Reply {
        let delegator = self.delegator.as_deref();
        let mut reply = query::answer(&self.gateway, delegator, request, origin).await;
        if is_unready(&self.gateway, delegator) {
            // The load balancer sends the caller's next connection to another instance.
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(header::CONNECTION, close);
        }
        reply
    }

    fn limits(&self) -> Limits {
        self.gateway.directory().active().map(|active| active.config().limits).unwrap_or_default()
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            connections: self.gateway.capacity().caller_connections(),
            receive_buffer: Some(RECEIVE_BUFFER_BYTES),
        }
    }

    fn record_closed(&self, counts: Counts) {
        self.gateway.record_closed("caller", counts);
    }
}

impl Instance {
    /// Binds all listeners and starts the tasks of an instance.
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
        let peers = options
            .peer_listen
            .map(|listen| Arc::new(Peers::new(listen, options.topology(), &options.seeds)));
        let delegator = peers.clone().map(|peers| {
            let (traffic, answers) = (gateway.traffic(), gateway.answer_memory());
            Arc::new(Delegator::new(peers, traffic.clone(), answers.clone()))
        });
        let path = options.ready_path.clone();
        let readiness =
            Readiness::new(gateway.clone(), phases.clone(), path).with_delegator(delegator.clone());
        server::listen(options.ready_listen, Arc::new(readiness), phases.clone()).await?;
        let callers =
            Arc::new(CallerHandler { gateway: gateway.clone(), delegator: delegator.clone() });
        let (address, connections) =
            server::listen(options.listen, callers, phases.clone()).await?;
        if let Some(listen) = options.admin_listen {
            let admin = Admin::new(options.name.clone(), gateway.clone(), connectivity.clone());
            server::listen(listen, Arc::new(admin), phases.clone()).await?;
        }
        let mut tasks =
            vec![tokio::spawn(measure_load(gateway.clone())), tokio::spawn(sweep(gateway.clone()))];
        tasks.push(tokio::spawn(close_slow(gateway.clone(), connections.clone())));
        tasks.push(tokio::spawn(log_traffic(options.name.clone(), gateway.clone())));
        let mut catalog = catalog;
        let mut delegated_running = Arc::default();
        tasks.push(tokio::spawn(reachability::watch(gateway.clone())));
        tasks.push(tokio::spawn(token_exchange::share(gateway.clone(), peers.clone())));
        if let (Some(peers), Some(delegator)) = (peers, delegator) {
            let listen = peers.own_address();
            let polls = Responder::new(gateway.clone(), peers.clone(), connectivity.clone());
            let suspects = Answerer::new(gateway.clone(), quarantine::respond);
            let crossing = Answerer::new(gateway.clone(), quarantine::respond_to_crossing);
            let pushes = Answerer::new(gateway.clone(), quarantine::receive);
            let limits = Answerer::new(gateway.clone(), token_exchange::respond);
            let delegated = delegation::Responder::new(gateway.clone(), phases.clone());
            delegated_running = delegated.running();
            let dispatcher = Dispatcher::new(gateway.clone())
                .with_service(peer::EXCHANGE_PATH, Arc::new(polls))
                .with_service(quarantine::QUARANTINE_PATH, Arc::new(suspects))
                .with_service(quarantine::CROSSING_PATH, Arc::new(crossing))
                .with_service(quarantine::PUSH_PATH, Arc::new(pushes))
                .with_service(token_exchange::LIMIT_PATH, Arc::new(limits))
                .with_service(delegation::DELEGATION_PATH, Arc::new(delegated));
            server::listen(listen, Arc::new(dispatcher), phases).await?;
            tasks.push(tokio::spawn(quarantine::share(gateway.clone(), peers.clone())));
            tasks.push(tokio::spawn(delegator.watch(gateway.clone())));
            let transport =
                || Arc::new(HttpTransport::new(peers.clone(), gateway.traffic().clone()));
            tasks.push(tokio::spawn(peer::poll_peers(
                gateway.clone(),
                peers.clone(),
                connectivity.clone(),
                transport(),
            )));
            let relay = Relay::new(catalog, gateway.clone(), peers.clone(), transport());
            catalog = Arc::new(relay.with_first_start(options.first_start));
        }
        tasks.push(tokio::spawn(follow::follow(gateway.clone(), catalog, connectivity)));
        event!(Event::Listening, instance = options.name, caller = address);
        let Options { name, grace, .. } = options;
        Ok(Self { name, gateway, phase, connections, delegated_running, address, grace, tasks })
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state of the gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Applies the settings that may change while the instance runs; returns whether any changed.
    pub fn configure(&mut self, options: &Options) -> bool {
        let old_grace = std::mem::replace(&mut self.grace, options.grace);
        let quotas_changed =
            self.gateway.quotas().configure(options.extra_ratio, options.extra_fixed);
        old_grace != options.grace || quotas_changed
    }

    /// Returns the time by which all requests must be answered if the process ends at `end`. A process
    /// that waits for the processor takes longer to send its answers.
    fn answer_by(&self, end: Instant) -> Instant {
        let answer_time = ANSWER_TIME_MIN + self.gateway.shedder().delay() * ANSWER_WAKEUPS;
        let answer_time = answer_time.min(self.grace.mul_f64(ANSWER_TIME_FRACTION_MAX));
        end.checked_sub(answer_time).unwrap_or(end)
    }

    /// Shuts down gracefully: fails the readiness probe until the load balancer has removed the
    /// instance, then closes idle connections and waits for running requests.
    pub async fn shutdown(self) {
        let started = Instant::now();
        let end = started + self.grace.saturating_sub(GRACE_MARGIN);
        let shutdown = self.gateway.shutdown();
        shutdown.set_answer_by(self.answer_by(end));
        event!(
            Event::Leaving,
            instance = self.name,
            connections = self.connections.count(),
            requests = self.gateway.shedder().admitted(),
            answer_ms = shutdown.answer_by().map_or(0, |time| (time - started).as_millis())
        );
        self.phase.send_replace(Phase::Leaving);
        sleep_until((started + BALANCER_REMOVAL_TIME).min(end)).await;
        shutdown.set_answer_by(self.answer_by(end));
        self.phase.send_replace(Phase::Closing);
        // The listeners take over the connections that wait to be accepted.
        sleep_until((Instant::now() + DRAIN_CHECK_INTERVAL).min(end)).await;
        let in_progress =
            || self.connections.count() + self.delegated_running.load(Ordering::Relaxed);
        while in_progress() > 0 && Instant::now() < end {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
        let (open, ms) = (self.connections.count(), started.elapsed().as_millis());
        event!(Event::Stopped, instance = self.name, connections = open, ms = ms);
    }
}

/// Measures the delay of a timer, which is the time that runnable tasks wait for the processor.
async fn measure_load(gateway: Arc<Gateway>) {
    loop {
        let due = Instant::now() + LOAD_PROBE_INTERVAL;
        sleep_until(due).await;
        gateway.shedder().observe(due.elapsed());
    }
}

/// Logs the counts of messages and bytes at an interval.
async fn log_traffic(instance: SmolStr, gateway: Arc<Gateway>) {
    loop {
        sleep(TRAFFIC_LOG_INTERVAL).await;
        let counts = traffic::format_counts(&gateway.traffic().counts());
        event!(Event::TrafficCounted, instance = instance, counts = counts);
    }
}

/// Closes connections whose clients read slowly while other answers find no memory.
async fn close_slow(gateway: Arc<Gateway>, clients: Arc<Clients>) {
    loop {
        gateway.answer_memory().wanted().await;
        clients.close_slowest(Instant::now().into_std());
        sleep(SPARE_INTERVAL).await;
    }
}

async fn sweep(gateway: Arc<Gateway>) {
    let directory = gateway.directory();
    let mut due = interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            _ = due.tick() => directory.sweep(Instant::now().into_std()),
            () = directory.sockets().wanted() => {
                directory.close_idle(SPARE_IDLE_TIME);
                sleep(SPARE_INTERVAL).await;
            }
        }
    }
}
