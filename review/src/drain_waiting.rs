//! A request that waits for a connection is sent to a leaf that is gone.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::client;
use crate::deployment;
use crate::deployment::DRAIN_MS;
use crate::deployment::STABILITY_WINDOW_MS;
use crate::leaf::Leaf;
use crate::machine::Fleet;
use crate::record::Record;
use crate::store::Store;

/// Usual work of a request.
const WORK_MS: u64 = 90;
/// Work while the leafs are slow: 12 times as long.
const SLOW_WORK_MS: u64 = 12 * WORK_MS;
/// Pause between two requests of the clients of the zone: 16 a second.
const REQUEST_PAUSE: Duration = Duration::from_micros(62_500);
/// Start and end of the slow time, and the removal of the entry, by the number of the request.
const SLOW_FROM: u32 = 48;
const SLOW_UNTIL: u32 = SLOW_FROM + 8 * 16;
const REMOVED_AT: u32 = SLOW_FROM + 4 * 16;
/// Number of requests.
const REQUESTS: u32 = SLOW_FROM + 11 * 16;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let leafs: Vec<Leaf> = ["i-4c1a07e2", "i-91bd33f0"]
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
    let front = fleet.machines[0].front;
    let mut removed_at = None;
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        if trouble && number == SLOW_FROM {
            record.line("leafs: all of the service turn slow");
            leafs.iter().for_each(|leaf| leaf.set_work_ms(SLOW_WORK_MS));
        }
        if trouble && number == SLOW_UNTIL {
            record.line("leafs: no longer slow");
            leafs.iter().for_each(|leaf| leaf.set_work_ms(WORK_MS));
        }
        if trouble && number == REMOVED_AT {
            removed_at = Some(store.delete("servers", leafs[0].id()));
        }
        let id = format!("{:016x}", 0x5ca0_0000 + u64::from(number));
        let path = format!("/scan/{number}");
        answers.push(client::send(record, front, "GET", &path, &id, Duration::from_secs(6)));
        sleep(REQUEST_PAUSE);
    }
    answers.into_iter().for_each(|answer| _ = answer.join());
    let Some(removed_at) = removed_at else { return Outcome::Held };
    let arrivals = leafs[0].arrivals();
    let late: Vec<_> =
        arrivals.iter().filter(|arrival| arrival.at_ms > removed_at + DRAIN_MS).collect();
    for arrival in &late {
        record.line(&format!(
            "late: {} reached {} {} ms after its removal was acknowledged",
            arrival.id,
            arrival.leaf,
            arrival.at_ms - removed_at
        ));
    }
    if late.is_empty() { Outcome::Held } else { Outcome::Broken }
}
