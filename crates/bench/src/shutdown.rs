//! Planned stops: all instances and then all leafs restart one after the other under load, while
//! the instance list lags.

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
use crate::outcome::Measured;
use crate::tier;

const INSTANCES: usize = 9;
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Calls a second; with one replica of each group restarting and one listed as leaving by the
/// lagging list, a third of the capacity of 600 queries/s is left.
const RATE: f64 = 120.0;

/// Every so many calls is a non-idempotent request.
const NON_IDEMPOTENT: usize = 4;

const DEADLINE: Duration = Duration::from_secs(2);

/// Time by which the instance list lags.
const LAG: Duration = Duration::from_secs(10);

/// Time between two checks of an instance's readiness by the balancer.
const CHECK: Duration = Duration::from_millis(250);

/// Pause after an instance has started again.
const INSTANCE_PAUSE: Duration = Duration::from_millis(300);

/// Time for which a draining leaf still takes work, and for which it then refuses work. Together
/// they are longer than the target for the last new work, so that a miss shows.
const DRAINING: Duration = Duration::from_millis(2_500);

/// Longest wait for a draining leaf to be idle.
const IDLE_MAX: Duration = Duration::from_secs(3);

/// Time that a leaf is down, and that it is cold afterwards.
const DOWN: Duration = Duration::from_millis(500);
const COLD: Duration = Duration::from_millis(1_500);

/// Factor on the service times of a cold leaf.
const COLD_SLOWDOWN: f64 = 3.0;

/// Time between two reads of a leaf's count of requests.
const OBSERVE: Duration = Duration::from_millis(10);

const KILLED: &str = "instances and leafs are stopped at once, without draining";

/// How a call ended, with what a leaf may have done.
#[derive(Clone, Debug)]
struct Call {
    body: Bytes,
    error: Option<Error>,
}

/// What the tasks of a run share.
struct Run {
    local: LocalTier,
    graceful: bool,
    ready: Vec<AtomicBool>,
    calls: Mutex<Vec<Call>>,
    new_work: Mutex<f64>,
    stopped_busy: Mutex<f64>,
    ended: AtomicBool,
}

impl Run {
    /// Watches the readiness of one instance, as the balancer does.
    async fn balance(&self, instance: usize) {
        let http = jaycrank_http::Client::new(self.local.operator_addresses()[instance]);
        loop {
            let request = Request::get("/readyz").header("host", "jaycrank");
            let ready = match request.body(Full::default()) {
                Ok(request) => http.call(request, CHECK).await,
                Err(_) => return,
            };
            let ready = ready.is_ok_and(|reply| reply.status() == 200);
            self.ready[instance].store(ready, Ordering::Relaxed);
            sleep(CHECK).await;
        }
    }

    /// Sends calls at random times to instances that are ready.
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
            at += -(1.0 - random.random::<f64>()).ln() / RATE;
            tokio::time::sleep_until(start + Duration::from_secs_f64(at)).await;
            if self.ended.load(Ordering::Relaxed) {
                break;
            }
            let ready: Vec<usize> =
                (0..INSTANCES).filter(|one| self.ready[*one].load(Ordering::Relaxed)).collect();
            if ready.is_empty() {
                continue;
            }
            let client = clients[ready[random.random_range(0..ready.len())]].clone();
            let run = self.clone();
            calls.spawn(async move { run.call(&client, number).await });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    async fn call(&self, client: &Client, number: usize) {
        let text = format!("{{\"n\":{number}}}");
        let body =
            RawValue::from_string(text.clone()).unwrap_or_else(|_| RawValue::NULL.to_owned());
        let request_id = number.is_multiple_of(NON_IDEMPOTENT).then(|| text.as_str().into());
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
                    sleep(DOWN).await;
                }
            }
            self.local.restart(instance).await?;
            sleep(INSTANCE_PAUSE).await;
        }
        Ok(())
    }

    /// Restarts one replica of every group at a time.
    async fn restart_leafs(self: &Arc<Self>) -> io::Result<()> {
        let leafs = self.local.services()[tier::SERVICE].groups();
        let replicas = leafs.values().map(Vec::len).max().unwrap_or(0);
        for replica in 0..replicas {
            let mut restarts = JoinSet::new();
            for leafs in leafs.values() {
                let (run, leaf) = (self.clone(), leafs[replica].clone());
                restarts.spawn(async move { run.restart_leaf(&leaf).await });
            }
            while let Some(result) = restarts.join_next().await {
                result??;
            }
        }
        Ok(())
    }

    async fn restart_leaf(&self, leaf: &Leaf) -> io::Result<()> {
        self.local.list().set(entry(leaf, list::State::Leaving));
        if self.graceful {
            leaf.update(|behavior| {
                behavior.state = wire::State::Draining;
                behavior.refuses_draining = false;
            });
            let begun = Instant::now();
            let (mut received, mut last) = (leaf.counts().received(), Duration::ZERO);
            while begun.elapsed() < DRAINING * 2
                || (leaf.in_flight() > 0 && begun.elapsed() < DRAINING * 2 + IDLE_MAX)
            {
                if begun.elapsed() >= DRAINING {
                    leaf.update(|behavior| behavior.refuses_draining = true);
                }
                sleep(OBSERVE).await;
                let now = leaf.counts().received();
                if now > received {
                    (received, last) = (now, begun.elapsed());
                }
            }
            let mut new_work = lock(&self.new_work);
            *new_work = new_work.max(last.as_secs_f64());
            drop(new_work);
            *lock(&self.stopped_busy) += f64::from(u8::from(leaf.in_flight() > 0));
        }
        leaf.stop().await;
        sleep(DOWN).await;
        leaf.update(|behavior| {
            behavior.state = wire::State::Cold;
            behavior.slowdown = COLD_SLOWDOWN;
        });
        leaf.restart().await?;
        self.local.list().set(entry(leaf, list::State::Live));
        sleep(COLD).await;
        leaf.update(|behavior| {
            behavior.state = wire::State::Ok;
            behavior.slowdown = 1.0;
        });
        Ok(())
    }

    /// Runs of each non-idempotent request over all leafs.
    fn runs(&self) -> BTreeMap<Bytes, u64> {
        let mut runs = BTreeMap::new();
        for leaf in self.local.services()[tier::SERVICE].leafs() {
            for (body, count) in leaf.runs_by_body() {
                *runs.entry(body).or_default() += count;
            }
        }
        runs
    }

    fn figures(&self) -> Figures {
        let (calls, runs) = (lock(&self.calls), self.runs());
        let count =
            |is: &dyn Fn(&Call) -> bool| calls.iter().filter(|call| is(call)).count() as f64;
        let is_broken =
            |call: &Call| matches!(call.error, Some(Error::Lost(_) | Error::NotSent(_)));
        let is = |call: &Call, category: Category| matches!(&call.error, Some(error @ Error::Refused(_)) if error.category() == category);
        let was_run = |call: &Call| runs.contains_key(&call.body);
        let mut figures = Figures::from([
            ("calls", calls.len() as f64),
            ("answered", count(&|call| call.error.is_none())),
            ("cut_requests", count(&is_broken)),
            ("not_run", count(&|call| is(call, Category::NotRun))),
            ("may_have_run", count(&|call| is(call, Category::MayHaveRun))),
            ("wrong_not_run", count(&|call| is(call, Category::NotRun) && was_run(call))),
            ("double_runs", runs.values().filter(|count| **count > 1).count() as f64),
        ]);
        if self.graceful {
            figures.insert("new_work_after_leave_s", *lock(&self.new_work));
            figures.insert("leafs_stopped_busy", *lock(&self.stopped_busy));
        }
        figures
    }

    /// Numbers of refusals by reason, to standard error.
    fn explain(&self) {
        let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
        for error in lock(&self.calls).iter().filter_map(|call| call.error.as_ref()) {
            *reasons.entry(error.to_string()).or_default() += 1;
        }
        for (reason, count) in reasons {
            eprintln!("restarts (graceful: {}): {count} times: {reason}", self.graceful);
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
        local.list().set(entry(leaf, list::State::Live));
    }
    local.list().set_lag(LAG);
    let run = Arc::new(Run {
        local,
        graceful,
        ready: (0..INSTANCES).map(|_| AtomicBool::new(true)).collect(),
        calls: Mutex::default(),
        new_work: Mutex::default(),
        stopped_busy: Mutex::default(),
        ended: AtomicBool::new(false),
    });
    let mut balancers = JoinSet::new();
    for instance in 0..INSTANCES {
        let run = run.clone();
        balancers.spawn(async move { run.balance(instance).await });
    }
    let load = tokio::spawn(run.clone().load(seed));
    sleep(tier::WARM_UP).await;
    run.restart_instances().await?;
    run.restart_leafs().await?;
    sleep(tier::WARM_UP).await;
    run.ended.store(true, Ordering::Relaxed);
    load.await?;
    balancers.shutdown().await;
    run.explain();
    let figures = run.figures();
    if let Some(run) = Arc::into_inner(run) {
        run.local.shutdown().await;
    }
    Ok(figures)
}

fn entry(leaf: &Leaf, state: list::State) -> Entry {
    Entry {
        name: leaf.name().clone(),
        kind: list::Kind::Leaf,
        address: leaf.address(),
        failure_domain: SmolStr::new_static("local"),
        region: SmolStr::new_static("local"),
        state,
    }
}

/// Measures stops at once and graceful stops, at the same time.
pub fn run(seed: u64) -> io::Result<Measured> {
    let runs = async {
        let baseline = tokio::spawn(measure(false, seed));
        let product = tokio::spawn(measure(true, seed));
        Ok((baseline.await??, product.await??))
    };
    let ((baseline, mut figures), cpu_cores) = tier::block_on(runs)?;
    figures.insert("cpu_cores", cpu_cores);
    Ok(Measured { figures, baseline, baseline_policy: KILLED, plots: Vec::new() })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
