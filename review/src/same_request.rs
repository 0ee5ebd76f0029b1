//! A request that is the same each time is refused for a minute after some of its answers were lost.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::client;
use crate::client::Ended;
use crate::deployment;
use crate::deployment::STABILITY_WINDOW_MS;
use crate::leaf::Leaf;
use crate::machine::Fleet;
use crate::machine::Machine;
use crate::machine::Seeds;
use crate::record::Record;
use crate::store::Store;

/// Service of the route.
const SERVICE: &str = "quote-desk-3";
/// Another copy of the service, whose leafs don't fail: half of all leafs do.
const OTHER_COPY: &str = "quote-desk-4";
/// Work of a request.
const WORK_MS: u64 = 90;
/// Pause between two requests of each machine's clients.
const REQUEST_PAUSE: Duration = Duration::from_millis(850);
/// Rounds of requests before the final fault and after it.
const ROUNDS_BEFORE: u32 = 8;
const ROUNDS_AFTER: u32 = 50;
/// Time for which all processes are down.
const DOWNTIME: Duration = Duration::from_secs(1);
/// Leafs of each copy, and the share of requests that those of the first one fail.
const LEAFS: usize = 3;
const FAILED_PERCENT: u64 = 60;
/// Rounds of requests during which they fail: less than 9 s.
const FAILED_ROUNDS: u32 = 7;
/// Bound of the settings: time after which requests must be served again.
const RECOVERY_MS: u64 = 12_000;

/// Milliseconds at which a request was sent, and its end.
type Sent = (u64, JoinHandle<Ended>);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let leafs: Vec<Leaf> = (1..=LEAFS)
        .map(|number| deployment::leaf(&format!("i-4c1a07{number:02}"), SERVICE, WORK_MS, record))
        .collect();
    let config = |version: u64, timeout_ms: u64| {
        let route = deployment::route("check", "/check/", "safe", timeout_ms, SERVICE);
        deployment::config(version, &[route], &[SERVICE, OTHER_COPY])
    };
    store.put("config", "main", &config(7, 6_000));
    let others: Vec<Leaf> = (1..=LEAFS)
        .map(|number| {
            deployment::leaf(&format!("i-91bd33{number:02}"), OTHER_COPY, WORK_MS, record)
        })
        .collect();
    for leaf in leafs.iter().chain(&others) {
        store.put("servers", leaf.id(), &leaf.entry("ready", 1));
    }
    let mut fleet = Fleet::start(store.address());
    if !fleet.wait_until_ready() {
        return Outcome::NotRun("the machines did not become ready".to_owned());
    }
    sleep(Duration::from_millis(STABILITY_WINDOW_MS + 1_000));

    let mut before = Vec::new();
    for round in 0..ROUNDS_BEFORE {
        send(&mut before, record, &fleet, round);
        sleep(REQUEST_PAUSE);
    }
    store.put("config", "main", &config(8, 5_500));
    if trouble {
        record.line("final fault: all processes are killed");
        fleet.machines.iter_mut().for_each(Machine::kill);
        sleep(DOWNTIME);
        fleet.write_settings(Seeds::Present, false);
        fleet.machines.iter_mut().for_each(Machine::start);
    }
    let back_ms = record.now_ms();
    if !fleet.wait_until_ready() {
        return Outcome::NotRun("the machines did not become ready again".to_owned());
    }
    let mut after = Vec::new();
    for round in 0..ROUNDS_AFTER {
        let percent = if trouble && round < FAILED_ROUNDS { FAILED_PERCENT } else { 0 };
        if round == 0 || round == FAILED_ROUNDS {
            record.line(&format!("{SERVICE}: {percent}% of the requests fail from now on"));
        }
        leafs.iter().for_each(|leaf| leaf.set_dropped_percent(percent));
        send(&mut after, record, &fleet, ROUNDS_BEFORE + round);
        sleep(REQUEST_PAUSE);
    }
    after.retain(|(sent_ms, _)| *sent_ms > back_ms + RECOVERY_MS);
    let (sent_before, sent_after) = (before.len(), after.len());
    let (served_before, served_after) = (count_served(before), count_served(after));
    record.line(&format!(
        "served before the final fault: {served_before} of {sent_before}; of the requests sent later \
         than {RECOVERY_MS} ms after the machines were back: {served_after} of {sent_after}"
    ));
    if 4 * served_before < sent_before {
        return Outcome::NotRun("too few requests were served before".to_owned());
    }
    if 4 * served_after < sent_after { Outcome::Broken } else { Outcome::Held }
}

/// Sends the request to each machine. Path and body are the same each time, the id is not.
fn send(sent: &mut Vec<Sent>, record: &Arc<Record>, fleet: &Fleet, round: u32) {
    for (index, machine) in fleet.machines.iter().enumerate() {
        let id = format!("{:016x}", 0x3a7c_0000 + u64::from(round) * 16 + index as u64);
        let deadline = Duration::from_secs(6);
        let path = "/check/roll-6ft";
        let answer = client::send(record, machine.front, "GET", path, &id, deadline);
        sent.push((record.now_ms(), answer));
        sleep(REQUEST_PAUSE / 10);
    }
}

fn count_served(sent: Vec<Sent>) -> usize {
    let answers = sent.into_iter().filter_map(|(_, answer)| answer.join().ok());
    answers
        .filter(|(_, answer)| answer.as_ref().is_some_and(|answer| answer.status() == 200))
        .count()
}
