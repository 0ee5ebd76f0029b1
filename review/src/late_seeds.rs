//! Machines that started with outdated seeds never find each other, and each one spends the whole
//! budget of extra requests.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::client;
use crate::deployment;
use crate::leaf::Arrival;
use crate::leaf::Leaf;
use crate::machine::Fleet;
use crate::machine::Machine;
use crate::machine::Seeds;
use crate::record::Record;
use crate::store::Store;

/// Service of the route.
const SERVICE: &str = "quote-desk-3";
/// Another copy of the service, whose leafs reject nothing: half of all leafs do.
const OTHER_COPY: &str = "quote-desk-4";
/// Work of a request.
const WORK_MS: u64 = 11;
/// Pause between two requests of each machine's clients.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Time after which the settings files name the machines that are there.
const SEED_LAG: Duration = Duration::from_secs(2);
/// Number of requests to each machine: in all, and before the leafs reject some.
const REQUESTS: u32 = 540;
const REJECTED_FROM: u32 = 400;
/// Number of requests to each machine while the leafs reject some: less than 9 s.
const REJECTED_FOR: u32 = 85;
/// Leafs of each copy, and the share of requests that those of the first one reject.
const LEAFS: usize = 3;
const REJECTED_PERCENT: u64 = 60;
/// Bounds of the settings: window, ratio and fixed part of the budget of extra requests.
const BUDGET_WINDOW_MS: u64 = 10_000;
const RETRY_BUDGET_RATIO: f64 = 0.2;
const BUDGET_SLACK: f64 = 58.0;
/// Step by which the window slides.
const WINDOW_STEP_MS: u64 = 250;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let leafs: Vec<Leaf> = (1..=LEAFS)
        .map(|number| deployment::leaf(&format!("i-4c1a07e{number}"), SERVICE, WORK_MS, record))
        .collect();
    let route = deployment::route("check", "/check/", "safe", 2_000, SERVICE);
    store.put("config", "main", &deployment::config(7, &[route], &[SERVICE, OTHER_COPY]));
    let others: Vec<Leaf> = (1..=LEAFS)
        .map(|number| deployment::leaf(&format!("i-91bd33f{number}"), OTHER_COPY, WORK_MS, record))
        .collect();
    for leaf in leafs.iter().chain(&others) {
        store.put("servers", leaf.id(), &leaf.entry("ready", 1));
    }
    let seeds = if trouble { Seeds::Removed } else { Seeds::Present };
    let fleet = Fleet::start_with(store.address(), seeds, false);
    sleep(SEED_LAG);
    fleet.write_settings(Seeds::Present, false);
    fleet.machines.iter().for_each(Machine::hang_up);
    record.line("the settings of all machines name the present seeds; SIGHUP");
    if !fleet.wait_until_ready() {
        return Outcome::NotRun("the machines did not become ready".to_owned());
    }
    sleep(Duration::from_secs(5));

    let mut sent_ms = Vec::new();
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let percent = match number.checked_sub(REJECTED_FROM) {
            Some(passed) if passed < REJECTED_FOR => REJECTED_PERCENT,
            _ => 0,
        };
        leafs.iter().for_each(|leaf| leaf.set_rejected_percent(percent));
        for (index, machine) in fleet.machines.iter().enumerate() {
            let id = format!("{:016x}", 0x3a7c_0000 + u64::from(number) * 16 + index as u64);
            let path = format!("/check/{number}");
            sent_ms.push(record.now_ms());
            let deadline = Duration::from_secs(2);
            answers.push(client::send(record, machine.front, "GET", &path, &id, deadline));
        }
        sleep(REQUEST_PAUSE);
    }
    answers.into_iter().for_each(|answer| _ = answer.join());

    let mut arrivals: Vec<Arrival> = leafs.iter().flat_map(Leaf::arrivals).collect();
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    let mut known = BTreeSet::new();
    let extra_ms: Vec<u64> = arrivals
        .iter()
        .filter(|arrival| !known.insert(arrival.id.clone()))
        .map(|arrival| arrival.at_ms)
        .collect();
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|at| (from..from + BUDGET_WINDOW_MS).contains(at)).count()
    };
    let mut worst = (f64::MIN, String::new());
    for from in (0..record.now_ms()).step_by(WINDOW_STEP_MS as usize) {
        let extra = count(&extra_ms, from);
        let starts = [0, BUDGET_WINDOW_MS / 2, BUDGET_WINDOW_MS];
        let requests = starts.iter().map(|back| count(&sent_ms, from.saturating_sub(*back)));
        let requests = requests.max().unwrap_or(0);
        let allowed = RETRY_BUDGET_RATIO * requests as f64 + BUDGET_SLACK;
        let excess = extra as f64 - allowed;
        if excess > worst.0 {
            let text = format!("{extra} extra arrivals, {requests} requests, {allowed} allowed");
            worst = (excess, format!("the window from {from} ms: {text}"));
        }
    }
    record.line(&worst.1);
    if worst.0 > 0.0 { Outcome::Broken } else { Outcome::Held }
}
