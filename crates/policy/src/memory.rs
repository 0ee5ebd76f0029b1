//! Bound on the memory that a process uses for its clients.
//!
//! Everything that is held for a request counts: its body while it arrives and while the request
//! runs, and the answer until it is sent. A holder grows only if it leaves a multiple of its own size
//! free, so that large bodies can't take the last of the memory from small ones. Bodies that have
//! been arriving for some time lose their memory to others that need it, the oldest first: a client
//! that stops short of the end of a body does not keep others out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// Memory that must stay free when a holder grows, as a multiple of the holder's own.
const FREE_RATIO: usize = 4;
/// Most memory that must stay free, as a divisor of the whole.
const FREE_DIVISOR: usize = 4;
/// Time for which a body that arrives keeps its memory although others need it.
const PROTECTED_TIME: Duration = Duration::from_millis(500);
/// Smallest capacity of a buffer, in bytes.
const CAPACITY_MIN: usize = 256;

/// Time at which a body began to arrive, and a number that makes it unique.
type Key = (Instant, u64);

/// There is not enough memory, or the memory was taken for another client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Bounded memory.
#[derive(Debug)]
pub struct Memory {
    bytes_max: usize,
    state: Mutex<State>,
    /// Notified when memory is refused.
    wanted: Notify,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes in use, which include the capacities of `arriving`.
    bytes: usize,
    arriving: BTreeMap<Key, Arriving>,
    next: u64,
    /// Bodies that have lost their memory.
    revoked: u64,
    /// Times that memory was refused.
    refused: u64,
}

/// Body of which not all bytes are there. It is held here, so that revoking it frees its memory at
/// once.
#[derive(Debug)]
struct Arriving {
    body: Vec<u8>,
    /// Notified when the memory is revoked.
    revoked: Arc<Notify>,
}

/// Use of a [`Memory`] now and since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Bytes that may be in use.
    pub bytes_max: usize,
    /// Bytes in use.
    pub bytes: usize,
    /// Bodies that have lost their memory to others.
    pub revoked: u64,
    /// Times that memory was refused.
    pub refused: u64,
}

impl Memory {
    /// Creates a memory of this many bytes.
    pub fn new(bytes_max: usize) -> Self {
        Self { bytes_max, state: Mutex::default(), wanted: Notify::new() }
    }

    /// Returns the number of bytes in use.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Returns the bytes in use and how often memory was refused or revoked.
    pub fn usage(&self) -> Usage {
        let state = self.lock();
        let State { bytes, revoked, refused, .. } = *state;
        Usage { bytes_max: self.bytes_max, bytes, revoked, refused }
    }

    /// Waits until memory is refused, since the last call.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Starts to receive a body of at most `bytes_max`.
    pub fn upload(self: &Arc<Self>, bytes_max: usize, now: Instant) -> Upload {
        let revoked = Arc::<Notify>::default();
        let mut state = self.lock();
        let key = (now, state.next);
        state.next += 1;
        let arriving = Arriving { body: Vec::new(), revoked: revoked.clone() };
        state.arriving.insert(key, arriving);
        drop(state);
        Upload { memory: self.clone(), key, bytes_max, revoked }
    }

    /// Reserves no bytes yet.
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes `bytes` more for a holder that then has `own` bytes, if necessary from bodies that have
    /// been arriving for long, except that of `key`.
    fn take(
        &self,
        state: &mut State,
        bytes: usize,
        own: usize,
        key: Option<Key>,
        now: Instant,
    ) -> Result<(), Exhausted> {
        let free = own.saturating_mul(FREE_RATIO).min(self.bytes_max / FREE_DIVISOR);
        let wanted = state.bytes.saturating_add(bytes).saturating_add(free);
        if wanted > self.bytes_max && !state.revoke(wanted - self.bytes_max, key, now) {
            state.refused += 1;
            self.wanted.notify_one();
            return Err(Exhausted);
        }
        state.bytes += bytes;
        Ok(())
    }
}

impl State {
    /// Frees at least `bytes`, if the bodies that may be revoked hold as many.
    fn revoke(&mut self, bytes: usize, except: Option<Key>, now: Instant) -> bool {
        let mut keys = Vec::new();
        let mut found = 0;
        for (key, arriving) in &self.arriving {
            if found >= bytes || now.saturating_duration_since(key.0) < PROTECTED_TIME {
                break;
            }
            if Some(*key) != except && arriving.body.capacity() > 0 {
                found += arriving.body.capacity();
                keys.push(*key);
            }
        }
        if found < bytes {
            return false;
        }
        for key in keys {
            if let Some(arriving) = self.arriving.remove(&key) {
                self.bytes -= arriving.body.capacity();
                self.revoked += 1;
                arriving.revoked.notify_one();
            }
        }
        true
    }
}

/// Returns the capacity to which a buffer of at most `bytes_max` grows that must hold `needed` bytes.
fn grown(capacity: usize, needed: usize, bytes_max: usize) -> usize {
    needed.max(capacity.saturating_mul(2)).max(CAPACITY_MIN).min(bytes_max.max(needed))
}

/// Body that is being received. Dropping it frees its memory.
#[derive(Debug)]
pub struct Upload {
    memory: Arc<Memory>,
    key: Key,
    bytes_max: usize,
    revoked: Arc<Notify>,
}

impl Upload {
    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no memory for them, or if the memory of the body was revoked.
    pub fn append(&self, data: &[u8], now: Instant) -> Result<(), Exhausted> {
        let mut state = self.memory.lock();
        let body = state.arriving.get(&self.key).map(|arriving| &arriving.body);
        let (capacity, needed) =
            body.map(|body| (body.capacity(), body.len() + data.len())).ok_or(Exhausted)?;
        if needed > capacity {
            let target = grown(capacity, needed, self.bytes_max);
            self.memory.take(&mut state, target - capacity, target, Some(self.key), now)?;
            let state = &mut *state;
            let Some(arriving) = state.arriving.get_mut(&self.key) else { return Err(Exhausted) };
            arriving.body.reserve_exact(target - arriving.body.len());
            // The allocator may return more than was asked for.
            state.bytes += arriving.body.capacity() - target;
        }
        if let Some(arriving) = state.arriving.get_mut(&self.key) {
            arriving.body.extend_from_slice(data);
        }
        Ok(())
    }

    /// Waits until the memory is revoked.
    pub async fn revoked(&self) {
        self.revoked.notified().await;
    }

    /// Returns the complete body, whose memory can no longer be revoked.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if the memory was revoked before.
    pub fn finish(self) -> Result<Buffer, Exhausted> {
        let arriving = self.memory.lock().arriving.remove(&self.key).ok_or(Exhausted)?;
        let reservation =
            Reservation { memory: self.memory.clone(), bytes: arriving.body.capacity() };
        Ok(Buffer { body: arriving.body, bytes_max: self.bytes_max, reservation })
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        if let Some(arriving) = state.arriving.remove(&self.key) {
            state.bytes -= arriving.body.capacity();
        }
    }
}

/// Bytes that are taken until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Reservation {
    /// Takes more bytes.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no memory for them.
    pub fn grow(&mut self, bytes: usize, now: Instant) -> Result<(), Exhausted> {
        let mut state = self.memory.lock();
        self.memory.take(&mut state, bytes, self.bytes + bytes, None, now)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Returns bytes that keep this reservation.
    pub fn hold(self, body: Vec<u8>) -> Buffer {
        Buffer { bytes_max: body.len(), body, reservation: self }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.lock().bytes -= self.bytes;
    }
}

/// Bytes with the reservation of their memory.
#[derive(Debug)]
pub struct Buffer {
    body: Vec<u8>,
    bytes_max: usize,
    reservation: Reservation,
}

impl Buffer {
    /// Creates an empty buffer for at most `bytes_max`.
    pub fn new(memory: &Arc<Memory>, bytes_max: usize) -> Self {
        Self { body: Vec::new(), bytes_max, reservation: memory.reserve() }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no memory for them.
    pub fn append(&mut self, data: &[u8], now: Instant) -> Result<(), Exhausted> {
        let (capacity, needed) = (self.body.capacity(), self.body.len() + data.len());
        if needed > capacity {
            let target = grown(capacity, needed, self.bytes_max);
            self.reservation.grow(target - capacity, now)?;
            self.body.reserve_exact(target - self.body.len());
        }
        self.body.extend_from_slice(data);
        Ok(())
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Returns whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
