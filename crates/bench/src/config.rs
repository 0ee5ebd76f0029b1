//! Settings: operators edit the same branches concurrently, through different instances, while the
//! store loses replies, returns stale values and fails right after accepted edits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use jaycrank::ledger::HEAD_KEY;
use jaycrank::local::LocalTier;
use jaycrank::local::TierOptions;
use jaycrank::token;
use jaycrank_operator::Client;
use jaycrank_operator::client::Error;
use jaycrank_operator::wire::Category;
use jaycrank_operator::wire::EditRequest;
use jaycrank_platform::Store as _;
use jaycrank_standin::deployment::Shape;
use jaycrank_standin::store;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::outcome::Plot;
use crate::outcome::Series;
use crate::tier;

const INSTANCES: usize = 9;
const OPERATORS: usize = 4;
const EDITS: usize = 200;

/// Number of branches that the operators edit concurrently.
const CONTENDED_BRANCHES: usize = 6;

/// Numbers of accepted edits directly after which the store fails.
const OUTAGE_AFTER_EDITS: [usize; 5] = [30, 70, 110, 150, 190];

/// Duration of an outage, longer than the targets for the time until an edit is in force.
const OUTAGE_DURATION: Duration = Duration::from_secs(3);

/// Edits accepted during an outage, or this long before it, are reported as edits of the outage.
const OUTAGE_LEAD: Duration = Duration::from_millis(100);

/// Pause of an operator after an accepted edit.
const PAUSE_AFTER_EDIT: Duration = Duration::from_millis(80);

/// Pause before an edit with an unknown outcome is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(50);

/// Time between two reads of an instance's revision.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two reads of the store by an instance of the baseline.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait for the last edit to be in force.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

const OWNING_TEAM: &str = "platform";

const BASELINE_POLICY: &str = "each instance polls the store once a second and takes what it reads";

/// Edit whose acceptance was reported to its operator.
struct Accepted {
    id: SmolStr,
    path: SmolStr,
    value: Value,
    revision: u64,
    at: Instant,
}

/// Revisions of one instance, each with the time at which it was first seen, and how often the
/// revision fell.
#[derive(Clone, Default)]
struct RevisionHistory {
    first_seen: Vec<(Instant, u64)>,
    reverts: u64,
}

impl RevisionHistory {
    fn record(&mut self, revision: u64) {
        let last = self.first_seen.last().map_or(0, |(_, revision)| *revision);
        self.reverts += u64::from(revision < last);
        if revision != last {
            self.first_seen.push((Instant::now(), revision));
        }
    }

    /// Returns the seconds from the acceptance of an edit until its revision or a later one was
    /// seen, or infinity if that never happened.
    fn delay_s(&self, accepted: &Accepted) -> f64 {
        let seen = self.first_seen.iter().find(|(_, revision)| *revision >= accepted.revision);
        seen.map_or(f64::INFINITY, |(at, _)| {
            at.saturating_duration_since(accepted.at).as_secs_f64()
        })
    }
}

/// State that the tasks of the scenario share.
struct Trial {
    local: LocalTier,
    tokens: Vec<String>,
    accepted: Mutex<Vec<Accepted>>,
    /// Ids of the edits that were refused because of a conflict.
    conflicts: Mutex<BTreeSet<SmolStr>>,
    resent: Mutex<u64>,
    outages: Mutex<Vec<Instant>>,
    /// Revisions in force by instance.
    histories: Vec<Mutex<RevisionHistory>>,
    /// Revisions that the polling instances of the baseline read.
    baseline_histories: Vec<Mutex<RevisionHistory>>,
    /// Ids of the edits in the stored log by revision, collected continuously because that log is
    /// bounded.
    log: Mutex<BTreeMap<u64, SmolStr>>,
}

impl Trial {
    fn client(&self, instance: usize, operator: usize) -> Client {
        Client::new(self.local.operator_addresses()[instance], self.tokens[operator].as_str())
    }

    /// Records an accepted edit and starts an outage after those in `OUTAGE_AFTER_EDITS`.
    fn record_accepted(&self, accepted: Accepted) {
        let mut all = lock(&self.accepted);
        all.push(accepted);
        if OUTAGE_AFTER_EDITS.contains(&all.len()) {
            let mut outages = lock(&self.outages);
            self.local.store().update_fault(|fault| fault.outage = true);
            outages.push(Instant::now());
        }
    }

    /// Ends each outage after [`OUTAGE_DURATION`].
    async fn end_outages(&self) {
        loop {
            self.apply_outage_state();
            sleep(OBSERVE_INTERVAL).await;
        }
    }

    fn apply_outage_state(&self) {
        // The lock is held so that an outage that starts concurrently is not ended at once.
        let outages = lock(&self.outages);
        let outage = outages.last().is_some_and(|started| started.elapsed() < OUTAGE_DURATION);
        self.local.store().update_fault(|fault| fault.outage = outage);
    }

    async fn collect_log(&self) {
        loop {
            self.read_log();
            sleep(OBSERVE_INTERVAL).await;
        }
    }

    fn read_log(&self) {
        let head = self.local.store().peek(HEAD_KEY).map(|object| object.value).unwrap_or_default();
        let head: Value = serde_json::from_slice(&head).unwrap_or_default();
        let mut log = lock(&self.log);
        for entry in head["log"].as_array().into_iter().flatten() {
            let id = entry["id"].as_str().unwrap_or_default();
            log.insert(entry["revision"].as_u64().unwrap_or_default(), id.into());
        }
    }

    /// Records the revision in force at an instance.
    async fn observe(&self, instance: usize) {
        let client = self.client(instance, 0);
        loop {
            if let Ok(status) = client.status().await {
                lock(&self.histories[instance]).record(status.revision);
            }
            sleep(OBSERVE_INTERVAL).await;
        }
    }

    /// Polls the store as an instance of the baseline does, and records the revision read.
    async fn poll(&self, instance: usize) {
        sleep(POLL_INTERVAL * instance as u32 / INSTANCES as u32).await;
        loop {
            if let Ok(Some(head)) = self.local.store().get(HEAD_KEY).await {
                let head: Value = serde_json::from_slice(&head.value).unwrap_or_default();
                let revision = head["revision"].as_u64().unwrap_or_default();
                lock(&self.baseline_histories[instance]).record(revision);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends edits as one operator until its share of the edits is accepted.
    async fn run_operator(&self, operator: usize, seed: u64) -> io::Result<()> {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) + operator as u64);
        let clients: Vec<Client> =
            (0..INSTANCES).map(|instance| self.client(instance, operator)).collect();
        for number in 0..EDITS / OPERATORS {
            let mut tries = 0;
            loop {
                tries += 1;
                let path =
                    format_smolstr!("members/racer-{}", random.random_range(0..CONTENDED_BRANCHES));
                let tree = clients[random.random_range(0..INSTANCES)].config().await;
                let tree = tree.map_err(io::Error::other)?;
                let base = tree.branch(&path).map_or(0, |branch| branch.revision());
                let weight = 1.0 + (operator * 1_000 + number) as f64 / 1_000.0;
                let edit = EditRequest {
                    id: format_smolstr!("edit-{operator}-{number}-{tries}"),
                    base,
                    owner: Some(OWNING_TEAM.into()),
                    value: Some(json!({ "weight": weight, "tokens": [] })),
                };
                if self.send_until_known(&clients, &path, &edit, &mut random).await? {
                    break;
                }
            }
            sleep(PAUSE_AFTER_EDIT).await;
        }
        Ok(())
    }

    /// Sends an edit repeatedly until its outcome is known, and returns whether it was accepted.
    async fn send_until_known(
        &self,
        clients: &[Client],
        path: &SmolStr,
        edit: &EditRequest,
        random: &mut StdRng,
    ) -> io::Result<bool> {
        loop {
            let client = &clients[random.random_range(0..INSTANCES)];
            match client.put(path, edit).await {
                Ok(accepted) => {
                    self.record_accepted(Accepted {
                        id: edit.id.clone(),
                        path: path.clone(),
                        value: edit.value.clone().unwrap_or_default(),
                        revision: accepted.revision,
                        at: Instant::now(),
                    });
                    return Ok(true);
                }
                Err(Error::Refused(refusal)) if refusal.conflict.is_some() => {
                    lock(&self.conflicts).insert(edit.id.clone());
                    return Ok(false);
                }
                Err(error) if error.category() == Category::Invalid => {
                    return Err(io::Error::other(error));
                }
                Err(_) => *lock(&self.resent) += 1,
            }
            sleep(RESEND_DELAY).await;
        }
    }

    fn last_revision(&self) -> u64 {
        lock(&self.accepted).iter().map(|accepted| accepted.revision).max().unwrap_or(0)
    }

    /// Waits until all instances report the last accepted revision, at most [`SETTLE_TIMEOUT`].
    async fn wait_until_in_force(&self) {
        let (start, last) = (Instant::now(), self.last_revision());
        let is_current = |history: &Mutex<RevisionHistory>| {
            lock(history).first_seen.last().is_some_and(|(_, revision)| *revision >= last)
        };
        while start.elapsed() < SETTLE_TIMEOUT
            && !self.histories.iter().chain(&self.baseline_histories).all(is_current)
        {
            sleep(OBSERVE_INTERVAL).await;
        }
    }

    /// Counts the accepted edits that are not in the log, and the branches whose value at an
    /// instance differs from that of the last accepted edit.
    async fn count_lost_edits(&self) -> io::Result<f64> {
        let mut last: BTreeMap<SmolStr, (u64, Value)> = BTreeMap::new();
        let mut lost = 0;
        for accepted in lock(&self.accepted).iter() {
            let is_logged = lock(&self.log).get(&accepted.revision) == Some(&accepted.id);
            lost += usize::from(!is_logged);
            let current = last.entry(accepted.path.clone()).or_default();
            if accepted.revision > current.0 {
                *current = (accepted.revision, accepted.value.clone());
            }
        }
        for instance in 0..INSTANCES {
            let tree = self.client(instance, 0).config().await.map_err(io::Error::other)?;
            let differs = |(path, (revision, value)): (&SmolStr, &(u64, Value))| {
                tree.branch(path)
                    .is_none_or(|branch| branch.revision() != *revision || branch.value() != value)
            };
            lost += last.iter().filter(|entry| differs(*entry)).count();
        }
        Ok(lost as f64)
    }

    /// Counts the repeated entries of edits in the log.
    fn double_applied(&self) -> f64 {
        let log = lock(&self.log);
        let ids: BTreeSet<&SmolStr> = log.values().collect();
        (log.len() - ids.len()) as f64
    }

    /// Counts the edits in the log that were refused because of a conflict.
    fn refused_applied(&self) -> f64 {
        let conflicts = lock(&self.conflicts);
        lock(&self.log).values().filter(|id| conflicts.contains(*id)).count() as f64
    }

    /// Returns the seconds until each edit was in force at all instances: first for the edits
    /// outside outages, then for those of outages.
    fn delays(&self, histories: &[Mutex<RevisionHistory>]) -> (Vec<f64>, Vec<f64>) {
        let histories: Vec<RevisionHistory> =
            histories.iter().map(|history| lock(history).clone()).collect();
        let outages = lock(&self.outages).clone();
        let (mut normal, mut outage) = (Vec::new(), Vec::new());
        for accepted in lock(&self.accepted).iter() {
            let delay =
                histories.iter().map(|history| history.delay_s(accepted)).fold(0.0, f64::max);
            let is_during = |start: &Instant| {
                accepted.at + OUTAGE_LEAD >= *start && accepted.at <= *start + OUTAGE_DURATION
            };
            let delays = if outages.iter().any(is_during) { &mut outage } else { &mut normal };
            delays.push(delay);
        }
        (normal, outage)
    }
}

/// Starts the tier and creates the operators.
async fn start(seed: u64) -> io::Result<Trial> {
    let tier_options = TierOptions {
        instances: INSTANCES,
        seed,
        services: Shape::find("crew-sheets").into_iter().collect(),
        grace: Duration::from_secs(2),
        ..TierOptions::default()
    };
    let local = LocalTier::start(&tier_options).await?;
    let admin = Client::new(local.operator_addresses()[0], local.operator_token());
    let tokens: Vec<String> = (0..OPERATORS).map(|_| token::random()).collect();
    let mut last = 0;
    for (number, operator_token) in tokens.iter().enumerate() {
        let value = json!({ "teams": [OWNING_TEAM], "tokens": [token::digest(operator_token)] });
        let id = format_smolstr!("operator-{number}");
        let edit = EditRequest { id, base: 0, owner: Some(OWNING_TEAM.into()), value: Some(value) };
        let path = format!("operators/racing-{number}");
        last = admin.put(&path, &edit).await.map_err(io::Error::other)?.revision;
    }
    for address in local.operator_addresses() {
        let client = Client::new(*address, local.operator_token());
        while client.status().await.map_err(io::Error::other)?.revision < last {
            sleep(OBSERVE_INTERVAL).await;
        }
    }
    let histories = || (0..INSTANCES).map(|_| Mutex::default()).collect();
    Ok(Trial {
        local,
        tokens,
        accepted: Mutex::default(),
        conflicts: Mutex::default(),
        resent: Mutex::default(),
        outages: Mutex::default(),
        histories: histories(),
        baseline_histories: histories(),
        log: Mutex::default(),
    })
}

async fn measure(seed: u64) -> io::Result<Measurement> {
    let trial = Arc::new(start(seed).await?);
    trial.local.store().set_fault(store::Fault {
        read_delay: Duration::from_millis(2),
        write_delay: Duration::from_millis(4),
        lost_reply_fraction: 0.1,
        stale_read_fraction: 0.1,
        ..store::Fault::default()
    });
    let mut observers = JoinSet::new();
    for instance in 0..INSTANCES {
        let (observer, poller) = (trial.clone(), trial.clone());
        observers.spawn(async move { observer.observe(instance).await });
        observers.spawn(async move { poller.poll(instance).await });
    }
    let (outage_ender, log_reader) = (trial.clone(), trial.clone());
    observers.spawn(async move { outage_ender.end_outages().await });
    observers.spawn(async move { log_reader.collect_log().await });
    let (load_start, store_writes, store_reads) =
        (Instant::now(), store_writes(&trial), store_reads(&trial));
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let trial = trial.clone();
        operators.spawn(async move { trial.run_operator(operator, seed).await });
    }
    while let Some(result) = operators.join_next().await {
        result??;
    }
    let seconds = load_start.elapsed().as_secs_f64();
    let (store_writes, store_reads) =
        (self::store_writes(&trial) - store_writes, self::store_reads(&trial) - store_reads);
    trial.wait_until_in_force().await;
    observers.shutdown().await;
    trial.local.store().set_fault(store::Fault::default());
    trial.read_log();
    let measured = figures(&trial, seconds, store_writes, store_reads).await?;
    if let Some(trial) = Arc::into_inner(trial) {
        trial.local.shutdown().await;
    }
    Ok(measured)
}

async fn figures(trial: &Trial, seconds: f64, writes: f64, reads: f64) -> io::Result<Measurement> {
    let (normal, outage) = trial.delays(&trial.histories);
    let (baseline_normal, baseline_outage) = trial.delays(&trial.baseline_histories);
    let figures = Figures::from([
        ("lost_edits", trial.count_lost_edits().await?),
        ("reverts", reverts(&trial.histories)),
        ("double_applied", trial.double_applied()),
        ("refused_applied", trial.refused_applied()),
        ("in_force_p100_s", maximum(&normal)),
        ("in_force_in_outage_p100_s", maximum(&outage)),
        ("accepted", (normal.len() + outage.len()) as f64),
        ("accepted_in_outage", outage.len() as f64),
        ("conflicts", lock(&trial.conflicts).len() as f64),
        ("resent", *lock(&trial.resent) as f64),
        ("store_writes_per_s", writes / seconds),
        ("store_reads_per_s", reads / seconds),
    ]);
    let baseline = Figures::from([
        ("reverts", reverts(&trial.baseline_histories)),
        ("in_force_p100_s", maximum(&baseline_normal)),
        ("in_force_in_outage_p100_s", maximum(&baseline_outage)),
    ]);
    let series = |name: &str, delays: &[f64]| Series {
        name: name.into(),
        points: sorted_finite(delays).into_iter().enumerate().map(|(x, y)| (x as f64, y)).collect(),
    };
    let plot = Plot {
        title: "config: time until an edit is in force".into(),
        x: "edits, by time",
        y: "s",
        series: vec![
            series("polling", &baseline_normal),
            series("product", &normal),
            series("product, store outage", &outage),
        ],
    };
    Ok(Measurement { figures, baseline, baseline_policy: BASELINE_POLICY, plots: vec![plot] })
}

/// Measures the product and, with the same edits, a baseline whose instances only poll the store.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let (mut measured, cpu_cores) = tier::block_on(measure(seed))?;
    measured.figures.insert("cpu_cores", cpu_cores);
    Ok(measured)
}

fn store_writes(trial: &Trial) -> f64 {
    trial.local.store().calls().writes() as f64
}

fn store_reads(trial: &Trial) -> f64 {
    trial.local.store().calls().reads() as f64
}

fn reverts(histories: &[Mutex<RevisionHistory>]) -> f64 {
    histories.iter().map(|history| lock(history).reverts).sum::<u64>() as f64
}

fn maximum(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn sorted_finite(values: &[f64]) -> Vec<f64> {
    let mut values: Vec<f64> = values.iter().copied().filter(|value| value.is_finite()).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
