//! State that the tasks of an instance share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use jaycrank_backend::Fleet;
use jaycrank_instance::Exchange;
use jaycrank_instance::wire::State;
use jaycrank_policy::ShardMap;
use jaycrank_policy::deadline::Shutdown;
use jaycrank_settings::Config;
use jaycrank_settings::Member;
use jaycrank_settings::Operator;
use jaycrank_settings::Tree;
use smol_str::SmolStr;

use jaycrank_event::Event;
use jaycrank_event::event;

/// Settings in force, with the members and operators by token digest.
#[derive(Debug, Default)]
pub struct ActiveSettings {
    tree: Arc<Tree>,
    config: Config,
    members: BTreeMap<SmolStr, SmolStr>,
    operators: BTreeMap<SmolStr, SmolStr>,
}

impl ActiveSettings {
    fn new(tree: Tree, config: Config) -> Self {
        let members = config.members().iter();
        let members = members
            .flat_map(|(name, member): (_, &Member)| with_owner(name, &member.tokens))
            .collect();
        let operators = config.operators().iter();
        let operators = operators
            .flat_map(|(name, operator): (_, &Operator)| with_owner(name, &operator.tokens))
            .collect();
        Self { tree: Arc::new(tree), config, members, operators }
    }

    /// Returns the settings as a tree.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the settings in their typed form.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the member that a token digest belongs to.
    pub fn member(&self, digest: &str) -> Option<&SmolStr> {
        self.members.get(digest)
    }

    /// Returns the operator that a token digest belongs to.
    pub fn operator(&self, digest: &str) -> Option<(&SmolStr, &Operator)> {
        let name = self.operators.get(digest)?;
        Some((name, self.config.operators().get(name)?))
    }
}

/// Pairs each token digest with the name of its owner.
fn with_owner(name: &SmolStr, digests: &[SmolStr]) -> Vec<(SmolStr, SmolStr)> {
    digests.iter().map(|digest| (digest.clone(), name.clone())).collect()
}

/// State that the tasks of an instance share.
pub struct Shared {
    name: SmolStr,
    incarnation: u64,
    instances_max: usize,
    fleet: Fleet,
    exchange: Arc<Exchange>,
    active: RwLock<Arc<ActiveSettings>>,
    maps: Mutex<BTreeMap<SmolStr, (u64, Arc<ShardMap>)>>,
    leaving: AtomicBool,
    shutdown: Shutdown,
}

impl Shared {
    /// Creates the state of an instance that has no settings yet.
    pub fn new(instances_max: usize, fleet: Fleet, exchange: Arc<Exchange>) -> Self {
        let own = exchange.membership().own();
        Self {
            name: own.name,
            incarnation: own.incarnation,
            instances_max: instances_max.max(1),
            fleet,
            exchange,
            active: RwLock::default(),
            maps: Mutex::default(),
            leaving: AtomicBool::new(false),
            shutdown: Shutdown::default(),
        }
    }

    /// Returns the name of the instance.
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Returns the incarnation: the start time of the process in Unix milliseconds.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the leafs of all services.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the exchange with other instances, which holds the membership and the documents.
    pub fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Returns the settings in force.
    pub fn active(&self) -> Arc<ActiveSettings> {
        self.active.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the shard map of a service, if there is one.
    pub fn partition_map(&self, service: &str) -> Option<Arc<ShardMap>> {
        self.maps().get(service).map(|(_, map)| map.clone())
    }

    /// Returns whether the instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns the time by which all queries must be answered because the instance stops.
    pub fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// Sets the state of the instance, which the next heartbeats announce.
    pub fn set_state(&self, state: State) {
        self.leaving.store(state == State::Leaving, Ordering::Relaxed);
        self.exchange.membership().set_state(state);
    }

    /// Puts a tree in force if it is valid and its revision is higher than the one in force.
    /// Returns whether it was put in force.
    pub fn apply_settings(&self, tree: Tree) -> bool {
        let mut active = self.active.write().unwrap_or_else(PoisonError::into_inner);
        if tree.revision() <= active.config().revision() {
            return false;
        }
        let config = match Config::from_tree(&tree) {
            Ok(config) => config,
            Err(error) => {
                event!(Event::SettingsInvalid, instance = self.name, error = error);
                return false;
            }
        };
        event!(Event::SettingsApplied, instance = self.name, revision = config.revision());
        *active = Arc::new(ActiveSettings::new(tree, config));
        drop(active);
        self.propagate_settings();
        true
    }

    /// Puts the shard map of a service in force.
    pub fn apply_map(&self, service: &str, revision: u64, map: ShardMap) {
        let map = Arc::new(map);
        self.maps().insert(service.into(), (revision, map.clone()));
        event!(Event::MapApplied, instance = self.name, service = service, revision = revision);
        self.update_fleet(service, &map);
    }

    /// Returns the revision of the shard map in force, 0 if there is none.
    pub fn map_revision(&self, service: &str) -> u64 {
        self.maps().get(service).map_or(0, |(revision, _)| *revision)
    }

    /// Passes the settings in force to the membership and the client of the leafs.
    fn propagate_settings(&self) {
        let active = self.active();
        let policy = active.config().policy();
        let interval = Duration::from_millis(policy.heartbeat_ms);
        self.exchange.membership().set_interval(interval);
        self.fleet.set_policy(policy);
        let maps = self.maps().clone();
        for (service, (_, map)) in maps {
            self.update_fleet(&service, &map);
        }
    }

    /// Passes a shard map and the settings of its service to the client of the leafs.
    fn update_fleet(&self, service: &str, map: &ShardMap) {
        let active = self.active();
        let Some(settings) = active.config().services().get(service) else { return };
        self.fleet.set_service(service, map.clone(), settings, self.instances_max);
    }

    fn maps(&self) -> MutexGuard<'_, BTreeMap<SmolStr, (u64, Arc<ShardMap>)>> {
        self.maps.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the wall-clock time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
