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
use crate::segment;
use crate::segment::SEGMENT_BYTES_MAX;
use crate::segment::Segment;
use crate::tenure::Effect;
use crate::tenure::Queued;
use crate::tenure::Stage;
use crate::tenure::Tenure;
use crate::verdict::Reason;
use crate::write;
use crate::write::Written;

/// Largest size of the records in a segment, in bytes; the rest is kept free for the header.
const BODY_BYTES_MAX: usize = SEGMENT_BYTES_MAX - 2000;

/// Writes over which the time of an additional write is spread.
const DEBT_PARTS: u32 = 8;

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
    /// 20 ms between writes, 512 records a write, segments of 64 KB, refusals after 500 ms
    /// without an answer of the store, and a probe every 250 ms.
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

    /// Sets the shortest time between the starts of two writes.
    pub fn with_write_interval(mut self, write_interval: Duration) -> Self {
        self.write_interval = write_interval;
        self
    }

    /// Sets the largest number of records in one write. Up to four times as many wait.
    pub fn with_batch_records(mut self, batch_records: usize) -> Self {
        self.batch_records = batch_records.max(1);
        self
    }

    /// Sets the size of the records at which a segment is sealed, in bytes. The write that seals it
    /// may exceed this; values stay below [`SEGMENT_BYTES_MAX`].
    pub fn with_segment_bytes(mut self, segment_bytes: usize) -> Self {
        self.segment_bytes = segment_bytes.min(BODY_BYTES_MAX);
        self
    }

    /// Sets the time that a write may take before submissions are refused.
    pub fn with_stall_timeout(mut self, stall_timeout: Duration) -> Self {
        self.stall_timeout = stall_timeout;
        self
    }

    /// Sets the time between probes while the store is down.
    pub fn with_probe_interval(mut self, probe_interval: Duration) -> Self {
        self.probe_interval = probe_interval;
        self
    }

    pub(crate) fn queue_max(&self) -> usize {
        self.batch_records.saturating_mul(4)
    }
}

/// A write that is in flight or in doubt.
struct Pending {
    key: SmolStr,
    value: Bytes,
    expected: Expected,
    segment: Segment,
    step: Step,
    /// The write may have been applied, so only this very write may follow.
    doubted: bool,
}

enum Step {
    /// Appends records to the open segment, and may seal it.
    Append(Vec<Queued>),
    /// Creates the segment that follows the open one.
    Create,
}

/// Writes the queue until the ownership of this epoch ends.
pub(crate) async fn run(shared: Arc<Shared>, epoch: Epoch) {
    let mut pending: Option<Pending> = None;
    loop {
        match shared.with(epoch, |tenure| !tenure.queue.is_empty() || tenure.outage) {
            None => return,
            Some(false) if pending.is_none() => {
                // A permit is stored if the queue was filled in between.
                shared.work.notified().await;
                continue;
            }
            Some(_) => {}
        }
        let (written, created) = {
            let mut pen = shared.pace().await;
            if pending.is_none() {
                let next = shared.with(epoch, |tenure| prepare(&shared, tenure));
                let Some(next) = next else { return };
                pending = next;
            }
            match &pending {
                Some(pending) => {
                    // The next segment is created beside a commit, so that no commit waits for it.
                    let create =
                        shared.with(epoch, |tenure| create_early(&shared, tenure, pending));
                    if matches!(create, Some(Some(_))) {
                        pen.debt += shared.commit.write_interval;
                    }
                    let create = create_next(&shared, create.flatten());
                    tokio::join!(write(&shared, epoch, pending), create)
                }
                None => (probe(&shared, epoch).await, None),
            }
        };
        if let Some((next, version)) = created {
            shared.with(epoch, |tenure| tenure.next = Some((next, version)));
        }
        match settle(&shared, epoch, &mut pending, written) {
            Next::Write => {}
            Next::Wait => sleep(shared.commit.probe_interval).await,
            Next::End => return,
        }
    }
}

/// What the committer does next.
enum Next {
    Write,
    Wait,
    End,
}

/// Builds the next write from the queue, or `None` if nothing waits.
fn prepare(shared: &Shared, tenure: &mut Tenure) -> Option<Pending> {
    let used = tenure.open.body_bytes();
    let mut records = Vec::new();
    let mut batch = Vec::new();
    while let Some(queued) = tenure.queue.front() {
        let size = used + records.len() + queued.record.len();
        if batch.len() >= shared.commit.batch_records
            || (size > BODY_BYTES_MAX && size > queued.record.len())
        {
            break;
        }
        records.extend_from_slice(&queued.record);
        batch.extend(tenure.queue.pop_front());
    }
    if batch.is_empty() {
        tenure.queue.front()?;
        if tenure.next.is_none() {
            let segment = follow(tenure);
            return Some(Pending::new(shared, segment, Expected::Absent, Step::Create));
        }
    }
    let full = batch.is_empty() || used + records.len() >= shared.commit.segment_bytes;
    let mut segment = tenure.open.extended(&records);
    if full && tenure.next.is_some() {
        // The segment that was created is used only after this one is sealed, so that an owner
        // that was paused before it created a segment finds out that it is fenced.
        segment = segment.sealed(tenure.epoch);
    }
    let expected = Expected::Version(tenure.open_version);
    Some(Pending::new(shared, segment, expected, Step::Append(batch)))
}

/// Returns the empty segment that follows the open one.
fn follow(tenure: &Tenure) -> Segment {
    Segment::new(tenure.open.number() + 1, tenure.epoch, tenure.head.owner.clone())
}

/// Returns the next segment if it should be created beside this write.
fn create_early(shared: &Shared, tenure: &Tenure, pending: &Pending) -> Option<Segment> {
    let half = pending.segment.body_bytes() >= shared.commit.segment_bytes / 2;
    let append = matches!(pending.step, Step::Append(_));
    (append && half && !tenure.outage && tenure.next.is_none()).then(|| follow(tenure))
}

/// Creates the next segment. A failure is left to a later write, which repeats it.
async fn create_next(shared: &Shared, next: Option<Segment>) -> Option<(Segment, Version)> {
    let next = next?;
    let key = segment::key(shared.partition, next.number());
    match write::put(&*shared.store, &key, &next.encode(), Expected::Absent).await {
        Written::Applied(version) => Some((next, version)),
        _ => None,
    }
}

impl Pending {
    fn new(shared: &Shared, segment: Segment, expected: Expected, step: Step) -> Self {
        let key = segment::key(shared.partition, segment.number());
        Self { key, value: segment.encode(), expected, segment, step, doubted: false }
    }
}

/// Performs a write. If it takes longer than the stall timeout, submissions are refused meanwhile.
async fn write(shared: &Shared, epoch: Epoch, pending: &Pending) -> Written {
    let put = write::put(&*shared.store, &pending.key, &pending.value, pending.expected);
    let mut put = std::pin::pin!(put);
    tokio::select! {
        biased;
        written = &mut put => return written,
        () = sleep(shared.commit.stall_timeout) => {}
    }
    shared.with(epoch, |tenure| {
        tenure.stalled = true;
        tenure.drop_queued(&Reason::StoreUnavailable);
    });
    let written = put.await;
    shared.with(epoch, |tenure| tenure.stalled = false);
    written
}

/// Reads the open segment to learn whether the store is back.
async fn probe(shared: &Shared, epoch: Epoch) -> Written {
    let open = shared.with(epoch, |tenure| (tenure.open.number(), tenure.open_version));
    let Some((number, version)) = open else { return Written::Fenced };
    match shared.store.get(&segment::key(shared.partition, number)).await {
        Ok(Some(object)) if object.version > version => Written::Fenced,
        Ok(_) => Written::Applied(version),
        Err(error) => Written::Refused(error),
    }
}

/// Applies the result of a write to the index. Only a write in doubt stays pending.
fn settle(
    shared: &Arc<Shared>,
    epoch: Epoch,
    pending: &mut Option<Pending>,
    written: Written,
) -> Next {
    let doubted = pending.as_ref().is_some_and(|pending| pending.doubted);
    let (lives, next) = match written {
        Written::Applied(version) => {
            let pending = pending.take();
            let lives = shared.with(epoch, |tenure| {
                tenure.outage = false;
                if let Some(pending) = pending {
                    confirm(shared, tenure, pending, version);
                }
            });
            shared.idle.notify_waiters();
            (lives, Next::Write)
        }
        Written::Fenced => {
            shared.fence(epoch);
            (None, Next::End)
        }
        Written::Refused(_) if !doubted => {
            let pending = pending.take();
            let lives = shared.with(epoch, |tenure| {
                if let Some(Pending { step: Step::Append(batch), .. }) = pending {
                    for queued in batch.into_iter().rev() {
                        tenure.queue.push_front(queued);
                    }
                }
                tenure.suspend();
            });
            (lives, Next::Wait)
        }
        Written::Refused(_) | Written::Doubt(_) => {
            if let Some(pending) = pending {
                pending.doubted = true;
            }
            (shared.with(epoch, Tenure::suspend), Next::Wait)
        }
    };
    lives.map_or(Next::End, |()| next)
}

/// Applies a confirmed write.
fn confirm(shared: &Arc<Shared>, tenure: &mut Tenure, pending: Pending, version: Version) {
    match pending.step {
        Step::Append(batch) => {
            let sealed = pending.segment.sealed_by().is_some();
            tenure.open = pending.segment;
            tenure.open_version = version;
            for queued in batch {
                tenure.open_expiry = tenure.open_expiry.max(queued.expiry);
                effect(shared, tenure, queued);
            }
            if sealed && let Some((next, version)) = tenure.next.take() {
                tenure.sealed.insert(tenure.open.number(), tenure.open_expiry);
                tenure.open = next;
                tenure.open_version = version;
                tenure.open_expiry = 0;
            }
        }
        Step::Create => tenure.next = Some((pending.segment, version)),
    }
}

fn effect(shared: &Arc<Shared>, tenure: &mut Tenure, queued: Queued) {
    let Queued { request_id, claim, effect, .. } = queued;
    match effect {
        Effect::Finish(signal) => tenure.finish(&request_id, claim, signal),
        Effect::Dispatch(submission, runner) => {
            let epoch = tenure.epoch;
            let Some(live) = tenure.live(&request_id, claim) else { return };
            if live.stage == Stage::Queued {
                live.stage = Stage::Running;
                shared.dispatch(epoch, claim, submission, runner);
            } else {
                tenure.release(&request_id, claim, Reason::StoreUnavailable);
            }
        }
    }
}

/// Pace of the writes of a partition.
pub(crate) struct Pace {
    /// Earliest start of the next write.
    next: Instant,
    /// Time that is owed for writes beside a commit.
    debt: Duration,
}

impl Pace {
    pub(crate) fn new() -> Self {
        Self { next: Instant::now(), debt: Duration::ZERO }
    }
}

/// Permission to write, held during a write. At most one exists for a partition.
pub(crate) type Pen<'a> = tokio::sync::MutexGuard<'a, Pace>;

impl Shared {
    /// Waits until the next write may start.
    ///
    /// The time of a write beside a commit is spread over the next ones, so that the rate of
    /// writes stays below one per interval and no submission waits for a whole interval more.
    pub(crate) async fn pace(&self) -> Pen<'_> {
        let mut pen = self.pen.lock().await;
        sleep_until(pen.next).await;
        let part = pen.debt.min(self.commit.write_interval / DEBT_PARTS);
        pen.debt -= part;
        pen.next = Instant::now() + self.commit.write_interval + part;
        pen
    }
}
