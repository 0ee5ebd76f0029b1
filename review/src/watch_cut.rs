//! Watches that are cut off keep a leaf that is gone in use.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::client;
use crate::deployment;
use crate::deployment::DRAIN_MS;
use crate::deployment::STABILITY_WINDOW_MS;
use crate::machine::Fleet;
use crate::record::Record;
use crate::store::Store;

/// Work of a request.
const WORK_MS: u64 = 90;
/// Pause between two requests of each machine's clients.
const REQUEST_PAUSE: Duration = Duration::from_millis(200);
/// Number of requests to each machine, the one at which the entry is removed, and the one a second
/// later at which the watches are cut off.
const REQUESTS: u32 = 60;
const REMOVED_AT: u32 = 10;
const CUT_AT: u32 = REMOVED_AT + 5;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let leaf = deployment::leaf("i-4c1a07e2", "crew-sheets", WORK_MS, record);
    let route = deployment::route("scan", "/scan/", "safe", 6_000, "crew-sheets");
    store.put("config", "main", &deployment::config(7, &[route], &["crew-sheets"]));
    store.put("servers", leaf.id(), &leaf.entry("ready", 1));
    let fleet = Fleet::start(store.address());
    if !fleet.wait_until_ready() {
        return Outcome::NotRun("the machines did not become ready".to_owned());
    }
    sleep(Duration::from_millis(STABILITY_WINDOW_MS + 1_000));
    let mut removed_at = 0;
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        if number == REMOVED_AT {
            removed_at = store.delete("servers", leaf.id());
        }
        if number == CUT_AT && trouble {
            store.cut_watches();
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
    let arrivals = leaf.arrivals();
    let late: Vec<u64> = arrivals
        .iter()
        .filter(|arrival| arrival.at_ms > removed_at + DRAIN_MS)
        .map(|arrival| arrival.at_ms - removed_at)
        .collect();
    record.line(&format!(
        "{} requests reached {} later than {DRAIN_MS} ms after its removal was acknowledged, the \
         last one after {} ms",
        late.len(),
        leaf.id(),
        late.iter().max().copied().unwrap_or_default()
    ));
    if late.is_empty() { Outcome::Held } else { Outcome::Broken }
}
