//! Counters of the calls that this process makes to the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use smol_str::SmolStr;

use crate::error::Result;
use crate::list::Entry;
use crate::list::List;
use crate::store::Change;
use crate::store::Expected;
use crate::store::Object;
use crate::store::Store;
use crate::store::Version;

/// Counters by kind of call. A watch counts once, however long it waits.
#[derive(Debug, Default)]
pub struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    lists: AtomicU64,
}

impl Calls {
    /// Returns the current counts by kind.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        BTreeMap::from([
            ("reads", self.reads.load(Ordering::Relaxed)),
            ("writes", self.writes.load(Ordering::Relaxed)),
            ("watches", self.watches.load(Ordering::Relaxed)),
            ("lists", self.lists.load(Ordering::Relaxed)),
        ])
    }
}

/// Store or instance list that counts its calls.
pub struct Counted<T: ?Sized> {
    calls: Arc<Calls>,
    inner: Arc<T>,
}

impl<T: ?Sized> Counted<T> {
    /// Wraps `inner` and counts its calls in `calls`.
    pub fn new(inner: Arc<T>, calls: Arc<Calls>) -> Self {
        Self { calls, inner }
    }
}

#[async_trait]
impl<T: Store + ?Sized> Store for Counted<T> {
    async fn get(&self, key: &str) -> Result<Option<Object>> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        self.inner.get(key).await
    }

    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Version> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        self.inner.put(key, value, expected).await
    }

    async fn delete(&self, key: &str, version: Version) -> Result<()> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        self.inner.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<BTreeMap<SmolStr, Version>> {
        self.calls.lists.fetch_add(1, Ordering::Relaxed);
        self.inner.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: Version) -> Result<Change> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        self.inner.watch(prefix, after).await
    }
}

#[async_trait]
impl<T: List + ?Sized> List for Counted<T> {
    async fn entries(&self) -> Result<Vec<Entry>> {
        self.calls.lists.fetch_add(1, Ordering::Relaxed);
        self.inner.entries().await
    }
}
