//! Follows the store and the instance list on behalf of a region, and applies documents.
//!
//! Only the readers of a region, chosen by rendezvous hashing among its live instances, call the
//! platform; the others get documents by heartbeat and pull. So the platform's load depends on
//! the number of regions and not on the number of instances.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank_instance::bootstrap::Fallback;
use jaycrank_instance::wire::Blob;
use jaycrank_instance::wire::Document;
use jaycrank_platform::Entry;
use jaycrank_platform::list;
use jaycrank_policy::rendezvous;
use jaycrank_settings::Tree;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::ledger;
use crate::ledger::Ledger;
use crate::node::Platform;
use crate::shared::Shared;
use crate::shared::unix_ms;
use jaycrank_event::Event;
use jaycrank_event::event;

/// Instances of a region that watch the store. Two, so that one may fail without a delay.
const READERS: usize = 2;

/// Pause before an instance checks again whether it is a reader, and between failed calls.
const PAUSE: Duration = Duration::from_millis(500);

/// Time that a starting instance gives its peers to be heard before it reads from the store.
const SETTLE: Duration = Duration::from_secs(2);

/// Time between two reads of the instance list by a reader.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Key of the document with the names of leafs that leave according to the instance list.
pub const LEAVING_KEY: &str = "leaving";

/// Reads documents from the store.
pub struct Reader {
    platform: Platform,
    ledger: Arc<Ledger>,
}

impl Reader {
    /// Creates a reader.
    pub fn new(platform: Platform, ledger: Arc<Ledger>) -> Self {
        Self { platform, ledger }
    }

    async fn settings(&self) -> Result<Option<Document>, SmolStr> {
        let tree = self.ledger.load().await.map_err(|error| format_smolstr!("{error}"))?;
        if tree.revision() == 0 {
            return Ok(None);
        }
        encode_tree(jaycrank_instance::documents::CONFIG_KEY.into(), tree.revision(), &tree)
            .map(Some)
    }

    async fn map(&self, key: &str) -> Result<Option<Document>, SmolStr> {
        let object =
            self.platform.store.get(key).await.map_err(|error| format_smolstr!("{error}"))?;
        let document = |object: jaycrank_platform::Object| Document {
            key: key.into(),
            revision: object.version,
            value: Blob(object.value),
        };
        Ok(object.map(document))
    }
}

#[async_trait]
impl Fallback for Reader {
    async fn documents(&self) -> Result<Vec<Document>, SmolStr> {
        let settings = self.settings().await?;
        let mut documents: Vec<Document> = settings.into_iter().collect();
        if documents.is_empty() {
            return Err("the store holds no settings".into());
        }
        let keys = self.platform.store.list(jaycrank_instance::documents::MAPS).await;
        for key in keys.map_err(|error| format_smolstr!("{error}"))?.keys() {
            documents.extend(self.map(key).await?);
        }
        Ok(documents)
    }
}

/// Encodes a tree as the document that instances exchange.
///
/// # Errors
///
/// The cause, as text, if the tree can't be encoded.
pub fn encode_tree(key: SmolStr, revision: u64, tree: &Tree) -> Result<Document, SmolStr> {
    let value = serde_json::to_vec(tree).map_err(|error| format_smolstr!("{error}"))?;
    Ok(Document { key, revision, value: Blob(value.into()) })
}

/// Applies each document as it arrives, until the task is aborted.
pub async fn apply_updates(shared: Arc<Shared>) {
    let mut changed = shared.exchange().documents().subscribe();
    loop {
        changed.borrow_and_update();
        apply_all(&shared);
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Applies all documents that are newer than what is in force.
pub fn apply_all(shared: &Shared) {
    let documents = shared.exchange().documents();
    if let Some((revision, value)) = documents.get(jaycrank_instance::documents::CONFIG_KEY)
        && revision > shared.active().config().revision()
    {
        match serde_json::from_slice::<Tree>(&value) {
            Ok(tree) => {
                shared.apply(tree);
            }
            Err(error) => event!(Event::SettingsInvalid, instance = shared.name(), error = error),
        }
    }
    if let Some((_, value)) = documents.get(LEAVING_KEY) {
        let names: BTreeSet<SmolStr> = serde_json::from_slice(&value).unwrap_or_default();
        shared.fleet().set_leaving(names);
    }
    for (key, revision) in documents.revisions() {
        let Some(service) = key.strip_prefix(jaycrank_instance::documents::MAPS) else { continue };
        let known = shared.active().config().services().contains_key(service);
        if known && revision > shared.map_revision(service) {
            apply_map(shared, service, &key);
        }
    }
}

fn apply_map(shared: &Shared, service: &str, key: &str) {
    let Some((revision, value)) = shared.exchange().documents().get(key) else { return };
    match serde_json::from_slice(&value) {
        Ok(map) => shared.apply_map(service, revision, map),
        Err(error) => {
            event!(Event::MapInvalid, instance = shared.name(), service = service, error = error);
        }
    }
}

/// Whether this instance is one of the readers of its region.
fn is_reader(shared: &Shared) -> bool {
    let membership = shared.exchange().membership();
    let own = membership.own();
    let now = Instant::now().into_std();
    let live = membership.ready_instances_in(&own.region, now);
    rendezvous::readers(&own.region, &live, READERS).contains(&own.name)
}

/// Watches a prefix of the store while this instance is a reader, and passes on what changes.
pub async fn watch(shared: Arc<Shared>, reader: Arc<Reader>, prefix: &'static str) {
    // An instance that has just started hears few peers and would take itself for a reader, and a
    // reader reads all branches from the store at first.
    sleep(SETTLE).await;
    let mut after = 0;
    let mut available = true;
    loop {
        if !is_reader(&shared) {
            sleep(PAUSE).await;
            continue;
        }
        let change = reader.platform.store.watch(prefix, after).await;
        let passed = match change {
            Ok(change) => {
                let passed = pass_on(&shared, &reader, change.keys.keys()).await;
                after = if passed { change.revision } else { after };
                passed
            }
            Err(_) => false,
        };
        if passed != available {
            let event = if passed { Event::StoreAvailable } else { Event::StoreUnavailable };
            event!(event, instance = shared.name(), prefix = prefix);
            available = passed;
        }
        if !passed {
            sleep(PAUSE).await;
        }
    }
}

/// Reads the changed documents and hands them to the exchange; returns whether all were read.
async fn pass_on<'a>(
    shared: &Shared,
    reader: &Reader,
    keys: impl Iterator<Item = &'a SmolStr>,
) -> bool {
    let mut news = false;
    for key in keys {
        let document = if key == ledger::HEAD_KEY {
            reader.settings().await
        } else if key.starts_with(jaycrank_instance::documents::MAPS) {
            reader.map(key).await
        } else {
            continue;
        };
        match document {
            Ok(Some(Document { key, revision, value })) => {
                news |= shared.exchange().documents().apply(key, revision, value.0);
            }
            Ok(None) => {}
            Err(_) => return false,
        }
    }
    if news {
        shared.exchange().notify_peers();
    }
    true
}

/// Reads the instance list while this instance is a reader or knows no live peer.
pub async fn poll_instance_list(shared: Arc<Shared>, platform: Platform) {
    loop {
        let membership = shared.exchange().membership();
        let alone = membership.ready_instances(Instant::now().into_std()).len() <= 1;
        if (alone || is_reader(&shared))
            && let Ok(entries) = platform.list.entries().await
        {
            membership.set_instance_list(&entries);
            pass_on_leaving(&shared, &entries);
        }
        sleep(LIST_INTERVAL).await;
    }
}

fn pass_on_leaving(shared: &Shared, entries: &[Entry]) {
    let leaving =
        |entry: &&Entry| entry.kind == list::Kind::Leaf && entry.state == list::State::Leaving;
    let names: BTreeSet<&SmolStr> =
        entries.iter().filter(leaving).map(|entry| &entry.name).collect();
    let value = Bytes::from(serde_json::to_vec(&names).unwrap_or_default());
    let known = shared.exchange().documents().get(LEAVING_KEY);
    let (revision, known) = known.unwrap_or_default();
    if revision == 0 || known != value {
        // Readers have no common counter for the list, so its revision is the time of the read. A
        // reader whose clock is behind must still be able to replace what another one wrote.
        let revision = unix_ms().max(revision.saturating_add(1));
        shared.exchange().documents().apply(LEAVING_KEY, revision, value);
        shared.exchange().notify_peers();
    }
}
