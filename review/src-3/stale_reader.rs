//! The store is silent to the machines through which the others read it, and serves the others.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::leaf;
use crate::leaf::Run;
use crate::leaf::Runs;
use crate::machine::Machine;
use crate::machine::Plan;
use crate::store::Store;

const ZONES: [&str; 3] = ["a", "b", "c"];
const MACHINES: usize = 9;
/// Time in which all machines must become ready.
const START_TIME: Duration = Duration::from_secs(25);
/// Time without disruption before it, longer than `stabilityWindowMs`.
const CALM_TIME: Duration = Duration::from_secs(6);
/// `configApplyMs` and `drainMs`.
const APPLY_TIME: Duration = Duration::from_millis(3_000);
/// Time for which the store is silent; site files have 9 s.
const SILENT_TIME: Duration = Duration::from_secs(9);
/// Largest part of the machines to which the store is silent.
const SILENT_MACHINES_MAX: usize = 3;
/// Pause between two requests to a machine.
const PAUSE: Duration = Duration::from_millis(40);

/// Request of a client, with the status of its answer.
struct Sent {
    id: String,
    machine: usize,
    at: Instant,
    status: String,
}

fn config(version: u64, moved_to: &str) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":200,\"priority\":0,\
             \"maxAttempts\":2,\"service\":\"{service}\"}}"
        )
    };
    let services: Vec<String> = ["old", "new", "pair"]
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":96}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("move", moved_to),
        route("keep", "pair"),
        services.join(",")
    )
}

/// Returns whether the rules held; `None` if the case couldn't run.
pub fn run(record: &Path, base: &Path, trouble: bool) -> io::Result<Option<bool>> {
    let mut record = File::create(record)?;
    let runs = Runs::default();
    let (store, addresses) = Store::start(MACHINES)?;
    let mut draining = String::new();
    for (service, count) in [("old", 3), ("new", 3), ("pair", 3)] {
        for (index, zone) in ZONES.iter().enumerate().take(count) {
            let id = format!("{service}-{index}");
            let address = leaf::start(&id, &runs)?;
            store.put("servers", &id, leaf::entry(service, address, zone, "ready", 1));
            if id == "pair-0" {
                draining = leaf::entry(service, address, zone, "draining", 2);
            }
        }
    }
    store.put("config", "main", config(1, "old"));
    let plans: Vec<Plan> = (0..MACHINES).map(Plan::new).collect::<io::Result<_>>()?;
    let mut machines = Vec::new();
    for (number, plan) in plans.iter().enumerate() {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("front-{zone}-{}", number / ZONES.len() + 1);
        machines.push(Machine::start(&name, zone, *plan, &plans[..3], addresses[number], base)?);
    }
    let end = Instant::now() + START_TIME;
    if !machines.iter().all(|machine| machine.wait_until_ready(end)) {
        writeln!(record, "not all machines became ready")?;
        return Ok(None);
    }
    thread::sleep(CALM_TIME);
    let readers = store.readers();
    let names: Vec<&str> = readers.iter().map(|at| machines[*at].name.as_str()).collect();
    writeln!(record, "machines that read the store themselves: {}", names.join(", "))?;
    if readers.is_empty() || readers.len() > SILENT_MACHINES_MAX {
        writeln!(record, "their number allows no run")?;
        return Ok(None);
    }
    let sent = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now();
    let clients_end = start + SILENT_TIME - Duration::from_millis(500);
    let clients: Vec<_> = (0..MACHINES)
        .filter(|machine| !readers.contains(machine))
        .map(|machine| {
            let (front, sent) = (machines[machine].front, sent.clone());
            thread::spawn(move || send_requests(machine, front, clients_end, &sent))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    // Changes come in quick succession: another leaf, and the first of two versions.
    let address = leaf::start("new-3", &runs)?;
    store.put("servers", "new-3", leaf::entry("new", address, "a", "ready", 1));
    let changed_at = store.put("config", "main", config(2, "old"));
    thread::sleep(Duration::from_millis(500));
    let silent_at = Instant::now();
    for reader in readers.iter().filter(|_| trouble) {
        store.set_silent(*reader, true);
    }
    thread::sleep(Duration::from_millis(300));
    let moved_at = store.put("config", "main", config(3, "new"));
    let drained_at = store.put("servers", "pair-0", draining);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let runs = runs.lock().unwrap().clone();
    let sent = std::mem::take(&mut *sent.lock().unwrap());
    let ms = |at: Instant| at.saturating_duration_since(start).as_millis();
    writeln!(record, "disruption: {trouble}; times in ms since the first request")?;
    writeln!(record, "{} a leaf added, and version 2 acknowledged", ms(changed_at))?;
    writeln!(record, "{} silence to these machines", ms(silent_at))?;
    writeln!(record, "{} version 3 acknowledged: /move/ from service old to new", ms(moved_at))?;
    writeln!(record, "{} leaf pair-0 draining, acknowledged", ms(drained_at))?;
    let mut broken = Vec::new();
    for request in &sent {
        let own: Vec<&Run> = runs.iter().filter(|run| run.request == request.id).collect();
        let ran: Vec<String> =
            own.iter().map(|run| format!("{} at {}", run.leaf, ms(run.at))).collect();
        let machine = &machines[request.machine].name;
        writeln!(
            record,
            "{} {} sent to {machine}, answered {}, run by {}",
            ms(request.at),
            request.id,
            request.status,
            ran.join(" and ")
        )?;
        for run in own {
            if run.leaf.starts_with("old-") && request.at > moved_at + APPLY_TIME {
                let late = (request.at - moved_at).as_millis();
                broken.push(format!(
                    "CONFIG: {} sent to {machine} {late} ms after the acknowledgement, run by {}",
                    request.id, run.leaf
                ));
            }
            if run.leaf == "pair-0" && run.at > drained_at + APPLY_TIME {
                let late = (run.at - drained_at).as_millis();
                broken.push(format!(
                    "DRAIN: {} reached pair-0 {late} ms after the acknowledgement, from {machine}",
                    request.id
                ));
            }
        }
    }
    for line in &broken {
        writeln!(record, "broken: {line}")?;
    }
    let [config, drain] =
        ["CONFIG", "DRAIN"].map(|rule| broken.iter().filter(|line| line.starts_with(rule)).count());
    println!("{} requests, CONFIG broken {config} times, DRAIN {drain} times", sent.len());
    Ok(Some(broken.is_empty()))
}

/// Sends requests on both routes to one machine.
fn send_requests(
    machine: usize,
    front: std::net::SocketAddr,
    end: Instant,
    sent: &Mutex<Vec<Sent>>,
) {
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let path = ["/move/", "/keep/"][number % 2];
        let id = format!("m{machine}-{number}");
        let at = Instant::now();
        let status = match client::get(front, path, &id) {
            Some(response) => response.word().to_owned(),
            None => "nothing".to_owned(),
        };
        sent.lock().unwrap().push(Sent { id, machine, at, status });
        thread::sleep(PAUSE);
    }
}
