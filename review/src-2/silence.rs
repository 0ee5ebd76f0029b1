//! CONFIG: open connections to the store go silent for good while the configuration changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Sent;
use crate::front;
use crate::front::CONFIG_APPLY;
use crate::front::STABILITY_WINDOW;
use crate::leaf::Leaf;
use crate::leaf::Runs;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::record::lock;
use crate::store::Store;

const ZONES: [&str; 6] = ["za", "zb", "zc", "za", "zb", "zc"];
/// Pause between the requests of one client.
const PAUSE: Duration = Duration::from_millis(20);
/// Time between two configurations of a storm, and the number of them, as in `lws-jaycrank`.
const STORM_GAP: Duration = Duration::from_millis(330);
const STORM_CHANGES: u64 = 12;
/// The configuration of the storm that moves a route and adds another.
const MOVE: u64 = 7;
/// Time by which the connections go silent before that configuration is written.
const SILENT_BEFORE: Duration = Duration::from_millis(100);
/// Time for which requests are sent after the connections have gone silent.
const AFTER: Duration = Duration::from_secs(9);

fn routes(version: u64) -> Vec<(String, String, String)> {
    let moved = if version >= MOVE { "new" } else { "old" };
    let mut routes = vec![("stock".into(), "/stock/".into(), moved.into())];
    for added in 1..=version {
        routes.push((format!("added-{added}"), format!("/added-{added}/"), "new".into()));
    }
    routes
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::start().map_err(failed)?;
    let runs = Arc::<Runs>::default();
    let mut leafs = Vec::new();
    for service in ["old", "new"] {
        for zone in &ZONES[..3] {
            let id = format!("i-{service}-{zone}");
            leafs.push(Leaf::start((&id, service, zone), &store, record, &runs).map_err(failed)?);
        }
    }
    let write = |step: u64| {
        // Versions increase in uneven steps.
        let spec = front::config(10 + 3 * step, &routes(step), &["old", "new"]);
        let acked = store.put("config", "main", spec);
        record.note_at(acked, format!("version {} acknowledged", 10 + 3 * step));
        acked
    };
    write(0);
    let mut proxies = Vec::new();
    for _ in ZONES {
        proxies.push(Proxy::start(store.address()).map_err(failed)?);
    }
    let stores: Vec<_> = proxies.iter().map(|proxy| proxy.address()).collect();
    let mut machines = front::plan(&ZONES, &stores).map_err(failed)?;
    let seeds = front::seeds(&machines);
    front::start(&mut machines, &seeds, true).map_err(failed)?;
    front::wait_until_ready(&machines)?;
    let sent = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (machine, address) in machines.iter().map(|machine| machine.front).enumerate() {
        let (sent, stop) = (sent.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("c{machine}-{number}");
                // One request in four probes the route that is added.
                let path = match number % 4 {
                    0 => format!("/added-{MOVE}/{number}"),
                    _ => format!("/stock/{number}"),
                };
                let at = Instant::now();
                let status = client::get(address, &path, &id, client::DEADLINE);
                lock(&sent).push(Sent { at, machine, id, path, status });
                thread::sleep(PAUSE);
            }
        }));
    }
    thread::sleep(STABILITY_WINDOW + Duration::from_secs(2));
    let mut moved = Instant::now();
    let mut silenced = moved;
    let first = moved;
    for step in 1..=STORM_CHANGES {
        let due = first + STORM_GAP * step as u32;
        if step == MOVE {
            thread::sleep((due - SILENT_BEFORE).saturating_duration_since(Instant::now()));
            if trouble {
                proxies.iter().for_each(|proxy| proxy.silence_open());
            }
            silenced = Instant::now();
            record.note_at(
                silenced,
                match trouble {
                    true => "open connections to the store go silent",
                    false => "no disruption",
                },
            );
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let acked = write(step);
        if step == MOVE {
            moved = acked;
        }
    }
    thread::sleep((silenced + AFTER).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    // From here on the new version must be in force. The silence counts as a reset of the connections
    // of all machines, which are in touch again after the stability window.
    let in_touch = if trouble { silenced + STABILITY_WINDOW } else { silenced };
    let from = in_touch.max(moved + CONFIG_APPLY);
    let sent = lock(&sent).clone();
    let mut by_id = BTreeMap::new();
    for request in &sent {
        let status = request.status.map_or("no answer".to_owned(), |status| status.to_string());
        let line = format!(
            "sent {} {} to machine {}: {status}",
            request.id, request.path, request.machine
        );
        record.note_at(request.at, line);
        by_id.insert(request.id.clone(), request.clone());
    }
    let runs = lock(&runs.runs).clone();
    let by_old =
        runs.iter().filter(|run| run.service == "old").filter_map(|run| by_id.get(&run.request));
    let stale: Vec<&Sent> = by_old.filter(|request| request.at > from).collect();
    let refused: Vec<&Sent> =
        sent.iter().filter(|request| request.at > from && request.status == Some(404)).collect();
    let after = sent.iter().filter(|request| request.at > from).count();
    let served =
        sent.iter().filter(|request| request.at > from && request.status == Some(200)).count();
    if served == 0 {
        return Err("no request was served".into());
    }
    let last = stale.iter().chain(&refused).map(|request| request.at).max();
    record.note(format!(
        "of {after} requests sent from {:.3} s on, {} were run by the old service and {} were refused \
         with 404; the last one was sent {:.3} s after the connections went silent and {:.3} s after the \
         acknowledgement",
        record.seconds(from),
        stale.len(),
        refused.len(),
        last.map_or(0.0, |at| (at - silenced).as_secs_f64()),
        last.map_or(0.0, |at| (at - moved).as_secs_f64()),
    ));
    Ok(stale.is_empty() && refused.is_empty())
}
