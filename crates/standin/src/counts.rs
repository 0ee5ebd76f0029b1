//! Counts that a stand-in leaf keeps.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Numbers of requests and crashes of a leaf.
#[derive(Debug, Default)]
pub struct Counts {
    pub(crate) received: AtomicU64,
    pub(crate) completed: AtomicU64,
    pub(crate) cancelled: AtomicU64,
    pub(crate) crashes: AtomicU64,
}

impl Counts {
    /// Returns the number of received requests, including cancelled and shed ones.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that ran to completion.
    pub fn completed(&self) -> u64 {
        self.completed.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that were cancelled while queued or running.
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Returns the number of crashes that requests caused.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }
}
