//! Checks that traces follow the transitions of `spec/claim.pml`. Names follow the specification.

use std::collections::BTreeMap;

use bytes::Bytes;
use jaycrank_claim::Outcome;
use jaycrank_claim::Verdict;
use jaycrank_claim::head::Head;
use jaycrank_claim::record::Record;
use jaycrank_claim::segment::Segment;
use jaycrank_claim::trace::Event;
use smol_str::SmolStr;

/// Execution of a dispatched attempt.
struct Execution {
    attempt: u32,
    attempt_id: u64,
    /// Outcome, or `None` while it runs.
    outcome: Option<Outcome>,
}

impl Execution {
    /// Returns whether the request ran. An execution without an outcome counts as run.
    fn ran(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::NotSent(_)))
    }
}

#[derive(Default)]
struct Model {
    head: Head,
    segments: BTreeMap<SmolStr, Segment>,
    /// Owner of each epoch, and whether it still believes that it owns the partition.
    owners: BTreeMap<u64, (SmolStr, bool)>,
    runs: BTreeMap<SmolStr, Vec<Execution>>,
    /// Recorded answers, including those of deleted segments; `None` for one that was too large.
    answers: BTreeMap<SmolStr, Option<Bytes>>,
    /// Attempt numbers and attempt ids that got the verdict "not run".
    not_run: BTreeMap<SmolStr, Vec<(u32, u64)>>,
    /// Epoch of the claim of each attempt id.
    claims: BTreeMap<u64, u64>,
}

/// Returns the number of runs by request id.
///
/// # Panics
///
/// Panics at the first event that is not a transition of the specification.
pub fn accept(events: &[(SmolStr, Event)]) -> BTreeMap<SmolStr, usize> {
    let mut model = Model::default();
    for (index, (instance, event)) in events.iter().enumerate() {
        if let Err(error) = model.apply(instance, event) {
            let from = index.saturating_sub(30);
            panic!("event {index} at {instance}: {error}\n{:#?}", &events[from..=index]);
        }
    }
    let ran = |runs: &Vec<Execution>| runs.iter().filter(|run| run.ran()).count();
    model.runs.iter().map(|(id, runs)| (id.clone(), ran(runs))).collect()
}

/// Returns an error with the text of the condition if it does not hold.
macro_rules! require {
    ($condition:expr) => {
        if !$condition {
            return Err(stringify!($condition).into());
        }
    };
}

impl Model {
    fn apply(&mut self, instance: &SmolStr, event: &Event) -> Result<(), String> {
        match event {
            Event::Put { key, value, .. } if key.ends_with("/head") => {
                self.put_head(Head::decode(value).map_err(|e| e.to_string())?)
            }
            Event::Put { key, value, .. } => {
                self.put_segment(key, Segment::decode(value).map_err(|e| e.to_string())?)
            }
            Event::Delete { key } => {
                let deleted = self.segments.remove(key).ok_or("no such segment")?;
                require!(deleted.number() < self.head.first);
                let records = deleted.records().unwrap();
                let watermark = self.head.watermark;
                require!(
                    records
                        .iter()
                        .all(|r| !matches!(r, Record::Claim { expiry, .. } if *expiry > watermark))
                );
                Ok(())
            }
            Event::Own { epoch } => {
                require!(*epoch <= self.head.epoch);
                require!(self.owners.insert(*epoch, (instance.clone(), true)).is_none());
                Ok(())
            }
            Event::Lose { epoch } => {
                let before = self.owners.insert(*epoch, (instance.clone(), false));
                require!(before == Some((instance.clone(), true)));
                Ok(())
            }
            Event::Run { epoch, request_id, attempt, attempt_id } => {
                require!(self.owners.get(epoch) == Some(&(instance.clone(), true)));
                require!(self.claims.get(attempt_id) == Some(epoch));
                let runs = self.runs.entry(request_id.clone()).or_default();
                require!(!runs.iter().any(Execution::ran));
                let not_run = self.not_run.get(request_id).map(Vec::as_slice).unwrap_or_default();
                require!(!not_run.iter().any(|(_, id)| id == attempt_id));
                require!(!not_run.iter().any(|(number, _)| *number > 1 && number > attempt));
                let (attempt, attempt_id) = (*attempt, *attempt_id);
                runs.push(Execution { attempt, attempt_id, outcome: None });
                Ok(())
            }
            Event::End { request_id, outcome } => {
                let run = self.runs.get_mut(request_id).and_then(|runs| runs.last_mut());
                run.ok_or("ended without a run")?.outcome = Some(outcome.clone());
                Ok(())
            }
            Event::Tell { request_id, attempt, attempt_id, verdict } => {
                self.check_verdict(request_id, *attempt, *attempt_id, verdict)
            }
        }
    }

    fn check_verdict(
        &mut self,
        id: &SmolStr,
        attempt: u32,
        attempt_id: u64,
        verdict: &Verdict,
    ) -> Result<(), String> {
        let runs = self.runs.get(id).map(Vec::as_slice).unwrap_or_default();
        match verdict {
            Verdict::NotRun { .. } => {
                require!(!runs.iter().any(|run| run.ran() && run.attempt_id == attempt_id));
                require!(attempt == 1 || !runs.iter().any(|r| r.ran() && r.attempt < attempt));
                self.not_run.entry(id.clone()).or_default().push((attempt, attempt_id));
            }
            Verdict::Done { answer } => {
                let recorded =
                    self.answers.get(id).ok_or("answer returned before it was recorded")?;
                require!(recorded.as_ref().is_none_or(|recorded| recorded == answer));
            }
            Verdict::Running => require!(!runs.is_empty()),
            Verdict::MayHaveRun { .. } | Verdict::Invalid { .. } => {}
        }
        Ok(())
    }

    fn put_head(&mut self, next: Head) -> Result<(), String> {
        let head = &self.head;
        if next.epoch == head.epoch + 1 {
            // Takeover.
            require!((next.first, next.watermark) == (head.first, head.watermark));
            require!(next.opened.is_none() && !next.free);
        } else {
            // Confirmation, reclamation or hand-over by the owner.
            require!(next.epoch == head.epoch && next.owner == head.owner && !head.free);
            require!(next.first >= head.first && next.watermark >= head.watermark);
            require!(next.opened.is_some());
        }
        self.head = next;
        Ok(())
    }

    fn put_segment(&mut self, key: &SmolStr, next: Segment) -> Result<(), String> {
        let records = next.records().map_err(|e| e.to_string())?;
        let Some(open) = self.segments.get(key) else {
            // A segment below the first one is never read.
            require!(records.is_empty() && next.sealed_by().is_none());
            let last = self.segments.values().next_back().map(Segment::number);
            require!(next.number() < self.head.first || last.is_none_or(|n| next.number() > n));
            self.segments.insert(key.clone(), next);
            return Ok(());
        };
        require!(open.sealed_by().is_none());
        let before = open.records().unwrap();
        if next.sealed_by().is_some_and(|by| by != open.epoch()) {
            require!(records == before && next.sealed_by() > Some(open.epoch()));
        } else {
            // The write that seals a segment may also append to it, which the specification models
            // as two steps.
            let sealed = next.sealed_by().is_some();
            require!(next.epoch() == open.epoch() && next.sequence() > open.sequence());
            require!(records.starts_with(&before) && (sealed || records.len() > before.len()));
            require!(next.number() >= self.head.first);
        }
        for record in &records[before.len()..] {
            self.record(record, next.epoch())?;
        }
        self.segments.insert(key.clone(), next);
        Ok(())
    }

    fn record(&mut self, record: &Record, epoch: u64) -> Result<(), String> {
        let (id, outcome) = match record {
            Record::Claim { request_id, attempt_id, .. } => {
                require!(!self.answers.contains_key(request_id));
                require!(self.claims.insert(*attempt_id, epoch).is_none());
                return Ok(());
            }
            Record::Released { request_id, .. } => {
                let runs = self.runs.get(request_id).map(Vec::as_slice).unwrap_or_default();
                require!(!runs.iter().any(Execution::ran));
                return Ok(());
            }
            Record::Done { request_id, answer } => (request_id, Some(Some(answer.clone()))),
            Record::Unknown { request_id, ran: true, .. } => (request_id, Some(None)),
            Record::Unknown { request_id, .. } => (request_id, None),
        };
        let ended = self.runs.get(id).and_then(|runs| runs.last()).ok_or("outcome without run")?;
        require!(ended.outcome.is_some());
        if let Some(answer) = outcome {
            require!(self.answers.get(id).is_none_or(|recorded| *recorded == answer));
            self.answers.insert(id.clone(), answer);
        }
        Ok(())
    }
}
