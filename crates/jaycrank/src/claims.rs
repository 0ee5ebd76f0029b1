//! At-most-once execution at this instance: which partitions it owns, and the way of a request
//! to the owner of its partition.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use jaycrank_caller::Answer;
use jaycrank_caller::Query;
use jaycrank_caller::Refusal;
use jaycrank_claim::AttemptId;
use jaycrank_claim::Digest;
use jaycrank_claim::GroupCommit;
use jaycrank_claim::InvalidSubmission;
use jaycrank_claim::Owner;
use jaycrank_claim::Partition;
use jaycrank_claim::Reason;
use jaycrank_claim::Submission;
use jaycrank_claim::Verdict;
use jaycrank_instance::Client;
use jaycrank_instance::Key;
use jaycrank_instance::membership::Liveness;
use jaycrank_instance::wire::Blob;
use jaycrank_instance::wire::Claim;
use jaycrank_instance::wire::Outcome;
use jaycrank_platform::Store;
use jaycrank_policy::rendezvous;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::dispatch::Dispatch;
use crate::dispatch::decode_answer;
use crate::peers::MISDIRECTED;
use crate::peers::Peers;
use crate::peers::misdirected;
use crate::shared::Shared;
use crate::shared::unix_ms;
use jaycrank_event::Event;
use jaycrank_event::event;

/// Time between two checks of which partitions this instance should own.
const CHECK: Duration = Duration::from_millis(50);

/// Time between two deletions of expired claims.
const RECLAIM: Duration = Duration::from_secs(60);

/// Longest wait for the previous owner to hand a partition over before it is fenced.
const HAND_OVER: Duration = Duration::from_secs(2);

/// Pause before a request that met no owner is sent again.
const REROUTE: Duration = Duration::from_millis(20);

/// Longest search for the owner of a request. It covers the time after which a killed owner is
/// suspected and its partitions are taken over; a longer one only holds the request.
const REROUTE_MAX: Duration = Duration::from_secs(3);

/// A request on its way to the owner of its partition.
#[derive(Serialize, Deserialize)]
struct Routed {
    query: Query,
    attempt_id: AttemptId,
}

/// Where a request is sent.
enum Route {
    Here(Arc<Owner>),
    Peer(Arc<Client>),
    Nowhere,
}

/// Claims at this instance.
pub struct Claims {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    key: Key,
    owners: Mutex<BTreeMap<Partition, Arc<Owner>>>,
    /// Partitions that this instance should own and could not take over at its last try.
    failing: Mutex<BTreeSet<Partition>>,
    clients: Mutex<BTreeMap<SmolStr, Arc<Client>>>,
}

impl Claims {
    /// Creates the claims of an instance that owns no partition yet.
    pub fn new(shared: Arc<Shared>, peers: Arc<Peers>, store: Arc<dyn Store>, key: Key) -> Self {
        let (owners, failing, clients) = (Mutex::default(), Mutex::default(), Mutex::default());
        Self { shared, peers, store, key, owners, failing, clients }
    }

    /// Epochs of the partitions that this instance owns, for heartbeats.
    pub fn epochs(&self) -> BTreeMap<Partition, u64> {
        let epoch =
            |(partition, owner): (&Partition, &Arc<Owner>)| Some((*partition, owner.epoch()?));
        lock(&self.owners).iter().filter_map(epoch).collect()
    }

    /// States of the partitions, for the dump.
    pub fn dump(&self) -> Vec<jaycrank_claim::owner::Dump> {
        lock(&self.owners).values().map(|owner| owner.dump()).collect()
    }

    /// Takes over and hands over partitions as the membership changes, until aborted.
    pub async fn maintain(self: Arc<Self>) {
        let mut wanted = BTreeMap::new();
        let mut reclaimed = Instant::now();
        loop {
            let partitions = self.shared.active().config().policy().claim_partitions;
            for partition in 0..partitions {
                self.check(partition, &mut wanted).await;
            }
            if reclaimed.elapsed() >= RECLAIM {
                reclaimed = Instant::now();
                self.reclaim().await;
            }
            sleep(CHECK).await;
        }
    }

    /// Deletes the segments of owned partitions whose requests have all expired.
    async fn reclaim(&self) {
        let owners: Vec<Arc<Owner>> = lock(&self.owners).values().cloned().collect();
        for owner in owners.into_iter().filter(|owner| owner.is_owner()) {
            // What could not be deleted now is deleted at the next turn, or by the next owner.
            let _ = owner.reclaim(unix_ms()).await;
        }
    }

    /// Hands all partitions over, for a graceful shutdown.
    pub async fn release(&self) {
        let owners: Vec<Arc<Owner>> = lock(&self.owners).values().cloned().collect();
        let mut releases = tokio::task::JoinSet::new();
        for owner in owners.into_iter().filter(|owner| owner.is_owner()) {
            releases.spawn(async move { owner.release().await });
        }
        while let Some(released) = releases.join_next().await {
            self.released(released.unwrap_or(Ok(())));
        }
    }

    fn released(&self, released: jaycrank_claim::Result<()>) {
        match released {
            // The partition was taken over or handed over before.
            // The next owner waits for a heartbeat that no longer names the partition.
            Ok(()) | Err(jaycrank_claim::Error::NotOwner) => self.shared.exchange().kick(),
            Err(error) => {
                event!(Event::HandOverFailed, instance = self.shared.name(), error = error);
            }
        }
    }

    async fn check(&self, partition: Partition, wanted: &mut BTreeMap<Partition, Instant>) {
        let owner = self.owner(partition);
        if self.assigned(partition).as_ref() != Some(self.shared.name()) {
            wanted.remove(&partition);
            lock(&self.failing).remove(&partition);
            if owner.is_owner() {
                self.released(owner.release().await);
            }
            return;
        }
        let since = *wanted.entry(partition).or_insert_with(Instant::now);
        let may_be_held = self.holder(partition).is_some() || self.has_unheard();
        let held = may_be_held && since.elapsed() < HAND_OVER;
        if owner.is_owner() || held {
            return;
        }
        match owner.acquire().await {
            Ok(epoch) => {
                lock(&self.failing).remove(&partition);
                let name = self.shared.name();
                event!(
                    Event::PartitionOwned,
                    instance = name,
                    partition = partition,
                    epoch = epoch
                );
                self.shared.exchange().kick();
            }
            Err(error) => {
                lock(&self.failing).insert(partition);
                event!(
                    Event::TakeoverFailed,
                    instance = self.shared.name(),
                    partition = partition,
                    error = error
                );
                sleep(CHECK).await;
            }
        }
    }

    /// Instance that should own a partition.
    fn assigned(&self, partition: Partition) -> Option<SmolStr> {
        let live = self.shared.exchange().membership().live(Instant::now().into_std());
        rendezvous::owner(&format_smolstr!("claims/{partition}"), &live)
    }

    /// Peer that said in its last heartbeat that it owns a partition, the latest epoch of several.
    fn holder(&self, partition: Partition) -> Option<SmolStr> {
        let live = self.shared.exchange().membership().known(Instant::now().into_std());
        let sections = self.peers.sections();
        let epoch = |name: &SmolStr| Some(*sections.get(name)?.epochs.get(&partition)?);
        let held = live.iter().filter(|name| *name != self.shared.name());
        let held = held.filter_map(|name| Some((epoch(name)?, name.clone())));
        held.max().map(|(_, name)| name)
    }

    /// Whether a peer is known that has not told yet which partitions it owns. An instance that
    /// has just started must not fence such a peer, whose running requests would end with an
    /// unknown outcome.
    fn has_unheard(&self) -> bool {
        let peers = self.shared.exchange().membership().peers(Instant::now().into_std());
        let sections = self.peers.sections();
        peers.iter().any(|peer| match peer.liveness {
            Liveness::Unheard => true,
            Liveness::Live | Liveness::Leaving => !sections.contains_key(&peer.identity.name),
            Liveness::Suspected | Liveness::Left => false,
        })
    }

    fn owner(&self, partition: Partition) -> Arc<Owner> {
        let mut owners = lock(&self.owners);
        let create = || {
            let policy = self.shared.active();
            let interval = policy.config().policy().claim_interval_ms;
            let commit = GroupCommit::new().with_write_interval(Duration::from_millis(interval));
            let owner =
                Owner::new(partition, self.shared.name().clone(), self.store.clone(), commit);
            Arc::new(owner.with_incarnation(self.shared.incarnation()))
        };
        owners.entry(partition).or_insert_with(create).clone()
    }

    fn route(&self, partition: Partition) -> Route {
        let own = self.owner(partition);
        if own.is_owner() {
            return Route::Here(own);
        }
        let name = self.holder(partition).or_else(|| self.assigned(partition));
        match name {
            Some(name) if &name == self.shared.name() => Route::Here(own),
            Some(name) => self.client(&name).map_or(Route::Nowhere, Route::Peer),
            None => Route::Nowhere,
        }
    }

    fn client(&self, name: &SmolStr) -> Option<Arc<Client>> {
        let address = self.shared.exchange().membership().identity(name)?.address;
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(name).filter(|client| client.address() == address) {
            return Some(client.clone());
        }
        let client = Arc::new(Client::new(address, self.key.clone()));
        clients.insert(name.clone(), client.clone());
        Some(client)
    }

    /// Runs a non-idempotent request at most once, through the owner of its partition.
    ///
    /// # Errors
    ///
    /// A refusal that says whether the request may have run.
    pub async fn run(
        &self,
        member: &SmolStr,
        query: &Query,
        deadline: Instant,
    ) -> Result<Answer, Refusal> {
        let request_id = query.request_id.clone().unwrap_or_default();
        let partitions = self.shared.active().config().policy().claim_partitions;
        let partition = jaycrank_claim::partition(&request_id, partitions);
        let routed = Routed { query: query.clone(), attempt_id: rand::random() };
        let end = deadline.min(Instant::now() + REROUTE_MAX);
        loop {
            let outcome = match self.route(partition) {
                Route::Here(owner) if self.is_failing(&owner, partition) => {
                    Err(no_store(query.attempt))
                }
                Route::Here(owner) => self.submit(&owner, &routed, deadline).await,
                Route::Peer(client) => {
                    self.send(&client, partition, member, &routed, deadline).await
                }
                Route::Nowhere => Err(no_owner(query.attempt)),
            };
            match outcome {
                // Nothing was done with the submission, so it may be sent to another instance.
                Err(refusal) if refusal.status == MISDIRECTED && Instant::now() + REROUTE < end => {
                    sleep(REROUTE).await;
                }
                Err(refusal) if refusal.status == MISDIRECTED => {
                    return Err(no_owner(query.attempt));
                }
                outcome => return outcome,
            }
        }
    }

    /// Runs a request that a peer sent here.
    pub async fn serve(&self, claim: Claim) -> Outcome {
        let Ok(routed) = serde_json::from_slice::<Routed>(&claim.query.0) else {
            return misdirected();
        };
        let owner = self.owner(claim.partition);
        if self.is_failing(&owner, claim.partition) {
            let refusal = no_store(routed.query.attempt);
            return encode(refusal.status, &refusal);
        }
        if !owner.is_owner() {
            return misdirected();
        }
        let deadline = Instant::now() + Duration::from_millis(claim.deadline_ms);
        match self.submit(&owner, &routed, deadline).await {
            Ok(answer) => encode(200, &answer),
            Err(refusal) => encode(refusal.status, &refusal),
        }
    }

    /// Whether a partition has no owner because this instance can't take it over.
    fn is_failing(&self, owner: &Owner, partition: Partition) -> bool {
        !owner.is_owner() && lock(&self.failing).contains(&partition)
    }

    async fn send(
        &self,
        client: &Client,
        partition: Partition,
        member: &SmolStr,
        routed: &Routed,
        deadline: Instant,
    ) -> Result<Answer, Refusal> {
        let left = deadline.saturating_duration_since(Instant::now());
        let query = serde_json::to_vec(routed).map_err(|error| {
            Refusal::not_run(500, "encoding", format!("the request can't be encoded: {error}"))
        })?;
        let deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let query = Blob(Bytes::from(query));
        let claim = Claim { partition, member: member.clone(), deadline_ms, query };
        let outcome = match client.claim(&claim, left).await {
            Ok(outcome) => outcome,
            // The owner did nothing, so another one may be asked.
            Err(error) if error.is_not_run() => return Err(nothing_done()),
            Err(error) => {
                let message = format!("the owner of the request did not answer: {error}");
                return Err(Refusal::may_have_run(504, "owner-lost", message));
            }
        };
        decode(&outcome)
    }

    async fn submit(
        &self,
        owner: &Owner,
        routed: &Routed,
        deadline: Instant,
    ) -> Result<Answer, Refusal> {
        let query = &routed.query;
        let digest = Digest::new(&query.service, query.body.get().as_bytes());
        let request_id = query.request_id.clone().unwrap_or_default();
        let mut submission = Submission::new(
            request_id.clone(),
            routed.attempt_id,
            digest,
            unix_ms(),
            Bytes::copy_from_slice(query.body.get().as_bytes()),
        )
        .with_attempt(query.attempt);
        if let Some(expires) = query.expires_unix_ms {
            submission = submission.with_expiry(expires);
        }
        let run = Arc::new(Dispatch::new(self.shared.clone(), query, deadline));
        let verdict = owner.submit(submission, run, deadline).await;
        self.answer(verdict)
    }

    fn answer(&self, verdict: Verdict) -> Result<Answer, Refusal> {
        match verdict {
            Verdict::Done { answer } => decode_answer(&answer),
            Verdict::Running => {
                let message = "the request is running; ask again with a raised attempt";
                Err(Refusal::may_have_run(409, "running", message).with_retry_after_ms(50))
            }
            // A fenced owner never dispatches a claim that was still waiting for its write, and the
            // next owner learns of the claim if it was written.
            Verdict::NotRun {
                reason: Reason::NotOwner | Reason::HandOver | Reason::Fenced,
                ..
            }
            | Verdict::MayHaveRun { reason: Reason::NotOwner | Reason::HandOver } => {
                Err(nothing_done())
            }
            Verdict::NotRun { reason, retry_after } => {
                let retry_after = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                let message = format!("this submission was not run: {}", text(&reason));
                let refusal = Refusal::not_run(503, <&str>::from(&reason), message);
                Err(refusal.with_retry_after_ms(retry_after.max(1)))
            }
            Verdict::MayHaveRun { reason } => {
                let message = format!("the request may have run: {}", text(&reason));
                Err(Refusal::may_have_run(504, <&str>::from(&reason), message))
            }
            Verdict::Invalid { reason } => Err(invalid(reason)),
        }
    }
}

fn encode<T: Serialize>(status: u16, message: &T) -> Outcome {
    // Answers and refusals are plain structs with string keys, which always serialize.
    let body = serde_json::to_vec(message).unwrap_or_default();
    Outcome { status, body: Blob(body.into()) }
}

fn decode(outcome: &Outcome) -> Result<Answer, Refusal> {
    let malformed = |error: serde_json::Error| {
        let message = format!("the owner's reply can't be read: {error}");
        Refusal::may_have_run(504, "owner-reply", message)
    };
    match outcome.status {
        200 => serde_json::from_slice(&outcome.body.0).map_err(malformed),
        MISDIRECTED => Err(nothing_done()),
        status => {
            let mut refusal: Refusal =
                serde_json::from_slice(&outcome.body.0).map_err(malformed)?;
            refusal.status = status;
            Err(refusal)
        }
    }
}

/// Inner refusal: this instance did nothing with the submission.
#[cold]
fn nothing_done() -> Refusal {
    Refusal::not_run(MISDIRECTED, "not-owner", "another instance owns the request")
}

/// Refusal when no owner could be reached before the deadline. Nothing was done with this
/// submission, but of an earlier attempt nothing is known.
#[cold]
fn no_owner(attempt: u32) -> Refusal {
    let message = "no instance owns the request at present";
    if attempt > 1 {
        return Refusal::may_have_run(504, "no-owner", message).with_retry_after_ms(250);
    }
    Refusal::not_run(503, "no-owner", message).with_retry_after_ms(250)
}

/// Refusal when the instance that should own the request can't take its partition over.
#[cold]
fn no_store(attempt: u32) -> Refusal {
    let reason = <&str>::from(Reason::StoreUnavailable);
    let message = "no instance can own the request while the store is unavailable";
    if attempt > 1 {
        return Refusal::may_have_run(504, reason, message).with_retry_after_ms(1_000);
    }
    Refusal::not_run(503, reason, message).with_retry_after_ms(1_000)
}

#[cold]
fn invalid(reason: InvalidSubmission) -> Refusal {
    let message = match reason {
        InvalidSubmission::RequestId => "request_id: accepted are 1 to 256 bytes",
        InvalidSubmission::Attempt => "attempt: accepted is 1 or more",
        InvalidSubmission::OtherBody => "request_id was used with another service or body",
        InvalidSubmission::OtherExpiry => "request_id was used with another expires_unix_ms",
        InvalidSubmission::Expired => "expires_unix_ms has passed",
        InvalidSubmission::ExpiryTooFar => "expires_unix_ms: accepted is at most 24 hours ahead",
    };
    Refusal::invalid(400, <&str>::from(reason), message)
}

fn text(reason: &Reason) -> String {
    match reason {
        Reason::NotSent(cause) | Reason::Unknown(cause) => cause.to_string(),
        reason => <&str>::from(reason).replace('-', " "),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
