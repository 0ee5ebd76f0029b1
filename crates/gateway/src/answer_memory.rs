//! Bound on the memory that the bodies of leafs' answers take while they are read.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Most bytes of bodies that are read at a time, over all requests. Several leafs that send without
/// end at once must not exhaust the memory of a small machine.
const BYTES_MAX: usize = 48 << 20;

/// Bytes of the bodies that are being read.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    bytes: AtomicUsize,
}

/// Bytes reserved for one body, released when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<AnswerMemory>,
    bytes: usize,
}

impl AnswerMemory {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub(crate) fn new(memory: &Arc<AnswerMemory>) -> Self {
        Self { memory: memory.clone(), bytes: 0 }
    }

    /// Reserves more bytes; returns whether the bound allows it.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let before = self.memory.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= BYTES_MAX
    }

    /// Returns the number of bytes of this reservation.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
