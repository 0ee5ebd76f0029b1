//! An entry of another writer that can't be read hides the changes of all other entries.

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
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Entry of another writer. The escape of a single surrogate is text in JSON, but no character: a
/// byte that is no UTF-8 is often written so.
const UNREADABLE: &str = "{\"service\":\"\\udce9\",\"state\":\"ready\"}";

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let leafs: Vec<_> = ["i-4c1a07e2", "i-91bd33f0"]
        .iter()
        .map(|id| deployment::leaf(id, "reorder-lists", WORK_MS, record))
        .collect();
    let route = deployment::route("scan", "/scan/", "safe", 6_000, "reorder-lists");
    store.put("config", "main", &deployment::config(7, &[route], &["reorder-lists"]));
    leafs.iter().for_each(|leaf| _ = store.put("servers", leaf.id(), &leaf.entry("ready", 1)));
    let fleet = Fleet::start(store.address());
    if !fleet.wait_until_ready() {
        return Outcome::NotRun("the machines did not become ready".to_owned());
    }
    sleep(Duration::from_millis(STABILITY_WINDOW_MS + 1_000));
    if trouble {
        store.put("servers", "other-writer", UNREADABLE);
    }
    let mut drained_at = 0;
    let mut answers = Vec::new();
    for number in 0..120_u32 {
        if number == 20 {
            drained_at = store.put("servers", leafs[0].id(), &leafs[0].entry("draining", 2));
        }
        for (index, machine) in fleet.machines.iter().enumerate() {
            let id = format!("{:016x}", 0x0e7e_0000 + u64::from(number) * 16 + index as u64);
            let path = format!("/scan/{number}");
            let deadline = Duration::from_secs(6);
            answers.push(client::send(record, machine.front, "GET", &path, &id, deadline));
        }
        sleep(REQUEST_PAUSE);
    }
    answers.into_iter().for_each(|answer| _ = answer.join());
    let arrivals = leafs[0].arrivals();
    let late = arrivals.iter().filter(|arrival| arrival.at_ms > drained_at + DRAIN_MS).count();
    record.line(&format!(
        "{late} requests reached {} later than {DRAIN_MS} ms after the acknowledgement of `draining`",
        leafs[0].id()
    ));
    if late == 0 { Outcome::Held } else { Outcome::Broken }
}
