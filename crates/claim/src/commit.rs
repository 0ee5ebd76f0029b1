//! Group commit: writes the queued records of a partition, one write at a time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jaycrank_platform::Expected;
use jaycrank_platform::Version;
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::head::Epoch;
use crate::owner::Shared;
use crate::ownership::Completion;
use crate::ownership::Ownership;
use crate::ownership::QueuedRecord;
use crate::ownership::Stage;
use crate::segment;
use crate::segment::SEGMENT_BYTES_MAX;
use crate::segment::Segment;
use crate::verdict::Reason;
use crate::write;
use crate::write::Effect;

/// Largest size of the records in a segment, in bytes. The rest is reserved for the header.
const BODY_BYTES_MAX: usize = SEGMENT_BYTES_MAX - 2000;

/// Number of writes over which the delay for an additional write is spread.
const DEBT_SPREAD_WRITES: u32 = 8;

/// Settings of the group commit of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupCommit {
    pub(crate) write_interval: Duration,
    pub(crate) batch_records: usize,
    pub(crate) segment_bytes: usize,
    pub(crate) stall_timeout: Duration,
    pub(crate) probe_interval: Duration,
}

impl Default for GroupCommit {
    /// Returns 20 ms between writes, 512 records per write, segments of 64 KB, a stall timeout of
    /// 500 ms and 250 ms between probes.
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(20),
            batch_records: 512,
            segment_bytes: 64 * 1000,
            stall_timeout: Duration::from_millis(500),
            probe_interval: Duration::from_millis(250),
        }
    }
}

impl GroupCommit {
    /// Creates the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the minimum time between the starts of two writes.
    pub fn with_write_interval(mut self, write_interval: Duration) -> Self {
        self.write_interval = write_interval;
        self
    }

    /// Sets the maximum number of records in one write. Submissions are refused while four times as
    /// many records are queued.
    pub fn with_batch_records(mut self, batch_records: usize) -> Self {
        self.batch_records = batch_records.max(1);
        self
    }

    /// Sets the size of the records at which a segment is sealed, in bytes. The write that seals it
    /// may exceed this size, but never [`SEGMENT_BYTES_MAX`].
    pub fn with_segment_bytes(mut self, segment_bytes: usize) -> Self {
        self.segment_bytes = segment_bytes.min(BODY_BYTES_MAX);
        self
    }

    /// Sets the time that a write may take before submissions are refused.
    pub fn with_stall_timeout(mut self, stall_timeout: Duration) -> Self {
        self.stall_timeout = stall_timeout;
        self
    }

    /// Sets the time between two probes of a store that is down.
    pub fn with_probe_interval(mut self, probe_interval: Duration) -> Self {
        self.probe_interval = probe_interval;
        self
    }

    pub(crate) fn queue_max(&self) -> usize {
        self.batch_records.saturating_mul(4)
    }
}

/// Write of a segment that is in flight or in doubt.
struct PendingWrite {
    key: SmolStr,
    value: Bytes,
    expected: Expected,
    segment: Segment,
    operation: Operation,
    /// Whether the write may have been applied. It is then repeated unchanged until its effect is
    /// known, before any other write.
    in_doubt: bool,
}

enum Operation {
    /// Appends records to the open segment, and seals it if it is full.
    Append(Vec<QueuedRecord>),
    /// Creates the segment that follows the open one.
    Create,
}

/// Writes the queued records until the ownership of this epoch ends.
pub(crate) async fn run(shared: Arc<Shared>, epoch: Epoch) {
    let mut pending: Option<PendingWrite> = None;
    loop {
        match shared
            .with_ownership(epoch, |ownership| !ownership.queue.is_empty() || ownership.outage)
        {
            None => return,
            Some(false) if pending.is_none() => {
                // `Notify` stores a permit, so a record that was queued since is not missed.
                shared.queue_changed.notified().await;
                continue;
            }
            Some(_) => {}
        }
        let (effect, created) = {
            let mut permit = shared.write_permit().await;
            if pending.is_none() {
                let write =
                    shared.with_ownership(epoch, |ownership| next_write(&shared, ownership));
                let Some(write) = write else { return };
                pending = write;
            }
            match &pending {
                Some(pending) => {
                    // The next segment is created concurrently with a commit, so that no commit
                    // has to wait for it.
                    let to_create = shared.with_ownership(epoch, |ownership| {
                        segment_to_create(&shared, ownership, pending)
                    });
                    if matches!(to_create, Some(Some(_))) {
                        permit.debt += shared.commit.write_interval;
                    }
                    let create = create_segment(&shared, to_create.flatten());
                    tokio::join!(perform(&shared, epoch, pending), create)
                }
                None => (probe_store(&shared, epoch).await, None),
            }
        };
        if let Some((next, version)) = created {
            shared
                .with_ownership(epoch, |ownership| ownership.next_segment = Some((next, version)));
        }
        match apply_effect(&shared, epoch, &mut pending, effect) {
            Action::Write => {}
            Action::Wait => sleep(shared.commit.probe_interval).await,
            Action::End => return,
        }
    }
}

/// What the commit loop does next.
enum Action {
    Write,
    /// Wait for the probe interval.
    Wait,
    End,
}

/// Builds the next write from the queue, or returns `None` if the queue is empty.
fn next_write(shared: &Shared, ownership: &mut Ownership) -> Option<PendingWrite> {
    let body_bytes = ownership.open.body_bytes();
    let mut records = Vec::new();
    let mut batch = Vec::new();
    while let Some(queued) = ownership.queue.front() {
        let size = body_bytes + records.len() + queued.record.len();
        if batch.len() >= shared.commit.batch_records
            || (size > BODY_BYTES_MAX && size > queued.record.len())
        {
            break;
        }
        records.extend_from_slice(&queued.record);
        batch.extend(ownership.queue.pop_front());
    }
    if batch.is_empty() {
        ownership.queue.front()?;
        if ownership.next_segment.is_none() {
            let segment = following_segment(ownership);
            return Some(PendingWrite::new(shared, segment, Expected::Absent, Operation::Create));
        }
    }
    let full = batch.is_empty() || body_bytes + records.len() >= shared.commit.segment_bytes;
    let mut segment = ownership.open.extended(&records);
    if full && ownership.next_segment.is_some() {
        // The next segment is used only after the open one is sealed. An owner that was paused
        // before it created the next segment fails to seal the open one, and learns that it is
        // fenced.
        segment = segment.sealed(ownership.epoch);
    }
    let expected = Expected::Version(ownership.open_version);
    Some(PendingWrite::new(shared, segment, expected, Operation::Append(batch)))
}

/// Returns an empty segment to follow the open one.
fn following_segment(ownership: &Ownership) -> Segment {
    Segment::new(ownership.open.number() + 1, ownership.epoch, ownership.head.owner.clone())
}

/// Returns the next segment if it should be created concurrently with this write.
fn segment_to_create(
    shared: &Shared,
    ownership: &Ownership,
    pending: &PendingWrite,
) -> Option<Segment> {
    let half_full = pending.segment.body_bytes() >= shared.commit.segment_bytes / 2;
    let is_append = matches!(pending.operation, Operation::Append(_));
    (is_append && half_full && !ownership.outage && ownership.next_segment.is_none())
        .then(|| following_segment(ownership))
}

/// Creates the next segment. After a failure, a later write tries again.
async fn create_segment(shared: &Shared, next: Option<Segment>) -> Option<(Segment, Version)> {
    let next = next?;
    let key = segment::key(shared.partition, next.number());
    match write::put(&*shared.store, &key, &next.encode(), Expected::Absent).await {
        Effect::Applied(version) => Some((next, version)),
        _ => None,
    }
}

impl PendingWrite {
    fn new(shared: &Shared, segment: Segment, expected: Expected, operation: Operation) -> Self {
        let key = segment::key(shared.partition, segment.number());
        Self { key, value: segment.encode(), expected, segment, operation, in_doubt: false }
    }
}

/// Performs a write. Once it exceeds the stall timeout, submissions are refused until it returns.
async fn perform(shared: &Shared, epoch: Epoch, pending: &PendingWrite) -> Effect {
    let put = write::put(&*shared.store, &pending.key, &pending.value, pending.expected);
    let mut put = std::pin::pin!(put);
    tokio::select! {
        biased;
        effect = &mut put => return effect,
        () = sleep(shared.commit.stall_timeout) => {}
    }
    shared.with_ownership(epoch, |ownership| {
        ownership.stalled = true;
        ownership.drop_queued_claims(&Reason::StoreUnavailable);
    });
    let effect = put.await;
    shared.with_ownership(epoch, |ownership| ownership.stalled = false);
    effect
}

/// Reads the open segment to check whether the store is back.
async fn probe_store(shared: &Shared, epoch: Epoch) -> Effect {
    let open =
        shared.with_ownership(epoch, |ownership| (ownership.open.number(), ownership.open_version));
    let Some((number, version)) = open else { return Effect::Conflict };
    match shared.store.get(&segment::key(shared.partition, number)).await {
        Ok(Some(object)) if object.version > version => Effect::Conflict,
        Ok(_) => Effect::Applied(version),
        Err(error) => Effect::NotApplied(error),
    }
}

/// Updates the state after a write or a probe. Only a write in doubt stays pending.
fn apply_effect(
    shared: &Arc<Shared>,
    epoch: Epoch,
    pending: &mut Option<PendingWrite>,
    effect: Effect,
) -> Action {
    let in_doubt = pending.as_ref().is_some_and(|pending| pending.in_doubt);
    let (owned, action) = match effect {
        Effect::Applied(version) => {
            let pending = pending.take();
            let owned = shared.with_ownership(epoch, |ownership| {
                ownership.outage = false;
                if let Some(pending) = pending {
                    confirm_write(shared, ownership, pending, version);
                }
            });
            shared.progress.notify_waiters();
            (owned, Action::Write)
        }
        Effect::Conflict => {
            shared.fence(epoch);
            (None, Action::End)
        }
        Effect::NotApplied(_) if !in_doubt => {
            let pending = pending.take();
            let owned = shared.with_ownership(epoch, |ownership| {
                if let Some(PendingWrite { operation: Operation::Append(batch), .. }) = pending {
                    for queued in batch.into_iter().rev() {
                        ownership.queue.push_front(queued);
                    }
                }
                ownership.enter_outage();
            });
            (owned, Action::Wait)
        }
        Effect::NotApplied(_) | Effect::InDoubt(_) => {
            if let Some(pending) = pending {
                pending.in_doubt = true;
            }
            (shared.with_ownership(epoch, Ownership::enter_outage), Action::Wait)
        }
    };
    owned.map_or(Action::End, |()| action)
}

/// Updates the state after a confirmed write.
fn confirm_write(
    shared: &Arc<Shared>,
    ownership: &mut Ownership,
    pending: PendingWrite,
    version: Version,
) {
    match pending.operation {
        Operation::Append(batch) => {
            let sealed = pending.segment.sealed_by().is_some();
            ownership.open = pending.segment;
            ownership.open_version = version;
            for queued in batch {
                ownership.open_expiry = ownership.open_expiry.max(queued.expiry);
                complete(shared, ownership, queued);
            }
            if sealed && let Some((next, version)) = ownership.next_segment.take() {
                ownership.sealed.insert(ownership.open.number(), ownership.open_expiry);
                ownership.open = next;
                ownership.open_version = version;
                ownership.open_expiry = 0;
            }
        }
        Operation::Create => ownership.next_segment = Some((pending.segment, version)),
    }
}

/// Takes the action that follows the confirmed write of a record.
fn complete(shared: &Arc<Shared>, ownership: &mut Ownership, queued: QueuedRecord) {
    let QueuedRecord { request_id, claim_id, completion, .. } = queued;
    match completion {
        Completion::Finish(result) => ownership.finish(&request_id, claim_id, result),
        Completion::Dispatch(submission, runner) => {
            let epoch = ownership.epoch;
            let Some(claim) = ownership.live_claim(&request_id, claim_id) else { return };
            if claim.stage == Stage::Queued {
                claim.stage = Stage::Running;
                shared.dispatch(epoch, claim_id, submission, runner);
            } else {
                ownership.queue_release(&request_id, claim_id, Reason::StoreUnavailable);
            }
        }
    }
}

/// Limits the rate of the writes of a partition.
pub(crate) struct Pacer {
    /// Earliest start of the next write.
    next_start: Instant,
    /// Delay still to be added for writes that ran concurrently with a commit.
    debt: Duration,
}

impl Pacer {
    pub(crate) fn new() -> Self {
        Self { next_start: Instant::now(), debt: Duration::ZERO }
    }
}

/// Permission to write, held during a write. At most one exists per partition.
pub(crate) type WritePermit<'a> = tokio::sync::MutexGuard<'a, Pacer>;

impl Shared {
    /// Waits until the next write may start.
    ///
    /// The delay for a write that ran concurrently with a commit is spread over the next writes.
    /// This keeps the rate at one write per interval without making any submission wait for a
    /// whole additional interval.
    pub(crate) async fn write_permit(&self) -> WritePermit<'_> {
        let mut permit = self.pacer.lock().await;
        sleep_until(permit.next_start).await;
        let share = permit.debt.min(self.commit.write_interval / DEBT_SPREAD_WRITES);
        permit.debt -= share;
        permit.next_start = Instant::now() + self.commit.write_interval + share;
        permit
    }
}
