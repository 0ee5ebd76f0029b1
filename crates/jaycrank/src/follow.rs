//! Reads the store and the instance list on behalf of a region, and applies documents.
//!
//! Only the readers of a region, chosen by rendezvous hashing among its ready instances, call the
//! platform. The other instances learn of new documents by heartbeats and pull them from peers, so
//! the load on the platform depends on the number of regions and not on the number of instances.

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

/// Instances of a region that watch the store. With two, changes still arrive without a delay if
/// one fails.
const READERS_PER_REGION: usize = 2;

/// Delay before an instance checks again whether it is a reader, and after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time in which a starting instance receives heartbeats before it decides whether it is a reader.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Interval at which a reader reads the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Key of the document with the names of the leafs that are leaving according to the instance list.
pub const LEAVING_KEY: &str = "leaving";

/// Source of documents that reads them from the store.
pub struct Reader {
    platform: Platform,
    ledger: Arc<Ledger>,
}

impl Reader {
    /// Creates a reader.
    pub fn new(platform: Platform, ledger: Arc<Ledger>) -> Self {
        Self { platform, ledger }
    }

    /// Reads the settings. Returns `None` if the store holds none.
    async fn read_settings(&self) -> Result<Option<Document>, SmolStr> {
        let tree = self.ledger.load().await.map_err(|error| format_smolstr!("{error}"))?;
        if tree.revision() == 0 {
            return Ok(None);
        }
        encode_tree(jaycrank_instance::documents::CONFIG_KEY.into(), tree.revision(), &tree)
            .map(Some)
    }

    /// Reads a shard map. Returns `None` if the store does not hold it.
    async fn read_map(&self, key: &str) -> Result<Option<Document>, SmolStr> {
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
        let settings = self.read_settings().await?;
        let mut documents: Vec<Document> = settings.into_iter().collect();
        if documents.is_empty() {
            return Err("the store holds no settings".into());
        }
        let keys = self.platform.store.list(jaycrank_instance::documents::MAPS).await;
        for key in keys.map_err(|error| format_smolstr!("{error}"))?.keys() {
            documents.extend(self.read_map(key).await?);
        }
        Ok(documents)
    }
}

/// Encodes a settings tree as a document for the exchange between instances.
///
/// # Errors
///
/// The cause as text if the tree can't be encoded.
pub fn encode_tree(key: SmolStr, revision: u64, tree: &Tree) -> Result<Document, SmolStr> {
    let value = serde_json::to_vec(tree).map_err(|error| format_smolstr!("{error}"))?;
    Ok(Document { key, revision, value: Blob(value.into()) })
}

/// Applies documents whenever one changes, until the task is aborted.
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

/// Applies all documents that are newer than the settings and shard maps in force.
pub fn apply_all(shared: &Shared) {
    let documents = shared.exchange().documents();
    if let Some((revision, value)) = documents.get(jaycrank_instance::documents::CONFIG_KEY)
        && revision > shared.active().config().revision()
    {
        match serde_json::from_slice::<Tree>(&value) {
            Ok(tree) => {
                shared.apply_settings(tree);
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
        let is_configured = shared.active().config().services().contains_key(service);
        if is_configured && revision > shared.map_revision(service) {
            apply_map(shared, service, &key);
        }
    }
}

/// Applies the shard map of a service, or logs that it can't be decoded.
fn apply_map(shared: &Shared, service: &str, key: &str) {
    let Some((revision, value)) = shared.exchange().documents().get(key) else { return };
    match serde_json::from_slice(&value) {
        Ok(map) => shared.apply_map(service, revision, map),
        Err(error) => {
            event!(Event::MapInvalid, instance = shared.name(), service = service, error = error);
        }
    }
}

/// Returns whether this instance is one of the readers of its region.
fn is_reader(shared: &Shared) -> bool {
    let membership = shared.exchange().membership();
    let own = membership.own();
    let now = Instant::now().into_std();
    let ready = membership.ready_instances_in(&own.region, now);
    rendezvous::readers(&own.region, &ready, READERS_PER_REGION).contains(&own.name)
}

/// Watches a prefix of the store while this instance is a reader, and publishes the changed
/// documents to the other instances, until the task is aborted.
pub async fn watch(shared: Arc<Shared>, reader: Arc<Reader>, prefix: &'static str) {
    // An instance that has just started knows few ready peers, so it would choose itself as a
    // reader and read all branches from the store.
    sleep(DISCOVERY_TIME).await;
    let mut after = 0;
    let mut available = true;
    loop {
        if !is_reader(&shared) {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let change = reader.platform.store.watch(prefix, after).await;
        let published = match change {
            Ok(change) => {
                let published = publish_changes(&shared, &reader, change.keys.keys()).await;
                after = if published { change.revision } else { after };
                published
            }
            Err(_) => false,
        };
        if published != available {
            let event = if published { Event::StoreAvailable } else { Event::StoreUnavailable };
            event!(event, instance = shared.name(), prefix = prefix);
            available = published;
        }
        if !published {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the documents of the changed keys and adds them to the exchange. Returns whether all could
/// be read.
async fn publish_changes<'a>(
    shared: &Shared,
    reader: &Reader,
    keys: impl Iterator<Item = &'a SmolStr>,
) -> bool {
    let mut has_newer = false;
    for key in keys {
        let document = if key == ledger::HEAD_KEY {
            reader.read_settings().await
        } else if key.starts_with(jaycrank_instance::documents::MAPS) {
            reader.read_map(key).await
        } else {
            continue;
        };
        match document {
            Ok(Some(Document { key, revision, value })) => {
                has_newer |= shared.exchange().documents().apply(key, revision, value.0);
            }
            Ok(None) => {}
            Err(_) => return false,
        }
    }
    if has_newer {
        shared.exchange().notify_peers();
    }
    true
}

/// Reads the instance list regularly while this instance is a reader or at most one instance of the
/// cell, itself included, is ready. Runs until the task is aborted.
pub async fn poll_instance_list(shared: Arc<Shared>, platform: Platform) {
    loop {
        let membership = shared.exchange().membership();
        let at_most_one_is_ready = membership.ready_instances(Instant::now().into_std()).len() <= 1;
        if (at_most_one_is_ready || is_reader(&shared))
            && let Ok(entries) = platform.list.entries().await
        {
            membership.set_instance_list(&entries);
            publish_leaving(&shared, &entries);
        }
        sleep(LIST_INTERVAL).await;
    }
}

/// Adds the names of the leaving leafs to the exchange if they changed.
fn publish_leaving(shared: &Shared, entries: &[Entry]) {
    let is_leaving =
        |entry: &&Entry| entry.kind == list::Kind::Leaf && entry.state == list::State::Leaving;
    let names: BTreeSet<&SmolStr> =
        entries.iter().filter(is_leaving).map(|entry| &entry.name).collect();
    let value = Bytes::from(serde_json::to_vec(&names).unwrap_or_default());
    let known = shared.exchange().documents().get(LEAVING_KEY);
    let (revision, known) = known.unwrap_or_default();
    if revision == 0 || known != value {
        // The list has no revision that readers share, so the revision of the document is the time
        // of the read. It is at least one higher than the last, so that a reader whose clock is
        // behind can replace the document of another one.
        let revision = unix_ms().max(revision.saturating_add(1));
        shared.exchange().documents().apply(LEAVING_KEY, revision, value);
        shared.exchange().notify_peers();
    }
}
