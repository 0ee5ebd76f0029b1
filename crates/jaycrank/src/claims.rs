//! Partition ownership of this instance, and routing of non-idempotent requests to the owner of
//! their partition.

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

/// Interval at which the partitions that this instance owns are reconciled with the membership.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which expired claims are deleted.
const RECLAIM_INTERVAL: Duration = Duration::from_secs(60);

/// Longest wait for the previous owner to hand a partition over before it is fenced.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a request that reached no owner is routed again.
const REROUTE_DELAY: Duration = Duration::from_millis(20);

/// Longest time for which a request is rerouted until it reaches an owner. It covers the time in
/// which a killed owner is suspected and its partitions are taken over; more would only delay the
/// refusal.
const REROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// A request as it is sent to the owner of its partition.
#[derive(Serialize, Deserialize)]
struct RoutedRequest {
    query: Query,
    attempt_id: AttemptId,
}

/// Destination of a request.
enum Route {
    /// This instance owns the partition or should own it.
    Local(Arc<Owner>),
    /// The instance behind the client owns the partition or should own it.
    Peer(Arc<Client>),
    /// No instance is known to own the partition.
    Unknown,
}

/// Owners of the claim partitions at this instance, and clients of the owners at peers.
pub struct Claims {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    key: Key,
    owners: Mutex<BTreeMap<Partition, Arc<Owner>>>,
    /// Partitions that this instance should own and failed to take over at its last attempt.
    failed_takeovers: Mutex<BTreeSet<Partition>>,
    clients: Mutex<BTreeMap<SmolStr, Arc<Client>>>,
}

impl Claims {
    /// Creates the claims of an instance that owns no partition yet.
    pub fn new(shared: Arc<Shared>, peers: Arc<Peers>, store: Arc<dyn Store>, key: Key) -> Self {
        let (owners, failed_takeovers, clients) =
            (Mutex::default(), Mutex::default(), Mutex::default());
        Self { shared, peers, store, key, owners, failed_takeovers, clients }
    }

    /// Returns the epochs of the partitions that this instance owns, for heartbeats.
    pub fn epochs(&self) -> BTreeMap<Partition, u64> {
        let epoch =
            |(partition, owner): (&Partition, &Arc<Owner>)| Some((*partition, owner.epoch()?));
        lock(&self.owners).iter().filter_map(epoch).collect()
    }

    /// Returns the states of the partitions, for the dump.
    pub fn dump(&self) -> Vec<jaycrank_claim::owner::Dump> {
        lock(&self.owners).values().map(|owner| owner.dump()).collect()
    }

    /// Takes over and hands over partitions as the membership changes, until the task is aborted.
    pub async fn maintain(self: Arc<Self>) {
        let mut assigned_since = BTreeMap::new();
        let mut reclaimed_at = Instant::now();
        loop {
            let partitions = self.shared.active().config().policy().claim_partitions;
            for partition in 0..partitions {
                self.reconcile(partition, &mut assigned_since).await;
            }
            if reclaimed_at.elapsed() >= RECLAIM_INTERVAL {
                reclaimed_at = Instant::now();
                self.reclaim().await;
            }
            sleep(RECONCILE_INTERVAL).await;
        }
    }

    /// Deletes the segments of owned partitions whose requests have all expired.
    async fn reclaim(&self) {
        let owners: Vec<Arc<Owner>> = lock(&self.owners).values().cloned().collect();
        for owner in owners.into_iter().filter(|owner| owner.is_owner()) {
            // A failed deletion is repeated at the next interval, or by the next owner.
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
            self.handle_release(released.unwrap_or(Ok(())));
        }
    }

    /// Sends a heartbeat after a release, or logs that the release failed.
    fn handle_release(&self, released: jaycrank_claim::Result<()>) {
        match released {
            // The next owner waits for a heartbeat that no longer names the partition.
            // `NotOwner` means that the partition was taken over or handed over before.
            Ok(()) | Err(jaycrank_claim::Error::NotOwner) => self.shared.exchange().notify_peers(),
            Err(error) => {
                event!(Event::HandOverFailed, instance = self.shared.name(), error = error);
            }
        }
    }

    /// Takes over or releases a partition according to the assignment.
    ///
    /// `assigned_since` holds the times since which partitions are assigned to this instance.
    async fn reconcile(
        &self,
        partition: Partition,
        assigned_since: &mut BTreeMap<Partition, Instant>,
    ) {
        let owner = self.owner(partition);
        if self.assigned_instance(partition).as_ref() != Some(self.shared.name()) {
            assigned_since.remove(&partition);
            lock(&self.failed_takeovers).remove(&partition);
            if owner.is_owner() {
                self.handle_release(owner.release().await);
            }
            return;
        }
        let since = *assigned_since.entry(partition).or_insert_with(Instant::now);
        let may_be_owned =
            self.reported_owner(partition).is_some() || self.has_peer_without_report();
        let awaits_hand_over = may_be_owned && since.elapsed() < HAND_OVER_TIMEOUT;
        if owner.is_owner() || awaits_hand_over {
            return;
        }
        match owner.acquire().await {
            Ok(epoch) => {
                lock(&self.failed_takeovers).remove(&partition);
                let name = self.shared.name();
                event!(
                    Event::PartitionOwned,
                    instance = name,
                    partition = partition,
                    epoch = epoch
                );
                self.shared.exchange().notify_peers();
            }
            Err(error) => {
                lock(&self.failed_takeovers).insert(partition);
                event!(
                    Event::TakeoverFailed,
                    instance = self.shared.name(),
                    partition = partition,
                    error = error
                );
                sleep(RECONCILE_INTERVAL).await;
            }
        }
    }

    /// Returns the instance that should own a partition, by rendezvous hashing over the ready ones.
    fn assigned_instance(&self, partition: Partition) -> Option<SmolStr> {
        let ready = self.shared.exchange().membership().ready_instances(Instant::now().into_std());
        rendezvous::owner(&format_smolstr!("claims/{partition}"), &ready)
    }

    /// Returns the peer whose last heartbeat named the partition as owned. Of several, the one with
    /// the highest epoch is returned.
    fn reported_owner(&self, partition: Partition) -> Option<SmolStr> {
        let peers = self.shared.exchange().membership().live_or_leaving(Instant::now().into_std());
        let sections = self.peers.sections();
        let epoch = |name: &SmolStr| Some(*sections.get(name)?.epochs.get(&partition)?);
        let owners = peers.iter().filter(|name| *name != self.shared.name());
        let owners = owners.filter_map(|name| Some((epoch(name)?, name.clone())));
        owners.max().map(|(_, name)| name)
    }

    /// Returns whether a known peer has not yet reported which partitions it owns.
    ///
    /// An instance that has just started must not fence such a peer, because the requests that run
    /// there would end with an unknown outcome.
    fn has_peer_without_report(&self) -> bool {
        let peers = self.shared.exchange().membership().peers(Instant::now().into_std());
        let sections = self.peers.sections();
        peers.iter().any(|peer| match peer.liveness {
            Liveness::Unheard => true,
            Liveness::Live | Liveness::Leaving => !sections.contains_key(&peer.identity.name),
            Liveness::Suspected | Liveness::Left => false,
        })
    }

    /// Returns the local owner of a partition, created at the first call.
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

    /// Returns the destination for requests of a partition: its reported owner, or else the
    /// instance that should own it.
    fn route(&self, partition: Partition) -> Route {
        let own = self.owner(partition);
        if own.is_owner() {
            return Route::Local(own);
        }
        let name = self.reported_owner(partition).or_else(|| self.assigned_instance(partition));
        match name {
            Some(name) if &name == self.shared.name() => Route::Local(own),
            Some(name) => self.client(&name).map_or(Route::Unknown, Route::Peer),
            None => Route::Unknown,
        }
    }

    /// Returns the client of a peer, replaced if the address of the peer changed.
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
    /// Fails with a refusal whose category says whether the request may have run.
    pub async fn run(
        &self,
        member: &SmolStr,
        query: &Query,
        deadline: Instant,
    ) -> Result<Answer, Refusal> {
        let request_id = query.request_id.clone().unwrap_or_default();
        let partitions = self.shared.active().config().policy().claim_partitions;
        let partition = jaycrank_claim::partition(&request_id, partitions);
        let routed = RoutedRequest { query: query.clone(), attempt_id: rand::random() };
        let reroute_end = deadline.min(Instant::now() + REROUTE_TIMEOUT);
        loop {
            let outcome = match self.route(partition) {
                Route::Local(owner) if self.has_failed_takeover(&owner, partition) => {
                    Err(store_unavailable(query.attempt))
                }
                Route::Local(owner) => self.submit(&owner, &routed, deadline).await,
                Route::Peer(client) => {
                    self.send(&client, partition, member, &routed, deadline).await
                }
                Route::Unknown => Err(no_owner(query.attempt)),
            };
            match outcome {
                // The instance did not process the submission, so it can be sent to another one.
                Err(refusal)
                    if refusal.status == MISDIRECTED
                        && Instant::now() + REROUTE_DELAY < reroute_end =>
                {
                    sleep(REROUTE_DELAY).await;
                }
                Err(refusal) if refusal.status == MISDIRECTED => {
                    return Err(no_owner(query.attempt));
                }
                outcome => return outcome,
            }
        }
    }

    /// Runs a request that a peer sent to this instance as the owner of its partition.
    pub async fn serve(&self, claim: Claim) -> Outcome {
        let Ok(routed) = serde_json::from_slice::<RoutedRequest>(&claim.query.0) else {
            return misdirected();
        };
        let owner = self.owner(claim.partition);
        if self.has_failed_takeover(&owner, claim.partition) {
            let refusal = store_unavailable(routed.query.attempt);
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

    /// Returns whether a partition has no owner because this instance failed to take it over.
    fn has_failed_takeover(&self, owner: &Owner, partition: Partition) -> bool {
        !owner.is_owner() && lock(&self.failed_takeovers).contains(&partition)
    }

    /// Sends a request to the peer that owns its partition.
    async fn send(
        &self,
        client: &Client,
        partition: Partition,
        member: &SmolStr,
        routed: &RoutedRequest,
        deadline: Instant,
    ) -> Result<Answer, Refusal> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let query = serde_json::to_vec(routed).map_err(|error| {
            Refusal::not_run(500, "encoding", format!("the request can't be encoded: {error}"))
        })?;
        let deadline_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let query = Blob(Bytes::from(query));
        let claim = Claim { partition, member: member.clone(), deadline_ms, query };
        let outcome = match client.claim(&claim, time_left).await {
            Ok(outcome) => outcome,
            // The peer did not process the request, so it can be sent to another instance.
            Err(error) if error.is_not_run() => return Err(not_owner()),
            Err(error) => {
                let message = format!("the owner of the request did not answer: {error}");
                return Err(Refusal::may_have_run(504, "owner-lost", message));
            }
        };
        decode(&outcome)
    }

    /// Submits a request to the local owner of its partition.
    async fn submit(
        &self,
        owner: &Owner,
        routed: &RoutedRequest,
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
        let runner = Arc::new(Dispatch::new(self.shared.clone(), query, deadline));
        let verdict = owner.submit(submission, runner, deadline).await;
        self.answer(verdict)
    }

    /// Converts the verdict of an owner to the answer or refusal for the caller.
    fn answer(&self, verdict: Verdict) -> Result<Answer, Refusal> {
        match verdict {
            Verdict::Done { answer } => decode_answer(&answer),
            Verdict::Running => {
                let message = "the request is still running; retry it with a higher attempt";
                Err(Refusal::may_have_run(409, "running", message).with_retry_after_ms(50))
            }
            // A fenced owner never dispatches a claim whose write was still pending, and the next
            // owner reads the claim if it was written.
            Verdict::NotRun {
                reason: Reason::NotOwner | Reason::HandOver | Reason::Fenced,
                ..
            }
            | Verdict::MayHaveRun { reason: Reason::NotOwner | Reason::HandOver } => {
                Err(not_owner())
            }
            Verdict::NotRun { reason, retry_after } => {
                let retry_after = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                let message = format!("this submission was not run: {}", describe(&reason));
                let refusal = Refusal::not_run(503, <&str>::from(&reason), message);
                Err(refusal.with_retry_after_ms(retry_after.max(1)))
            }
            Verdict::MayHaveRun { reason } => {
                let message = format!("the request may have run: {}", describe(&reason));
                Err(Refusal::may_have_run(504, <&str>::from(&reason), message))
            }
            Verdict::Invalid { reason } => Err(invalid(reason)),
        }
    }
}

/// Encodes an answer or refusal as the outcome for the peer that sent the request.
fn encode<T: Serialize>(status: u16, message: &T) -> Outcome {
    // Answers and refusals are plain structs with string keys, which always serialize.
    let body = serde_json::to_vec(message).unwrap_or_default();
    Outcome { status, body: Blob(body.into()) }
}

/// Decodes the outcome that the owner of the request returned.
fn decode(outcome: &Outcome) -> Result<Answer, Refusal> {
    let malformed = |error: serde_json::Error| {
        let message = format!("the owner's reply can't be decoded: {error}");
        Refusal::may_have_run(504, "owner-reply", message)
    };
    match outcome.status {
        200 => serde_json::from_slice(&outcome.body.0).map_err(malformed),
        MISDIRECTED => Err(not_owner()),
        status => {
            let mut refusal: Refusal =
                serde_json::from_slice(&outcome.body.0).map_err(malformed)?;
            refusal.status = status;
            Err(refusal)
        }
    }
}

/// Creates the refusal of an instance that does not own the partition and did not process the
/// submission. It is handled by rerouting and never reaches the caller.
#[cold]
fn not_owner() -> Refusal {
    Refusal::not_run(MISDIRECTED, "not-owner", "another instance owns the partition of the request")
}

/// Creates the refusal of a request that reached no owner in time. This submission was not
/// processed, but an earlier attempt may have run.
#[cold]
fn no_owner(attempt: u32) -> Refusal {
    let message = "no instance owns the partition of the request";
    if attempt > 1 {
        return Refusal::may_have_run(504, "no-owner", message).with_retry_after_ms(250);
    }
    Refusal::not_run(503, "no-owner", message).with_retry_after_ms(250)
}

/// Creates the refusal of a request whose partition can't be taken over by the instance that should
/// own it. An earlier attempt may have run.
#[cold]
fn store_unavailable(attempt: u32) -> Refusal {
    let reason = <&str>::from(Reason::StoreUnavailable);
    let message =
        "no instance can take over the partition of the request while the store is unavailable";
    if attempt > 1 {
        return Refusal::may_have_run(504, reason, message).with_retry_after_ms(1_000);
    }
    Refusal::not_run(503, reason, message).with_retry_after_ms(1_000)
}

#[cold]
fn invalid(reason: InvalidSubmission) -> Refusal {
    let message = match reason {
        InvalidSubmission::RequestId => "request_id must have 1 to 256 bytes",
        InvalidSubmission::Attempt => "attempt must be 1 or more",
        InvalidSubmission::OtherBody => "request_id was already used with another service or body",
        InvalidSubmission::OtherExpiry => {
            "request_id was already used with another expires_unix_ms"
        }
        InvalidSubmission::Expired => "expires_unix_ms has passed",
        InvalidSubmission::ExpiryTooFar => "expires_unix_ms must be at most 24 hours ahead",
    };
    Refusal::invalid(400, <&str>::from(reason), message)
}

/// Returns the cause of a reason, or else its name in words.
fn describe(reason: &Reason) -> String {
    match reason {
        Reason::NotSent(cause) | Reason::Unknown(cause) => cause.to_string(),
        reason => <&str>::from(reason).replace('-', " "),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
