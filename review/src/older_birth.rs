//! A leaf that started again under its id after its clock was set back drains, and stays in use.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Outcome;
use crate::client;
use crate::deployment;
use crate::deployment::DRAIN_MS;
use crate::deployment::STABILITY_WINDOW_MS;
use crate::leaf::Leaf;
use crate::machine::Fleet;
use crate::record::Record;
use crate::store::Store;

/// Service of the route.
const SERVICE: &str = "reorder-lists";
/// Work of a request.
const WORK_MS: u64 = 90;
/// Pause between two requests of each machine's clients.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Milliseconds by which the clock of the leaf's machine is ahead at its first start.
const CLOCK_STEP_MS: u64 = 2_400;
/// Time from the first start of the leaf to its crash; its clock is right again by then.
const UPTIME: Duration = Duration::from_millis(600);
/// Time for which the leaf is down.
const DOWNTIME: Duration = Duration::from_millis(1_000);
/// Time for which the leaf serves after it has reported that it drains.
const DRAINING_TIME: Duration = Duration::from_secs(9);
/// Interval at which the leaf looks whether it has started again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let others: Vec<Leaf> = (1..=7)
        .map(|number| deployment::leaf(&format!("i-4c1a07e{number}"), SERVICE, WORK_MS, record))
        .collect();
    let route = deployment::route("scan", "/scan/", "safe", 6_000, SERVICE);
    store.put("config", "main", &deployment::config(7, &[route], &[SERVICE]));
    for leaf in &others {
        store.put("servers", leaf.id(), &leaf.entry("ready", 1));
    }
    let fleet = Fleet::start(store.address());
    if !fleet.wait_until_ready() {
        return Outcome::NotRun("the machines did not become ready".to_owned());
    }
    sleep(Duration::from_millis(STABILITY_WINDOW_MS + 1_000));

    let step_ms = if trouble { CLOCK_STEP_MS } else { 0 };
    record.line(&format!("clock_step: the clock of the next leaf's machine is {step_ms} ms ahead"));
    let leaf = deployment::leaf("i-7f3a91c2", SERVICE, WORK_MS, record);
    store.put("servers", leaf.id(), &leaf.entry_born("ready", 1, unix_ms() + step_ms));
    sleep(UPTIME);
    record.line("clock_step: the clock of the leaf's machine is right again");
    leaf.crash(DOWNTIME);
    while leaf.restarts() == 0 {
        sleep(POLL_INTERVAL);
    }
    let born_ms = unix_ms();
    store.put("servers", leaf.id(), &leaf.entry_born("ready", 1, born_ms));
    sleep(Duration::from_millis(STABILITY_WINDOW_MS + 1_000));

    let before = leaf.arrivals().len();
    let mut answers = Vec::new();
    let mut drained_at = 0;
    let requests = (DRAINING_TIME.as_millis() / REQUEST_PAUSE.as_millis()) as u32;
    for number in 0..requests {
        if number == 10 {
            drained_at = store.put("servers", leaf.id(), &leaf.entry_born("draining", 6, born_ms));
        }
        for (index, machine) in fleet.machines.iter().enumerate() {
            let id = format!("{:016x}", 0x3a7c_0000 + u64::from(number) * 16 + index as u64);
            let path = format!("/scan/{number}");
            let deadline = Duration::from_secs(6);
            answers.push(client::send(record, machine.front, "GET", &path, &id, deadline));
        }
        sleep(REQUEST_PAUSE);
    }
    answers.into_iter().for_each(|answer| _ = answer.join());
    let arrivals = leaf.arrivals().split_off(before);
    let is_late = |at_ms: u64| at_ms > drained_at + DRAIN_MS;
    let late: Vec<u64> =
        arrivals.iter().map(|arrival| arrival.at_ms).filter(|at_ms| is_late(*at_ms)).collect();
    record.line(&format!(
        "of {} requests that reached {}, {} did so later than {DRAIN_MS} ms after its draining was \
         acknowledged, the last one after {} ms",
        arrivals.len(),
        leaf.id(),
        late.len(),
        late.iter().max().map_or(0, |at_ms| at_ms - drained_at)
    ));
    match (arrivals.is_empty(), late.is_empty()) {
        (true, _) => Outcome::NotRun("no request reached the leaf before it drained".to_owned()),
        (false, true) => Outcome::Held,
        (false, false) => Outcome::Broken,
    }
}
