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
use crate::record::Record;
use crate::segment;
use crate::segment::Number;
use crate::segment::Segment;
use crate::submission::Partition;
use crate::submission::RequestId;
use crate::submission::UnixMs;
use crate::tenure::Entry;
use crate::tenure::Phase;
use crate::tenure::Tenure;
use crate::verdict::Reason;
use crate::write;
use crate::write::Written;

/// Reads of the same segment before a takeover gives up; more than one is needed only when reads
/// lag or the previous owner still writes.
const ROUNDS_MAX: usize = 64;

/// Segments that are read at the same time. A partition may have a thousand.
const READ_AHEAD: Number = 16;

/// Takes the partition over and returns the loaded state.
pub(crate) async fn take(
    store: &dyn Store,
    partition: Partition,
    writer: Writer,
) -> Result<Tenure> {
    let (head, version) = raise(store, partition, writer).await?;
    let mut loaded = Loaded { watermark: head.watermark, ..Loaded::default() };
    let (open, open_version) = walk(store, partition, &head, &mut loaded).await?;
    // A paused instance may create a segment that the next owners created, used and deleted while
    // it was paused. The head has changed by then, so this write fails.
    let head = Head { opened: Some(open.number()), ..head };
    let key = head::key(partition);
    let version =
        applied(write::put(store, &key, &head.encode(), Expected::Version(version)).await, &key)?;
    Ok(Tenure::new(head, version, open, open_version, loaded.entries, loaded.sealed))
}

async fn raise(store: &dyn Store, partition: Partition, writer: Writer) -> Result<(Head, Version)> {
    let key = head::key(partition);
    let (head, expected) = match head::read(store, partition).await? {
        Some((head, version)) => (head, Expected::Version(version)),
        None => (Head::default(), Expected::Absent),
    };
    let head = head.next_epoch(writer);
    let version = applied(write::put(store, &key, &head.encode(), expected).await, &key)?;
    Ok((head, version))
}

/// Seals every open segment, loads all of them and creates the next one.
///
/// An open segment is loaded only after the update that seals it, and a missing one counts as
/// missing only after it was created. The walk is therefore correct even if reads lag.
async fn walk(
    store: &dyn Store,
    partition: Partition,
    head: &Head,
    loaded: &mut Loaded,
) -> Result<(Segment, Version)> {
    let mut number = head.first;
    let mut rounds = 0;
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
        rounds += 1;
        let Some(object) = object else {
            let open = Segment::new(number, head.epoch, head.owner.clone());
            match write::put(store, &key, &open.encode(), Expected::Absent).await {
                Written::Fenced if rounds < ROUNDS_MAX => continue,
                written => return Ok((open, applied(written, &key)?)),
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
                Written::Fenced if rounds < ROUNDS_MAX => {
                    ahead.clear();
                    continue;
                }
                written => applied(written, &key)?,
            };
        }
        loaded.add(&key, &decoded)?;
        number += 1;
        rounds = 0;
    }
}

/// Reads a segment and those that follow at the same time, up to the last one that was listed.
/// Only segments without a gap are returned.
async fn read_ahead(
    store: &dyn Store,
    partition: Partition,
    number: Number,
    last: Number,
) -> Result<VecDeque<Object>> {
    let end = last.saturating_add(1).min(number.saturating_add(READ_AHEAD));
    let reads = (number..end).map(|number| async move {
        store.get(&segment::key(partition, number)).await.map_err(Error::Store)
    });
    let objects = join_all(reads).await.into_iter().collect::<Result<Vec<_>>>()?;
    Ok(objects.into_iter().map_while(|object| object).collect())
}

fn decode(key: &SmolStr, object: &Object) -> Result<Segment> {
    Segment::decode(&object.value).map_err(|cause| Error::Decode(key.clone(), cause))
}

fn applied(written: Written, key: &SmolStr) -> Result<Version> {
    match written {
        Written::Applied(version) => Ok(version),
        Written::Fenced => Err(Error::Fenced(key.clone())),
        Written::Refused(cause) => Err(Error::Store(cause)),
        Written::Doubt(cause) => Err(Error::InDoubt(cause)),
    }
}

/// Index and segments, as loaded so far.
#[derive(Default)]
struct Loaded {
    watermark: UnixMs,
    entries: BTreeMap<RequestId, Entry>,
    sealed: BTreeMap<Number, UnixMs>,
}

impl Loaded {
    fn add(&mut self, key: &SmolStr, segment: &Segment) -> Result<()> {
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
            Record::Done { request_id, answer } => self.set(&request_id, Phase::Done(answer)),
            Record::Released { request_id, attempt } => {
                self.set(&request_id, Phase::Released);
                if let Some(entry) = self.entries.get_mut(&request_id) {
                    entry.attempt = entry.attempt.max(attempt);
                }
            }
            Record::Unknown { request_id, ran: true, .. } => {
                self.set(&request_id, Phase::Unknown(Reason::AnswerNotKept));
            }
            Record::Unknown { request_id, ran: false, reason } => {
                self.set(&request_id, Phase::Unknown(Reason::Unknown(reason)));
            }
        }
    }

    /// Sets the phase of a claimed request. The claim of an expired one may be gone, and a
    /// recorded answer is final.
    fn set(&mut self, request_id: &RequestId, phase: Phase) {
        if let Some(entry) = self.entries.get_mut(request_id)
            && !matches!(entry.phase, Phase::Done(_))
        {
            entry.phase = phase;
        }
    }
}
