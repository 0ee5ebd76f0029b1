//! Planned restarts under load while the list of leafs is out of date: first of all instances, one
//! at a time, then of all leafs, one replica of each group at a time.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use jaycrank::local::LocalTier;
use jaycrank::local::TierOptions;
use jaycrank_backend::wire;
use jaycrank_caller::Client;
use jaycrank_caller::Query;
use jaycrank_caller::client::Error;
use jaycrank_caller::wire::Category;
use jaycrank_platform::Entry;
use jaycrank_platform::list;
use jaycrank_settings::Rank;
use jaycrank_standin::deployment::Shape;
use jaycrank_standin::leaf::Leaf;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::value::RawValue;
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::outcome::Figures;
use crate::outcome::Measurement;
use crate::tier;

const INSTANCES: usize = 9;
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Low enough for the remaining capacity: with one replica of each group restarting and another
/// that the outdated list still shows as leaving, a third of 600 queries/s is left.
const CALLS_PER_S: f64 = 120.0;

/// One call in this many is a non-idempotent request.
const NON_IDEMPOTENT_EVERY: usize = 4;

const DEADLINE: Duration = Duration::from_secs(2);

/// Delay after which a change of the list becomes visible.
const LIST_DELAY: Duration = Duration::from_secs(10);

/// Time between two readiness checks of an instance by the load balancer, and their timeout.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after the restart of an instance.
const PAUSE_AFTER_RESTART: Duration = Duration::from_millis(300);

/// Time for which a draining leaf first accepts new work, and for which it then refuses it. Twice
/// this time exceeds the target for `new_work_after_leave_s`, so that a miss is visible.
const DRAIN_PHASE: Duration = Duration::from_millis(2_500);

/// Maximum further wait for a draining leaf to become idle.
const IDLE_WAIT_MAX: Duration = Duration::from_secs(3);

/// Time for which a leaf, or a killed instance, is down.
const DOWNTIME: Duration = Duration::from_millis(500);

/// Time for which a restarted leaf is cold.
const COLD_DURATION: Duration = Duration::from_millis(1_500);

/// Factor on the service times of a cold leaf.
const COLD_SLOWDOWN: f64 = 3.0;

/// Time between two reads of a leaf's count of received requests.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(10);

const BASELINE_POLICY: &str = "instances and leafs are stopped at once, without draining";

/// A call: its body, which identifies it at the leafs, and its error, if it failed.
#[derive(Clone, Debug)]
struct Call {
    body: Bytes,
    error: Option<Error>,
}

/// State that the tasks of one run share.
struct Trial {
    local: LocalTier,
    graceful: bool,
    /// Last observed readiness by instance.
    ready: Vec<AtomicBool>,
    calls: Mutex<Vec<Call>>,
    /// Longest time after the listing of a leaf as leaving at which it got new work.
    new_work_after_leave_s: Mutex<f64>,
    /// Number of leafs that were stopped with requests in flight.
    leafs_stopped_busy: Mutex<f64>,
    load_ended: AtomicBool,
}

impl Trial {
    /// Polls the readiness of one instance, as a load balancer does.
    async fn track_readiness(&self, instance: usize) {
        let http = jaycrank_http::Client::new(self.local.operator_addresses()[instance]);
        loop {
            let request = Request::get("/readyz").header("host", "jaycrank");
            let ready = match request.body(Full::default()) {
                Ok(request) => http.call(request, READINESS_CHECK_INTERVAL).await,
                Err(_) => return,
            };
            let ready = ready.is_ok_and(|reply| reply.status() == 200);
            self.ready[instance].store(ready, Ordering::Relaxed);
            sleep(READINESS_CHECK_INTERVAL).await;
        }
    }

    /// Sends calls with Poisson arrivals to random ready instances until `load_ended` is set.
    async fn load(self: Arc<Self>, seed: u64) {
        let clients: Vec<Arc<Client>> = self
            .local
            .caller_addresses()
            .iter()
            .map(|address| Arc::new(Client::new(*address, self.local.member_token())))
            .collect();
        let mut random = StdRng::seed_from_u64(seed);
        let (start, mut at) = (Instant::now(), 0.0);
        let mut calls = JoinSet::new();
        for number in 0.. {
            at += -(1.0 - random.random::<f64>()).ln() / CALLS_PER_S;
            tokio::time::sleep_until(start + Duration::from_secs_f64(at)).await;
            if self.load_ended.load(Ordering::Relaxed) {
                break;
            }
            let ready: Vec<usize> = (0..INSTANCES)
                .filter(|instance| self.ready[*instance].load(Ordering::Relaxed))
                .collect();
            if ready.is_empty() {
                continue;
            }
            let client = clients[ready[random.random_range(0..ready.len())]].clone();
            let trial = self.clone();
            calls.spawn(async move { trial.call(&client, number).await });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    async fn call(&self, client: &Client, number: usize) {
        let text = format!("{{\"n\":{number}}}");
        let body =
            RawValue::from_string(text.clone()).unwrap_or_else(|_| RawValue::NULL.to_owned());
        let request_id = number.is_multiple_of(NON_IDEMPOTENT_EVERY).then(|| text.as_str().into());
        let query = Query {
            service: tier::SERVICE.into(),
            rank: <&'static str>::from(Rank::Urgent).into(),
            deadline_ms: DEADLINE.as_millis() as u64,
            body,
            request_id,
            attempt: 1,
            expires_unix_ms: None,
            key: None,
        };
        let error = client.query(&query).await.err();
        lock(&self.calls).push(Call { body: text.into(), error });
    }

    async fn restart_instances(&self) -> io::Result<()> {
        for instance in 0..INSTANCES {
            match self.graceful {
                true => self.local.stop(instance).await,
                false => {
                    self.local.kill(instance).await;
                    sleep(DOWNTIME).await;
                }
            }
            self.local.restart(instance).await?;
            sleep(PAUSE_AFTER_RESTART).await;
        }
        Ok(())
    }

    /// Restarts the leafs, one replica of every group at a time.
    async fn restart_leafs(self: &Arc<Self>) -> io::Result<()> {
        let leafs = self.local.services()[tier::SERVICE].groups();
        let replicas = leafs.values().map(Vec::len).max().unwrap_or(0);
        for replica in 0..replicas {
            let mut restarts = JoinSet::new();
            for leafs in leafs.values() {
                let (trial, leaf) = (self.clone(), leafs[replica].clone());
                restarts.spawn(async move { trial.restart_leaf(&leaf).await });
            }
            while let Some(result) = restarts.join_next().await {
                result??;
            }
        }
        Ok(())
    }

    /// Lists a leaf as leaving, drains it if the run is graceful, and restarts it cold.
    async fn restart_leaf(&self, leaf: &Leaf) -> io::Result<()> {
        self.local.list().set(list_entry(leaf, list::State::Leaving));
        if self.graceful {
            leaf.update(|behavior| {
                behavior.state = wire::State::Draining;
                behavior.refuses_draining = false;
            });
            let left_at = Instant::now();
            let (mut received, mut last_new_work) = (leaf.counts().received(), Duration::ZERO);
            while left_at.elapsed() < DRAIN_PHASE * 2
                || (leaf.in_flight() > 0 && left_at.elapsed() < DRAIN_PHASE * 2 + IDLE_WAIT_MAX)
            {
                if left_at.elapsed() >= DRAIN_PHASE {
                    leaf.update(|behavior| behavior.refuses_draining = true);
                }
                sleep(OBSERVE_INTERVAL).await;
                let now = leaf.counts().received();
                if now > received {
                    (received, last_new_work) = (now, left_at.elapsed());
                }
            }
            let mut new_work_after_leave_s = lock(&self.new_work_after_leave_s);
            *new_work_after_leave_s = new_work_after_leave_s.max(last_new_work.as_secs_f64());
            drop(new_work_after_leave_s);
            *lock(&self.leafs_stopped_busy) += f64::from(u8::from(leaf.in_flight() > 0));
        }
        leaf.stop().await;
        sleep(DOWNTIME).await;
        leaf.update(|behavior| {
            behavior.state = wire::State::Cold;
            behavior.slowdown = COLD_SLOWDOWN;
        });
        leaf.restart().await?;
        self.local.list().set(list_entry(leaf, list::State::Live));
        sleep(COLD_DURATION).await;
        leaf.update(|behavior| {
            behavior.state = wire::State::Ok;
            behavior.slowdown = 1.0;
        });
        Ok(())
    }

    /// Returns the number of runs of each non-idempotent request over all leafs, by its body.
    /// Leafs don't record the bodies of other calls.
    fn runs_by_body(&self) -> BTreeMap<Bytes, u64> {
        let mut counts = BTreeMap::new();
        for leaf in self.local.services()[tier::SERVICE].leafs() {
            for (body, count) in leaf.runs_by_body() {
                *counts.entry(body).or_default() += count;
            }
        }
        counts
    }

    fn figures(&self) -> Figures {
        let (calls, runs_by_body) = (lock(&self.calls), self.runs_by_body());
        let count =
            |is: &dyn Fn(&Call) -> bool| calls.iter().filter(|call| is(call)).count() as f64;
        let is_cut = |call: &Call| matches!(call.error, Some(Error::Lost(_) | Error::NotSent(_)));
        let is_refused_as = |call: &Call, category: Category| {
            matches!(
                &call.error,
                Some(error @ Error::Refused(_)) if error.category() == category
            )
        };
        let has_run = |call: &Call| runs_by_body.contains_key(&call.body);
        let mut figures = Figures::from([
            ("calls", calls.len() as f64),
            ("answered", count(&|call| call.error.is_none())),
            ("cut_requests", count(&is_cut)),
            ("not_run", count(&|call| is_refused_as(call, Category::NotRun))),
            ("may_have_run", count(&|call| is_refused_as(call, Category::MayHaveRun))),
            (
                "wrong_not_run",
                count(&|call| is_refused_as(call, Category::NotRun) && has_run(call)),
            ),
            ("double_runs", runs_by_body.values().filter(|count| **count > 1).count() as f64),
        ]);
        if self.graceful {
            figures.insert("new_work_after_leave_s", *lock(&self.new_work_after_leave_s));
            figures.insert("leafs_stopped_busy", *lock(&self.leafs_stopped_busy));
        }
        figures
    }

    /// Prints the number of failed calls by error to standard error.
    fn print_errors(&self) {
        let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
        for error in lock(&self.calls).iter().filter_map(|call| call.error.as_ref()) {
            *reasons.entry(error.to_string()).or_default() += 1;
        }
        for (reason, count) in reasons {
            eprintln!("shutdown (graceful: {}): {count} calls failed: {reason}", self.graceful);
        }
    }
}

async fn measure(graceful: bool, seed: u64) -> io::Result<Figures> {
    let tier_options = TierOptions {
        instances: INSTANCES,
        service_time: SERVICE_TIME,
        seed,
        services: Shape::find(tier::SERVICE).into_iter().collect(),
        grace: Duration::from_secs(5),
        ..TierOptions::default()
    };
    let local = LocalTier::start(&tier_options).await?;
    for leaf in local.services()[tier::SERVICE].leafs() {
        local.list().set(list_entry(leaf, list::State::Live));
    }
    local.list().set_lag(LIST_DELAY);
    let trial = Arc::new(Trial {
        local,
        graceful,
        ready: (0..INSTANCES).map(|_| AtomicBool::new(true)).collect(),
        calls: Mutex::default(),
        new_work_after_leave_s: Mutex::default(),
        leafs_stopped_busy: Mutex::default(),
        load_ended: AtomicBool::new(false),
    });
    let mut balancers = JoinSet::new();
    for instance in 0..INSTANCES {
        let trial = trial.clone();
        balancers.spawn(async move { trial.track_readiness(instance).await });
    }
    let load = tokio::spawn(trial.clone().load(seed));
    sleep(tier::WARM_UP).await;
    trial.restart_instances().await?;
    trial.restart_leafs().await?;
    sleep(tier::WARM_UP).await;
    trial.load_ended.store(true, Ordering::Relaxed);
    load.await?;
    balancers.shutdown().await;
    trial.print_errors();
    let figures = trial.figures();
    if let Some(trial) = Arc::into_inner(trial) {
        trial.local.shutdown().await;
    }
    Ok(figures)
}

fn list_entry(leaf: &Leaf, state: list::State) -> Entry {
    Entry {
        name: leaf.name().clone(),
        kind: list::Kind::Leaf,
        address: leaf.address(),
        failure_domain: SmolStr::new_static("local"),
        region: SmolStr::new_static("local"),
        state,
    }
}

/// Measures restarts without and with graceful shutdown at the same time.
pub fn run(seed: u64) -> io::Result<Measurement> {
    let runs = async {
        let baseline = tokio::spawn(measure(false, seed));
        let product = tokio::spawn(measure(true, seed));
        Ok((baseline.await??, product.await??))
    };
    let ((baseline, mut figures), cpu_cores) = tier::block_on(runs)?;
    figures.insert("cpu_cores", cpu_cores);
    Ok(Measurement { figures, baseline, baseline_policy: BASELINE_POLICY, plots: Vec::new() })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
