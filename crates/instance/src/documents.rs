//! Documents that every instance has: the settings and the partition maps.
//!
//! A document is a key, a revision and a value; only a higher revision replaces a value, so
//! nothing reverts whatever the order of arrival. The settings are the document [`CONFIG_KEY`], the
//! partition map of a service is `map/SERVICE`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::watch;

use crate::wire;
use crate::wire::Blob;
use crate::wire::Document;
use crate::wire::Key;
use crate::wire::Pull;
use crate::wire::Revision;

/// Key of the settings; the value is a whole `Tree` as JSON.
pub const CONFIG_KEY: &str = "config";

/// Prefix of the keys of partition maps.
pub const MAPS: &str = "map/";

/// Size of the values in one reply to a pull. A larger value travels alone.
const PULL_REPLY_BYTES_MAX: usize = 4 << 20;

/// Documents by key, the highest revision of each.
#[derive(Debug)]
pub struct Documents {
    documents: Mutex<BTreeMap<Key, (Revision, Bytes)>>,
    /// Keys that are not taken again from peers that still have them.
    tombstones: Mutex<BTreeSet<Key>>,
    changed: watch::Sender<u64>,
}

impl Default for Documents {
    fn default() -> Self {
        let (documents, tombstones) = (Mutex::default(), Mutex::default());
        Self { documents, tombstones, changed: watch::Sender::new(0) }
    }
}

impl Documents {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces a document if the revision is higher, and returns whether it was.
    pub fn apply(&self, key: impl Into<Key>, revision: Revision, value: Bytes) -> bool {
        let key = key.into();
        if self.is_deleted(&key) {
            return false;
        }
        let mut documents = self.lock();
        if documents.get(&key).is_some_and(|(current, _)| *current >= revision) {
            return false;
        }
        documents.insert(key, (revision, value));
        drop(documents);
        self.changed.send_modify(|changes| *changes += 1);
        true
    }

    /// Removes a document for good; it is not taken again from a peer.
    pub fn delete(&self, key: &str) {
        let mut tombstones = self.tombstones.lock().unwrap_or_else(PoisonError::into_inner);
        tombstones.insert(key.into());
        drop(tombstones);
        self.lock().remove(key);
    }

    fn is_deleted(&self, key: &str) -> bool {
        self.tombstones.lock().unwrap_or_else(PoisonError::into_inner).contains(key)
    }

    /// Revision and value of a document.
    pub fn get(&self, key: &str) -> Option<(Revision, Bytes)> {
        self.lock().get(key).cloned()
    }

    /// Keys and revisions of all documents.
    pub fn revisions(&self) -> BTreeMap<Key, Revision> {
        self.lock().iter().map(|(key, (revision, _))| (key.clone(), *revision)).collect()
    }

    /// Digest of keys and revisions, equal for two instances that have the same documents.
    pub fn digest(&self) -> u64 {
        let mut hash = Sha256::new();
        for (key, (revision, _)) in self.lock().iter() {
            hash.update((key.len() as u64).to_be_bytes());
            hash.update(key);
            hash.update(revision.to_be_bytes());
        }
        let digest: [u8; 32] = hash.finalize().into();
        digest.iter().take(8).fold(0, |digest, byte| digest << 8 | u64::from(*byte))
    }

    /// Whether another instance with these revisions has something newer.
    pub fn is_behind(&self, others: &BTreeMap<Key, Revision>) -> bool {
        let documents = self.lock();
        others
            .iter()
            .filter(|(key, _)| !self.is_deleted(key))
            .any(|(key, revision)| documents.get(key).is_none_or(|(current, _)| current < revision))
    }

    /// Answers a pull with the documents above its revisions, bounded in size.
    pub fn answer_pull(&self, pull: &Pull) -> wire::PullReply {
        let mut reply = wire::PullReply::default();
        let mut bytes = 0;
        for (key, (revision, value)) in self.lock().iter() {
            if pull.above.get(key).is_some_and(|above| above >= revision) {
                continue;
            }
            bytes += value.len();
            if bytes > PULL_REPLY_BYTES_MAX && !reply.documents.is_empty() {
                reply.more = true;
                break;
            }
            let value = Blob(value.clone());
            reply.documents.push(Document { key: key.clone(), revision: *revision, value });
        }
        reply
    }

    /// Counts the replacements; a change of the count means that some document changed.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, (Revision, Bytes)>> {
        self.documents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
