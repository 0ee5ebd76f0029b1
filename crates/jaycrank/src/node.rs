//! An entry instance: its options, its parts, and its start and shutdown.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jaycrank_backend::Fleet;
use jaycrank_http::Bounds;
use jaycrank_http::Server;
use jaycrank_instance::Documents;
use jaycrank_instance::Exchange;
use jaycrank_instance::Identity;
use jaycrank_instance::Key;
use jaycrank_instance::Membership;
use jaycrank_instance::Tasks;
use jaycrank_instance::wire::State;
use jaycrank_platform::List;
use jaycrank_platform::Store;
use jaycrank_platform::count::Calls;
use jaycrank_platform::count::Counted;
use jaycrank_policy::capacity::Capacity;
use jaycrank_policy::memory::Memory;
use jaycrank_policy::quarantine::Quarantine;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::admissions;
use crate::admissions::Admissions;
use crate::claims::Claims;
use crate::follow;
use crate::follow::Reader;
use crate::ledger;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::operator_api::OperatorApi;
use crate::peers::CrashObserver;
use crate::peers::Peers;
use crate::publish;
use crate::query::Queries;
use crate::shared::Shared;
use crate::shared::unix_ms;
use jaycrank_event::Event;
use jaycrank_event::event;

/// Longest wait for settings and shard maps when an instance starts.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for peers to acknowledge an announcement of this instance. When it stops, it waits
/// the same time again for them to pull its final counts.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a leaving instance still answers on open connections, closing each after its
/// next answer. If it closed idle connections at once, a caller could lose a request that it is
/// just sending on one.
const LAME_DUCK_PERIOD: Duration = Duration::from_secs(1);

/// Time that a stopping instance needs after its last answer, to publish its final counts.
const FINISH_TIME: Duration = Duration::from_secs(1);
/// Largest part of the grace period that is kept for that.
const FINISH_TIME_FRACTION_MAX: f64 = 0.25;

/// Options of an instance, as given by the flags of `jaycrankd`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name, unique in the fleet and never reused.
    pub name: SmolStr,
    /// Region of the instance.
    pub region: SmolStr,
    /// Failure domain of the instance.
    pub failure_domain: SmolStr,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the listener for operators.
    pub operator_address: SocketAddr,
    /// Address of the listener for other instances.
    pub instance_address: SocketAddr,
    /// Addresses of instances to contact when the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates messages between instances.
    pub shared_key: Vec<u8>,
    /// Number of instances that divide the connections of the leafs among them.
    pub instances_max: usize,
    /// Longest graceful shutdown.
    pub grace: Duration,
    /// Memory that the process may use.
    pub capacity: Capacity,
}

impl Options {
    /// Creates the options of an instance that listens on free ports of the loopback interface.
    pub fn loopback(name: impl Into<SmolStr>, shared_key: &[u8]) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: name.into(),
            region: "local".into(),
            failure_domain: "local".into(),
            caller_address: any,
            operator_address: any,
            instance_address: any,
            seeds: Vec::new(),
            shared_key: shared_key.to_vec(),
            instances_max: 9,
            grace: Duration::from_secs(30),
            capacity: Capacity::default(),
        }
    }

    fn identity(&self) -> Identity {
        Identity {
            name: self.name.clone(),
            incarnation: unix_ms(),
            state: State::Starting,
            address: self.instance_address,
            caller_address: self.caller_address,
            failure_domain: self.failure_domain.clone(),
            region: self.region.clone(),
        }
    }
}

/// Clients of the platform's services.
#[derive(Clone)]
pub struct Platform {
    /// Object store.
    pub store: Arc<dyn Store>,
    /// Instance list.
    pub list: Arc<dyn List>,
}

impl Platform {
    fn count_calls(self, calls: &Arc<Calls>) -> Self {
        Self {
            store: Arc::new(Counted::new(self.store, calls.clone())),
            list: Arc::new(Counted::new(self.list, calls.clone())),
        }
    }
}

/// Parts of an instance that its listeners and tasks share.
pub struct Parts {
    /// State that the tasks share.
    pub shared: Arc<Shared>,
    /// Claims of non-idempotent requests.
    pub claims: Arc<Claims>,
    /// Admission queues and counters of members' queries.
    pub admissions: Admissions,
    /// Requests that may crash servers.
    pub quarantine: Arc<Quarantine>,
    /// Heartbeat sections received from peers.
    pub peers: Arc<Peers>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Counters of calls to the platform.
    pub calls: Arc<Calls>,
}

/// A running instance.
pub struct Node {
    parts: Arc<Parts>,
    operator_api: Arc<OperatorApi>,
    heartbeats: Tasks,
    caller: Server,
    operator: Server,
    instance: Server,
    tasks: JoinSet<()>,
    grace: Duration,
}

impl Node {
    /// Starts an instance and waits until it has settings and shard maps.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound, or if neither a peer nor the store supplies the settings
    /// within 30 s.
    pub async fn start(options: Options, platform: Platform) -> io::Result<Self> {
        let calls = Arc::new(Calls::default());
        let platform = platform.count_calls(&calls);
        let key = Key::new(&options.shared_key);
        let quarantine = Arc::new(Quarantine::new(options.name.clone()));
        let peers = Arc::new(Peers::new(quarantine.clone()));
        let interval = Duration::from_millis(250);
        let membership =
            Membership::new(options.identity(), interval).with_seeds(options.seeds.clone());
        let exchange = Arc::new(Exchange::new(membership, Documents::new(), peers.clone()));
        let crash_observer = Arc::new(CrashObserver::new(quarantine.clone()));
        let fleet = Fleet::new(jaycrank_backend::Options {
            observer: Some(crash_observer),
            ..jaycrank_backend::Options::default()
        });
        let shared = Arc::new(Shared::new(options.instances_max, fleet, exchange.clone()));
        let store = platform.store.clone();
        let claims =
            Arc::new(Claims::new(shared.clone(), peers.clone(), store.clone(), key.clone()));
        let metrics = Metrics::new().map_err(io::Error::other)?;
        let admissions = Admissions::new();
        let parts =
            Arc::new(Parts { shared, claims, admissions, quarantine, peers, metrics, calls });
        parts.peers.set_parts(Arc::downgrade(&parts));
        parts.metrics.register(&parts);
        let ledger = Arc::new(Ledger::new(store.clone()));
        let operator_api = Arc::new(OperatorApi::new(parts.clone(), ledger.clone()));
        let queries = Arc::new(Queries::new(parts.clone()));

        // Each listener has memory of its own, so that callers can't take that of the instances.
        let bounds = |bytes| Bounds { memory: Arc::new(Memory::new(bytes)), ..Bounds::default() };
        let (request_bytes, message_bytes) =
            (options.capacity.request_bytes(), options.capacity.message_bytes());
        let instance = jaycrank_instance::server::bind(
            options.instance_address,
            exchange.clone(),
            key.clone(),
            bounds(message_bytes),
        )
        .await?;
        let operator = jaycrank_operator::server::bind(
            options.operator_address,
            operator_api.clone(),
            bounds(message_bytes),
        )
        .await?;
        let caller =
            jaycrank_caller::server::bind(options.caller_address, queries, bounds(request_bytes))
                .await?;
        exchange.membership().set_addresses(instance.address(), caller.address());
        event!(
            Event::Listening,
            instance = options.name,
            caller = caller.address(),
            operator = operator.address(),
            peers = instance.address()
        );
        let reader = Arc::new(Reader::new(platform.clone(), ledger));
        bootstrap(&parts.shared, &key, &platform, &reader).await?;

        let heartbeats = Tasks::start(exchange, key);
        let shared = &parts.shared;
        let mut tasks = JoinSet::new();
        tasks.spawn(follow::apply_updates(shared.clone()));
        tasks.spawn(follow::watch(shared.clone(), reader.clone(), ledger::HEAD_KEY));
        tasks.spawn(follow::watch(shared.clone(), reader, jaycrank_instance::documents::MAPS));
        tasks.spawn(follow::poll_instance_list(shared.clone(), platform));
        tasks.spawn(parts.claims.clone().maintain());
        tasks.spawn(admissions::allocate(parts.clone()));
        tasks.spawn(publish::run(parts.clone(), store));
        tasks.spawn(update_quarantine(parts.clone()));
        shared.set_state(State::Ready);
        operator_api.set_ready(true);
        heartbeats.notify_peers();
        event!(Event::Ready, instance = shared.name());
        let grace = options.grace;
        Ok(Self { parts, operator_api, heartbeats, caller, operator, instance, tasks, grace })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Returns the address for other instances.
    pub fn instance_address(&self) -> SocketAddr {
        self.instance.address()
    }

    /// Returns the parts of the instance.
    pub fn parts(&self) -> &Arc<Parts> {
        &self.parts
    }

    /// Shuts down gracefully: announces to the peers that the instance is leaving, hands over its
    /// claim partitions, waits for requests in flight and closes each connection after its next
    /// answer.
    pub async fn shutdown(mut self) {
        let name = self.parts.shared.name();
        event!(Event::Leaving, instance = name);
        let end = Instant::now() + self.grace;
        let finish_time = FINISH_TIME.min(self.grace.mul_f64(FINISH_TIME_FRACTION_MAX));
        let answer_by = end - finish_time;
        self.parts.shared.shutdown().set_answer_by(answer_by);
        let left = || end.saturating_duration_since(Instant::now());
        self.operator_api.set_ready(false);
        self.parts.shared.set_state(State::Leaving);
        self.heartbeats.broadcast(ANNOUNCE_PERIOD).await;
        let lame_duck = sleep(LAME_DUCK_PERIOD.min(left()));
        tokio::join!(self.parts.claims.release(), lame_duck);
        self.caller.stop(left()).await;
        self.tasks.shutdown().await;
        // Publishes the final counts. The heartbeat announces them, then the peers pull them.
        publish::report(&self.parts, u64::MAX);
        self.heartbeats.broadcast(ANNOUNCE_PERIOD).await;
        sleep(ANNOUNCE_PERIOD).await;
        self.instance.stop(left()).await;
        self.operator.abort().await;
        self.parts.shared.fleet().close();
        event!(Event::Stopped, instance = self.parts.shared.name());
    }

    /// Stops at once, as if the process were killed.
    pub async fn abort(mut self) {
        self.tasks.shutdown().await;
        self.caller.abort().await;
        self.instance.abort().await;
        self.operator.abort().await;
        self.parts.shared.fleet().close();
    }
}

/// Tells the quarantine which instances are ready, so that it can choose examiners, and sends a
/// heartbeat as soon as its observations change. Runs until the task is aborted.
async fn update_quarantine(parts: Arc<Parts>) {
    let changed = parts.quarantine.subscribe();
    loop {
        let membership = parts.shared.exchange().membership();
        let ready: Vec<SmolStr> =
            membership.ready_instances(Instant::now().into_std()).into_iter().collect();
        parts.quarantine.set_ready_instances(&ready);
        // Without a change, the ready instances are read again after one heartbeat interval.
        if timeout(membership.interval(), changed.notified()).await.is_ok() {
            parts.shared.exchange().notify_peers();
        }
    }
}

/// Fetches settings and shard maps from a peer, or from the store if no peer has them.
async fn bootstrap(
    shared: &Shared,
    key: &Key,
    platform: &Platform,
    reader: &Reader,
) -> io::Result<()> {
    if let Ok(entries) = platform.list.entries().await {
        shared.exchange().membership().set_instance_list(&entries);
    }
    let source = jaycrank_instance::bootstrap::fetch_documents(
        shared.exchange(),
        key,
        reader,
        START_TIMEOUT,
    )
    .await;
    let source = source.map_err(io::Error::other)?;
    follow::apply_all(shared);
    event!(Event::DocumentsObtained, instance = shared.name(), source = format!("{source:?}"));
    Ok(())
}
