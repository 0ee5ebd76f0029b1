//! Settings: racing operators edit through different instances of a store that loses replies,
//! returns stale values and fails right after acceptances.

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
use crate::outcome::Measured;
use crate::outcome::Plot;
use crate::outcome::Series;
use crate::tier;

const INSTANCES: usize = 9;
const OPERATORS: usize = 4;
const EDITS: usize = 200;

/// Branches that the operators race for.
const PATHS: usize = 6;

/// Accepted edits after which the store fails at once.
const OUTAGES: [usize; 5] = [30, 70, 110, 150, 190];

/// Length of an outage, longer than the target for the time to be in force.
const OUTAGE: Duration = Duration::from_secs(3);

/// An edit accepted this long before an outage, or during it, counts as one of the outage.
const BEFORE_OUTAGE: Duration = Duration::from_millis(100);

/// Pause of an operator after an accepted edit.
const PAUSE: Duration = Duration::from_millis(80);

/// Pause before an edit is sent again.
const RESEND: Duration = Duration::from_millis(50);

/// Time between two reads of an instance's revision.
const OBSERVE: Duration = Duration::from_millis(10);

/// Time between two reads of the store by an instance of the baseline.
const POLL: Duration = Duration::from_secs(1);

/// Longest wait for the last edit to be in force.
const SETTLE: Duration = Duration::from_secs(10);

const TEAM: &str = "platform";

const POLLING: &str = "each instance polls the store once a second and takes what it reads";

/// An edit that an operator was told is accepted.
struct Accepted {
    id: SmolStr,
    path: SmolStr,
    value: Value,
    revision: u64,
    at: Instant,
}

/// Revisions of one instance and when they were first seen.
#[derive(Clone, Default)]
struct Track {
    steps: Vec<(Instant, u64)>,
    reverts: u64,
}

impl Track {
    fn see(&mut self, revision: u64) {
        let last = self.steps.last().map_or(0, |(_, revision)| *revision);
        self.reverts += u64::from(revision < last);
        if revision != last {
            self.steps.push((Instant::now(), revision));
        }
    }

    /// Seconds from an acceptance until the revision was seen; infinite if it never was.
    fn delay_s(&self, accepted: &Accepted) -> f64 {
        let step = self.steps.iter().find(|(_, revision)| *revision >= accepted.revision);
        step.map_or(f64::INFINITY, |(at, _)| {
            at.saturating_duration_since(accepted.at).as_secs_f64()
        })
    }
}

/// What the tasks of the run share.
struct Run {
    local: LocalTier,
    tokens: Vec<String>,
    accepted: Mutex<Vec<Accepted>>,
    refused: Mutex<BTreeSet<SmolStr>>,
    resent: Mutex<u64>,
    outages: Mutex<Vec<Instant>>,
    tracks: Vec<Mutex<Track>>,
    polled: Vec<Mutex<Track>>,
    /// Edits in the log by revision, collected because the log is bounded.
    log: Mutex<BTreeMap<u64, SmolStr>>,
}

impl Run {
    fn client(&self, instance: usize, operator: usize) -> Client {
        Client::new(self.local.operator_addresses()[instance], self.tokens[operator].as_str())
    }

    fn accept(&self, accepted: Accepted) {
        let mut all = lock(&self.accepted);
        all.push(accepted);
        if OUTAGES.contains(&all.len()) {
            let mut outages = lock(&self.outages);
            self.local.store().update_fault(|fault| fault.outage = true);
            outages.push(Instant::now());
        }
    }

    /// Ends each outage after its time.
    async fn end_outages(&self) {
        loop {
            self.update_outage();
            sleep(OBSERVE).await;
        }
    }

    fn update_outage(&self) {
        // The lock is held, so that an outage that begins now is not ended.
        let outages = lock(&self.outages);
        let outage = outages.last().is_some_and(|started| started.elapsed() < OUTAGE);
        self.local.store().update_fault(|fault| fault.outage = outage);
    }

    async fn collect_log(&self) {
        loop {
            self.read_log();
            sleep(OBSERVE).await;
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

    async fn observe(&self, instance: usize) {
        let client = self.client(instance, 0);
        loop {
            if let Ok(status) = client.status().await {
                lock(&self.tracks[instance]).see(status.revision);
            }
            sleep(OBSERVE).await;
        }
    }

    /// Polls the store as an instance of the baseline does.
    async fn poll(&self, instance: usize) {
        sleep(POLL * instance as u32 / INSTANCES as u32).await;
        loop {
            if let Ok(Some(head)) = self.local.store().get(HEAD_KEY).await {
                let head: Value = serde_json::from_slice(&head.value).unwrap_or_default();
                let revision = head["revision"].as_u64().unwrap_or_default();
                lock(&self.polled[instance]).see(revision);
            }
            sleep(POLL).await;
        }
    }

    /// Edits as one operator until its share of the edits is accepted.
    async fn operate(&self, operator: usize, seed: u64) -> io::Result<()> {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) + operator as u64);
        let clients: Vec<Client> =
            (0..INSTANCES).map(|instance| self.client(instance, operator)).collect();
        for number in 0..EDITS / OPERATORS {
            let mut tries = 0;
            loop {
                tries += 1;
                let path = format_smolstr!("members/racer-{}", random.random_range(0..PATHS));
                let tree = clients[random.random_range(0..INSTANCES)].config().await;
                let tree = tree.map_err(io::Error::other)?;
                let base = tree.branch(&path).map_or(0, |branch| branch.revision());
                let weight = 1.0 + (operator * 1_000 + number) as f64 / 1_000.0;
                let put = EditRequest {
                    id: format_smolstr!("edit-{operator}-{number}-{tries}"),
                    base,
                    owner: Some(TEAM.into()),
                    value: Some(json!({ "weight": weight, "tokens": [] })),
                };
                if self.settle(&clients, &path, &put, &mut random).await? {
                    break;
                }
            }
            sleep(PAUSE).await;
        }
        Ok(())
    }

    /// Sends an edit until it is known whether it was accepted.
    async fn settle(
        &self,
        clients: &[Client],
        path: &SmolStr,
        put: &EditRequest,
        random: &mut StdRng,
    ) -> io::Result<bool> {
        loop {
            let client = &clients[random.random_range(0..INSTANCES)];
            match client.put(path, put).await {
                Ok(accepted) => {
                    self.accept(Accepted {
                        id: put.id.clone(),
                        path: path.clone(),
                        value: put.value.clone().unwrap_or_default(),
                        revision: accepted.revision,
                        at: Instant::now(),
                    });
                    return Ok(true);
                }
                Err(Error::Refused(refusal)) if refusal.conflict.is_some() => {
                    lock(&self.refused).insert(put.id.clone());
                    return Ok(false);
                }
                Err(error) if error.category() == Category::Invalid => {
                    return Err(io::Error::other(error));
                }
                Err(_) => *lock(&self.resent) += 1,
            }
            sleep(RESEND).await;
        }
    }

    fn last_revision(&self) -> u64 {
        lock(&self.accepted).iter().map(|accepted| accepted.revision).max().unwrap_or(0)
    }

    /// Waits until all instances report the last accepted revision, or until the time is over.
    async fn settled(&self) {
        let (start, last) = (Instant::now(), self.last_revision());
        let reports = |track: &Mutex<Track>| {
            lock(track).steps.last().is_some_and(|(_, revision)| *revision >= last)
        };
        while start.elapsed() < SETTLE && !self.tracks.iter().chain(&self.polled).all(reports) {
            sleep(OBSERVE).await;
        }
    }

    /// Accepted edits that are not in the log, and branches that hold another value at an
    /// instance than that of the last accepted edit.
    async fn lost(&self) -> io::Result<f64> {
        let mut last: BTreeMap<SmolStr, (u64, Value)> = BTreeMap::new();
        let mut lost = 0;
        for accepted in lock(&self.accepted).iter() {
            let logged = lock(&self.log).get(&accepted.revision) == Some(&accepted.id);
            lost += usize::from(!logged);
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

    /// Edits that the log holds more than once.
    fn double_applied(&self) -> f64 {
        let log = lock(&self.log);
        let ids: BTreeSet<&SmolStr> = log.values().collect();
        (log.len() - ids.len()) as f64
    }

    /// Edits that were refused as conflicting and are in the log.
    fn refused_applied(&self) -> f64 {
        let refused = lock(&self.refused);
        lock(&self.log).values().filter(|id| refused.contains(*id)).count() as f64
    }

    /// Seconds until each edit was in force at all instances, those of outages apart.
    fn delays(&self, tracks: &[Mutex<Track>]) -> (Vec<f64>, Vec<f64>) {
        let tracks: Vec<Track> = tracks.iter().map(|track| lock(track).clone()).collect();
        let outages = lock(&self.outages).clone();
        let (mut calm, mut outage) = (Vec::new(), Vec::new());
        for accepted in lock(&self.accepted).iter() {
            let delay = tracks.iter().map(|track| track.delay_s(accepted)).fold(0.0, f64::max);
            let is_in = |start: &Instant| {
                accepted.at + BEFORE_OUTAGE >= *start && accepted.at <= *start + OUTAGE
            };
            let kind = if outages.iter().any(is_in) { &mut outage } else { &mut calm };
            kind.push(delay);
        }
        (calm, outage)
    }
}

/// Starts the tier and creates the operators.
async fn start(seed: u64) -> io::Result<Run> {
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
        let value = json!({ "teams": [TEAM], "tokens": [token::digest(operator_token)] });
        let id = format_smolstr!("operator-{number}");
        let put = EditRequest { id, base: 0, owner: Some(TEAM.into()), value: Some(value) };
        let path = format!("operators/racing-{number}");
        last = admin.put(&path, &put).await.map_err(io::Error::other)?.revision;
    }
    for address in local.operator_addresses() {
        let client = Client::new(*address, local.operator_token());
        while client.status().await.map_err(io::Error::other)?.revision < last {
            sleep(OBSERVE).await;
        }
    }
    let tracks = || (0..INSTANCES).map(|_| Mutex::default()).collect();
    Ok(Run {
        local,
        tokens,
        accepted: Mutex::default(),
        refused: Mutex::default(),
        resent: Mutex::default(),
        outages: Mutex::default(),
        tracks: tracks(),
        polled: tracks(),
        log: Mutex::default(),
    })
}

async fn measure(seed: u64) -> io::Result<Measured> {
    let run = Arc::new(start(seed).await?);
    run.local.store().set_fault(store::Fault {
        read_delay: Duration::from_millis(2),
        write_delay: Duration::from_millis(4),
        lost_reply_fraction: 0.1,
        stale_read_fraction: 0.1,
        ..store::Fault::default()
    });
    let mut observers = JoinSet::new();
    for instance in 0..INSTANCES {
        let (observer, poller) = (run.clone(), run.clone());
        observers.spawn(async move { observer.observe(instance).await });
        observers.spawn(async move { poller.poll(instance).await });
    }
    let (ender, reader) = (run.clone(), run.clone());
    observers.spawn(async move { ender.end_outages().await });
    observers.spawn(async move { reader.collect_log().await });
    let (begun, writes, reads) = (Instant::now(), writes(&run), reads(&run));
    let mut operators = JoinSet::new();
    for operator in 0..OPERATORS {
        let run = run.clone();
        operators.spawn(async move { run.operate(operator, seed).await });
    }
    while let Some(result) = operators.join_next().await {
        result??;
    }
    let seconds = begun.elapsed().as_secs_f64();
    let (writes, reads) = (self::writes(&run) - writes, self::reads(&run) - reads);
    run.settled().await;
    observers.shutdown().await;
    run.local.store().set_fault(store::Fault::default());
    run.read_log();
    let measured = figures(&run, seconds, writes, reads).await?;
    if let Some(run) = Arc::into_inner(run) {
        run.local.shutdown().await;
    }
    Ok(measured)
}

async fn figures(run: &Run, seconds: f64, writes: f64, reads: f64) -> io::Result<Measured> {
    let (calm, outage) = run.delays(&run.tracks);
    let (polled_calm, polled_outage) = run.delays(&run.polled);
    let figures = Figures::from([
        ("lost_edits", run.lost().await?),
        ("reverts", reverts(&run.tracks)),
        ("double_applied", run.double_applied()),
        ("refused_applied", run.refused_applied()),
        ("in_force_p100_s", largest(&calm)),
        ("in_force_in_outage_p100_s", largest(&outage)),
        ("accepted", (calm.len() + outage.len()) as f64),
        ("accepted_in_outage", outage.len() as f64),
        ("conflicts", lock(&run.refused).len() as f64),
        ("resent", *lock(&run.resent) as f64),
        ("store_writes_per_s", writes / seconds),
        ("store_reads_per_s", reads / seconds),
    ]);
    let baseline = Figures::from([
        ("reverts", reverts(&run.polled)),
        ("in_force_p100_s", largest(&polled_calm)),
        ("in_force_in_outage_p100_s", largest(&polled_outage)),
    ]);
    let series = |name: &str, delays: &[f64]| Series {
        name: name.into(),
        points: sorted(delays).into_iter().enumerate().map(|(x, y)| (x as f64, y)).collect(),
    };
    let plot = Plot {
        title: "config: time until an edit is in force".into(),
        x: "edits, by time",
        y: "s",
        series: vec![
            series("polling", &polled_calm),
            series("product", &calm),
            series("product, store outage", &outage),
        ],
    };
    Ok(Measured { figures, baseline, baseline_policy: POLLING, plots: vec![plot] })
}

/// Measures the product and, on the same edits, instances that only poll the store.
pub fn run(seed: u64) -> io::Result<Measured> {
    let (mut measured, cpu_cores) = tier::block_on(measure(seed))?;
    measured.figures.insert("cpu_cores", cpu_cores);
    Ok(measured)
}

fn writes(run: &Run) -> f64 {
    run.local.store().calls().writes() as f64
}

fn reads(run: &Run) -> f64 {
    run.local.store().calls().reads() as f64
}

fn reverts(tracks: &[Mutex<Track>]) -> f64 {
    tracks.iter().map(|track| lock(track).reverts).sum::<u64>() as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn sorted(values: &[f64]) -> Vec<f64> {
    let mut values: Vec<f64> = values.iter().copied().filter(|value| value.is_finite()).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
