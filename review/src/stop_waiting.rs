//! A planned stop cuts off requests that wait for a connection to a leaf.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::client;
use crate::deployment;
use crate::deployment::STABILITY_WINDOW_MS;
use crate::machine::Fleet;
use crate::record::Record;
use crate::store::Store;

/// Work of a request. The leaf with its 3 slots runs 13.6 requests a second.
const WORK_MS: u64 = 220;
/// Pause between two requests of the clients of the zone: 20 a second.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// Number of the request at which the machine is told to stop.
const STOPPED_AT: u32 = 14 * 20;
/// Number of requests. The platform sends the last ones 2 s after the stop began: by then two
/// questions about readiness were answered with no.
const REQUESTS: u32 = STOPPED_AT + 2 * 20;
/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(6);

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let leaf = deployment::leaf("i-4c1a07e2", "reorder-lists", WORK_MS, record);
    let route = deployment::route("scan", "/scan/", "safe", 6_000, "reorder-lists");
    store.put("config", "main", &deployment::config(7, &[route], &["reorder-lists"]));
    store.put("servers", leaf.id(), &leaf.entry("ready", 1));
    let mut fleet = Fleet::start(store.address());
    if !fleet.wait_until_ready() {
        return Outcome::NotRun("the machines did not become ready".to_owned());
    }
    sleep(Duration::from_millis(STABILITY_WINDOW_MS + 1_000));
    let front = fleet.machines[0].front;
    let mut stopped_at = None;
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        if trouble && number == STOPPED_AT {
            record.line("machine 0: SIGTERM");
            stopped_at = Some(record.now_ms());
            fleet.machines[0].terminate();
        }
        let id = format!("{:016x}", 0x57a9_0000 + u64::from(number));
        let path = format!("/scan/{number}");
        let sent_at = record.now_ms();
        let answer = client::send(record, front, "GET", &path, &id, Duration::from_secs(6));
        answers.push((id, sent_at, answer));
        sleep(REQUEST_PAUSE);
    }
    if trouble {
        let killed_at = Duration::from_millis(stopped_at.unwrap_or_default()) + GRACE;
        sleep(killed_at.saturating_sub(Duration::from_millis(record.now_ms())));
        record.line("machine 0: SIGKILL after the grace period");
        fleet.machines[0].kill();
    }
    let arrived: Vec<String> = leaf.arrivals().into_iter().map(|arrival| arrival.id).collect();
    let mut cut = 0;
    for (id, sent_at, answer) in answers {
        let (ended_at, answer) = answer.join().unwrap();
        let waited_ms = ended_at - sent_at;
        // Neither answered nor at its deadline, and no leaf was at work on it.
        if answer.is_none() && waited_ms > 200 && waited_ms < 5_900 && !arrived.contains(&id) {
            record.line(&format!("cut: {id} after {waited_ms} ms, never at a leaf"));
            cut += 1;
        }
    }
    record.line(&format!("{cut} requests ended without an answer"));
    if cut == 0 { Outcome::Held } else { Outcome::Broken }
}
