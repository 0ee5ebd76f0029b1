//! Documents that are replicated to all instances: the settings and the shard maps.
//!
//! A document has a key, a revision and a value. Only a higher revision replaces a value, so
//! documents converge and never revert, in whatever order the updates arrive. The settings are the
//! document [`CONFIG_KEY`]; the shard map of a service is the document `map/SERVICE`.

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

/// Key of the settings document, whose value is a complete `Tree` in JSON.
pub const CONFIG_KEY: &str = "config";

/// Prefix of the keys of the shard maps.
pub const MAPS: &str = "map/";

/// Maximum total size of the values in one reply to a pull. A larger value is sent alone.
const PULL_REPLY_BYTES_MAX: usize = 4 << 20;

/// Set of documents with the highest known revision of each.
#[derive(Debug)]
pub struct Documents {
    documents: Mutex<BTreeMap<Key, (Revision, Bytes)>>,
    /// Keys of deleted documents, which are not accepted again from peers that still have them.
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

    /// Replaces a document if `revision` is higher than the current one and the document is not
    /// deleted. Returns whether it was replaced.
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

    /// Deletes a document and leaves a tombstone, so that no peer can add it again.
    pub fn delete(&self, key: &str) {
        let mut tombstones = self.tombstones.lock().unwrap_or_else(PoisonError::into_inner);
        tombstones.insert(key.into());
        drop(tombstones);
        self.lock().remove(key);
    }

    fn is_deleted(&self, key: &str) -> bool {
        self.tombstones.lock().unwrap_or_else(PoisonError::into_inner).contains(key)
    }

    /// Returns the revision and value of a document.
    pub fn get(&self, key: &str) -> Option<(Revision, Bytes)> {
        self.lock().get(key).cloned()
    }

    /// Returns the keys and revisions of all documents.
    pub fn revisions(&self) -> BTreeMap<Key, Revision> {
        self.lock().iter().map(|(key, (revision, _))| (key.clone(), *revision)).collect()
    }

    /// Returns a digest of keys and revisions, which is equal for two instances that have the same
    /// documents.
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

    /// Returns whether an instance with these revisions has a newer document.
    pub fn is_behind(&self, revisions: &BTreeMap<Key, Revision>) -> bool {
        let documents = self.lock();
        revisions
            .iter()
            .filter(|(key, _)| !self.is_deleted(key))
            .any(|(key, revision)| documents.get(key).is_none_or(|(current, _)| current < revision))
    }

    /// Returns the documents above the revisions of the pull, limited in size.
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

    /// Returns a counter of the replaced documents.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, (Revision, Bytes)>> {
        self.documents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
