//! Takeover of a partition: raises the epoch, seals the segments and loads the index.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use futures_util::future::join_all;
use jaycrank_platform::Expected;
use jaycrank_platform::Object;
use jaycrank_platform::Store;
use jaycrank_platform::Version;
use smol_str::SmolStr;

use crate::error::Error;
use crate::error::Result;
use crate::head;
use crate::head::Head;
use crate::head::Writer;
use crate::ownership::Entry;
use crate::ownership::Ownership;
use crate::ownership::Phase;
use crate::record::Record;
use crate::segment;
use crate::segment::Number;
use crate::segment::Segment;
use crate::submission::Partition;
use crate::submission::RequestId;
use crate::submission::UnixMs;
use crate::verdict::Reason;
use crate::write;
use crate::write::Effect;

/// Reads of one segment before a takeover gives up. More than one is needed only if reads are
/// stale or the previous owner still writes.
const SEGMENT_READS_MAX: usize = 64;

/// Segments that are read concurrently. A partition may have a thousand segments.
const READ_AHEAD_SEGMENTS: Number = 16;

/// Takes over the partition and returns the loaded state.
pub(crate) async fn run(
    store: &dyn Store,
    partition: Partition,
    writer: Writer,
) -> Result<Ownership> {
    let (head, version) = raise_epoch(store, partition, writer).await?;
    let mut loader = Loader { watermark: head.watermark, ..Loader::default() };
    let (open, open_version) = seal_segments(store, partition, &head, &mut loader).await?;
    // An instance that is paused in its takeover may create a segment that later owners created,
    // used and deleted in the meantime. The head has changed by then, so this write fails.
    let head = Head { opened: Some(open.number()), ..head };
    let key = head::key(partition);
    let version = applied_version(
        write::put(store, &key, &head.encode(), Expected::Version(version)).await,
        &key,
    )?;
    Ok(Ownership::new(head, version, open, open_version, loader.entries, loader.sealed))
}

/// Raises the epoch in the head, with `writer` as the new owner.
async fn raise_epoch(
    store: &dyn Store,
    partition: Partition,
    writer: Writer,
) -> Result<(Head, Version)> {
    let key = head::key(partition);
    let (head, expected) = match head::read(store, partition).await? {
        Some((head, version)) => (head, Expected::Version(version)),
        None => (Head::default(), Expected::Absent),
    };
    let head = head.next_epoch(writer);
    let version = applied_version(write::put(store, &key, &head.encode(), expected).await, &key)?;
    Ok((head, version))
}

/// Seals and loads all segments and creates the next one.
///
/// An open segment is loaded only after the conditional write that seals it, and the end is reached
/// only when the next segment can be created. The result is therefore correct even if reads are
/// stale.
async fn seal_segments(
    store: &dyn Store,
    partition: Partition,
    head: &Head,
    loader: &mut Loader,
) -> Result<(Segment, Version)> {
    let mut number = head.first;
    let mut reads = 0;
    let listed = store.list(&segment::prefix(partition)).await.map_err(Error::Store)?;
    let last = listed.keys().next_back().and_then(|key| segment::number(key)).unwrap_or(0);
    let mut ahead = VecDeque::new();
    loop {
        let key = segment::key(partition, number);
        if ahead.is_empty() {
            ahead = read_ahead(store, partition, number, last).await?;
        }
        let object = match ahead.pop_front() {
            Some(object) => Some(object),
            None => store.get(&key).await.map_err(Error::Store)?,
        };
        reads += 1;
        let Some(object) = object else {
            let open = Segment::new(number, head.epoch, head.owner.clone());
            match write::put(store, &key, &open.encode(), Expected::Absent).await {
                Effect::Conflict if reads < SEGMENT_READS_MAX => continue,
                effect => return Ok((open, applied_version(effect, &key)?)),
            }
        };
        let decoded = decode(&key, &object)?;
        if decoded.epoch() > head.epoch || decoded.sealed_by() > Some(head.epoch) {
            return Err(Error::Fenced(key));
        }
        if decoded.sealed_by().is_none() {
            let sealed = decoded.sealed(head.epoch);
            let expected = Expected::Version(object.version);
            match write::put(store, &key, &sealed.encode(), expected).await {
                Effect::Conflict if reads < SEGMENT_READS_MAX => {
                    ahead.clear();
                    continue;
                }
                effect => applied_version(effect, &key)?,
            };
        }
        loader.load(&key, &decoded)?;
        number += 1;
        reads = 0;
    }
}

/// Reads a segment and those that follow it concurrently, up to `last`, and returns those before
/// the first missing one.
async fn read_ahead(
    store: &dyn Store,
    partition: Partition,
    number: Number,
    last: Number,
) -> Result<VecDeque<Object>> {
    let end = last.saturating_add(1).min(number.saturating_add(READ_AHEAD_SEGMENTS));
    let reads = (number..end).map(|number| async move {
        store.get(&segment::key(partition, number)).await.map_err(Error::Store)
    });
    let objects = join_all(reads).await.into_iter().collect::<Result<Vec<_>>>()?;
    Ok(objects.into_iter().map_while(|object| object).collect())
}

fn decode(key: &SmolStr, object: &Object) -> Result<Segment> {
    Segment::decode(&object.value).map_err(|cause| Error::Decode(key.clone(), cause))
}

/// Returns the new version if the write was applied, and the matching error otherwise.
fn applied_version(effect: Effect, key: &SmolStr) -> Result<Version> {
    match effect {
        Effect::Applied(version) => Ok(version),
        Effect::Conflict => Err(Error::Fenced(key.clone())),
        Effect::NotApplied(cause) => Err(Error::Store(cause)),
        Effect::InDoubt(cause) => Err(Error::InDoubt(cause)),
    }
}

/// Loader of the index and the list of sealed segments.
#[derive(Default)]
struct Loader {
    watermark: UnixMs,
    entries: BTreeMap<RequestId, Entry>,
    sealed: BTreeMap<Number, UnixMs>,
}

impl Loader {
    fn load(&mut self, key: &SmolStr, segment: &Segment) -> Result<()> {
        let records = segment.records().map_err(|cause| Error::Decode(key.clone(), cause))?;
        let mut latest = 0;
        for record in records {
            if let Record::Claim { expiry, .. } = &record {
                latest = latest.max(*expiry);
            }
            self.apply(record);
        }
        self.sealed.insert(segment.number(), latest);
        Ok(())
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Claim { request_id, attempt, digest, expiry, .. } => {
                if expiry > self.watermark {
                    let phase = Phase::Unknown(Reason::EarlierEpoch);
                    self.entries.insert(request_id, Entry { attempt, digest, expiry, phase });
                }
            }
            Record::Done { request_id, answer } => self.set_phase(&request_id, Phase::Done(answer)),
            Record::Released { request_id, attempt } => {
                self.set_phase(&request_id, Phase::Released);
                if let Some(entry) = self.entries.get_mut(&request_id) {
                    entry.attempt = entry.attempt.max(attempt);
                }
            }
            Record::Unknown { request_id, ran: true, .. } => {
                self.set_phase(&request_id, Phase::Unknown(Reason::AnswerNotKept));
            }
            Record::Unknown { request_id, ran: false, reason } => {
                self.set_phase(&request_id, Phase::Unknown(Reason::Unknown(reason)));
            }
        }
    }

    /// Sets the phase of a claimed request. The entry of an expired request may be missing, and a
    /// recorded answer is final.
    fn set_phase(&mut self, request_id: &RequestId, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(request_id)
            && !matches!(entry.phase, Phase::Done(_))
        {
            entry.phase = phase;
        }
    }
}
