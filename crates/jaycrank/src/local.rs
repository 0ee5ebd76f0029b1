//! A whole tier on loopback: stand-in platform, stand-in leafs and entry instances.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use jaycrank_instance::documents::MAPS;
use jaycrank_platform::Expected;
use jaycrank_platform::Store as _;
use jaycrank_policy::ShardMap;
use jaycrank_settings::Branch;
use jaycrank_settings::Tree;
use jaycrank_standin::List;
use jaycrank_standin::Store;
use jaycrank_standin::deployment::CONSORTIUM;
use jaycrank_standin::deployment::LAKESHORE;
use jaycrank_standin::deployment::Service;
use jaycrank_standin::deployment::Shape;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::task::JoinSet;

use crate::ledger::Ledger;
use crate::node::Node;
use crate::node::Options;
use crate::node::Platform;
use crate::token;

/// Members of the sample deployments, all of equal weight.
pub const MEMBERS: [&str; 4] = ["tunis", "sfax", "sousse", "lakeshore"];

/// Team that owns the sample settings.
const TEAM: &str = "platform";

/// Options of a local tier.
///
/// ```
/// use jaycrank::local::TierOptions;
/// use jaycrank_standin::deployment::Shape;
///
/// let tier_options = TierOptions {
///     instances: 6,
///     services: Shape::find("quote-desk").into_iter().collect(),
///     ..TierOptions::default()
/// };
/// assert_eq!(tier_options.services.len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct TierOptions {
    /// Port of the first instance's listener for callers; 0 takes any free port.
    pub caller_port: u16,
    /// Port of the first instance's listener for operators; 0 takes any free port.
    pub operator_port: u16,
    /// Number of entry instances.
    pub instances: usize,
    /// Mean service time of the stand-in leafs.
    pub service_time: Duration,
    /// Seed of the stand-ins.
    pub seed: u64,
    /// Services to start.
    pub services: Vec<Shape>,
    /// Members, all of weight 1, each with a token of its own.
    pub members: Vec<SmolStr>,
    /// Value of the settings branch `policy`; fields left out have their defaults.
    pub policy: Value,
    /// Longest time that the graceful shutdown of an instance waits for requests in flight.
    pub grace: Duration,
}

impl Default for TierOptions {
    /// Both sample deployments behind three instances on any free ports.
    fn default() -> Self {
        Self {
            caller_port: 0,
            operator_port: 0,
            instances: 3,
            service_time: Duration::from_millis(4),
            seed: 1,
            services: CONSORTIUM.into_iter().chain(LAKESHORE).collect(),
            members: MEMBERS.map(Into::into).to_vec(),
            policy: json!({}),
            grace: Duration::from_secs(30),
        }
    }
}

/// Options of an instance, and its node unless it is stopped.
struct InstanceState {
    options: Options,
    node: Option<Node>,
}

/// A running local tier.
pub struct LocalTier {
    instances: Mutex<Vec<InstanceState>>,
    caller_addresses: Vec<SocketAddr>,
    operator_addresses: Vec<SocketAddr>,
    services: BTreeMap<SmolStr, Service>,
    store: Arc<Store>,
    list: Arc<List>,
    member_tokens: BTreeMap<SmolStr, String>,
    first_member: SmolStr,
    operator_token: String,
}

impl LocalTier {
    /// Starts the stand-ins, writes the sample settings and starts the instances.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the sample settings can't be written.
    pub async fn start(tier_options: &TierOptions) -> io::Result<Self> {
        let store = Arc::new(Store::new(tier_options.seed));
        let list = Arc::new(List::new());
        let operator_token = token::random();
        let member_tokens: BTreeMap<SmolStr, String> =
            tier_options.members.iter().map(|name| (name.clone(), token::random())).collect();
        let mut tree = sample_tree(tier_options, &member_tokens, &operator_token);
        let mut services = BTreeMap::new();
        for shape in &tier_options.services {
            let behavior = shape.behavior(tier_options.service_time);
            let service = Service::start(*shape, &behavior, tier_options.seed).await?;
            let branch = Branch::new(TEAM, shape.settings()).with_revision(1);
            tree = tree.with_branch(format_smolstr!("services/{}", shape.name), branch);
            let key = format!("{MAPS}{}", shape.name);
            put_json(&store, &key, &service.shard_map(), Expected::Absent).await?;
            services.insert(shape.name.into(), service);
        }
        let ledger = Ledger::new(store.clone());
        ledger.create("admin", &tree).await.map_err(io::Error::other)?;
        let mut local = Self {
            instances: Mutex::default(),
            caller_addresses: Vec::new(),
            operator_addresses: Vec::new(),
            services,
            store,
            list,
            member_tokens,
            first_member: tier_options.members.first().cloned().unwrap_or_default(),
            operator_token,
        };
        let key = token::random().into_bytes();
        let mut seeds = Vec::new();
        for number in 0..tier_options.instances {
            let mut options = Options::loopback(format_smolstr!("entry-{number}"), &key);
            if number == 0 {
                options.caller_address.set_port(tier_options.caller_port);
                options.operator_address.set_port(tier_options.operator_port);
            }
            options.instances_max = tier_options.instances;
            options.grace = tier_options.grace;
            options.seeds.clone_from(&seeds);
            let node = Node::start(options.clone(), local.platform()).await?;
            // A restarted instance listens on the same addresses.
            options.caller_address = node.caller_address();
            options.operator_address = node.operator_address();
            options.instance_address = node.instance_address();
            seeds.push(node.instance_address());
            local.caller_addresses.push(node.caller_address());
            local.operator_addresses.push(node.operator_address());
            local.instances().push(InstanceState { options, node: Some(node) });
        }
        Ok(local)
    }

    /// Returns the addresses for callers, by number of the instance. A restart keeps them.
    pub fn caller_addresses(&self) -> &[SocketAddr] {
        &self.caller_addresses
    }

    /// Returns the addresses for operators, by number of the instance. A restart keeps them.
    pub fn operator_addresses(&self) -> &[SocketAddr] {
        &self.operator_addresses
    }

    /// Returns the stand-in services by name.
    pub fn services(&self) -> &BTreeMap<SmolStr, Service> {
        &self.services
    }

    /// Returns the stand-in store.
    pub fn store(&self) -> &Arc<Store> {
        &self.store
    }

    /// Returns the stand-in instance list.
    pub fn list(&self) -> &Arc<List> {
        &self.list
    }

    /// Returns the token of the first member.
    pub fn member_token(&self) -> &str {
        self.token(&self.first_member).unwrap_or_default()
    }

    /// Returns the token of a member.
    pub fn token(&self, member: &str) -> Option<&str> {
        self.member_tokens.get(member).map(String::as_str)
    }

    /// Returns the token of the operator.
    pub fn operator_token(&self) -> &str {
        &self.operator_token
    }

    /// Returns the revision of the settings in force at each instance, `None` if it is stopped.
    pub fn settings_revisions(&self) -> Vec<Option<u64>> {
        let revision = |node: &Node| node.parts().shared.active().config().revision();
        self.instances().iter().map(|instance| instance.node.as_ref().map(revision)).collect()
    }

    /// Writes the shard map of a service, as the index pipeline does.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses the write.
    pub async fn put_map(&self, service: &str, map: &ShardMap) -> io::Result<()> {
        let key = format!("{MAPS}{service}");
        let expected = match self.store.peek(&key) {
            Some(object) => Expected::Version(object.version),
            None => Expected::Absent,
        };
        put_json(&self.store, &key, map, expected).await
    }

    /// Shuts an instance down gracefully; does nothing if it is stopped.
    pub async fn stop(&self, number: usize) {
        if let Some(node) = self.take_node(number) {
            node.shutdown().await;
        }
    }

    /// Stops an instance at once, as if its process were killed.
    pub async fn kill(&self, number: usize) {
        if let Some(node) = self.take_node(number) {
            node.abort().await;
        }
    }

    /// Starts a stopped instance again on its previous addresses.
    ///
    /// # Errors
    ///
    /// Fails if there is no such instance or one of its addresses can't be bound.
    pub async fn restart(&self, number: usize) -> io::Result<()> {
        let options = self.instances().get(number).map(|instance| instance.options.clone());
        let mut options =
            options.ok_or_else(|| io::Error::other("the tier has no instance with this number"))?;
        options.seeds =
            self.instances().iter().map(|instance| instance.options.instance_address).collect();
        let node = Node::start(options, self.platform()).await?;
        self.instances()[number].node = Some(node);
        Ok(())
    }

    /// Shuts all instances down gracefully.
    pub async fn shutdown(self) {
        let mut shutdowns = JoinSet::new();
        for number in 0..self.caller_addresses.len() {
            if let Some(node) = self.take_node(number) {
                shutdowns.spawn(node.shutdown());
            }
        }
        shutdowns.join_all().await;
    }

    fn platform(&self) -> Platform {
        Platform { store: self.store.clone(), list: self.list.clone() }
    }

    fn take_node(&self, number: usize) -> Option<Node> {
        self.instances().get_mut(number)?.node.take()
    }

    fn instances(&self) -> MutexGuard<'_, Vec<InstanceState>> {
        self.instances.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn sample_tree(
    tier_options: &TierOptions,
    member_tokens: &BTreeMap<SmolStr, String>,
    operator_token: &str,
) -> Tree {
    let operator = json!({ "teams": [TEAM], "tokens": [token::digest(operator_token)] });
    let root = Branch::new(TEAM, json!({})).with_revision(1);
    let policy = Branch::new(TEAM, tier_options.policy.clone()).with_revision(1);
    let operator = Branch::new(TEAM, operator).with_revision(1);
    let mut tree = Tree::new()
        .with_revision(1)
        .with_branch("", root)
        .with_branch("policy", policy)
        .with_branch("operators/admin", operator);
    for (name, member_token) in member_tokens {
        let member = json!({ "weight": 1.0, "tokens": [token::digest(member_token)] });
        let branch = Branch::new(TEAM, member).with_revision(1);
        tree = tree.with_branch(format_smolstr!("members/{name}"), branch);
    }
    tree
}

async fn put_json<T: serde::Serialize>(
    store: &Store,
    key: &str,
    value: &T,
    expected: Expected,
) -> io::Result<()> {
    let value = serde_json::to_vec(value).map_err(io::Error::other)?;
    store.put(key, Bytes::from(value), expected).await.map_err(io::Error::other)?;
    Ok(())
}
