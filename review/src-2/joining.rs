//! DRAIN: machines are added while leafs are taken away.

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
use crate::front;
use crate::front::DRAIN;
use crate::front::STABILITY_WINDOW;
use crate::leaf::Leaf;
use crate::leaf::Runs;
use crate::record::Record;
use crate::record::lock;
use crate::store::Store;

const ZONES: [&str; 6] = ["za", "zb", "zc", "za", "zb", "zc"];
/// Leafs that stay.
const STAYING: usize = 3;
/// Number of times that leafs are taken away and machines are added.
const ROUNDS: usize = 10;
/// Leafs that are taken away in a round, and the time between two of them.
const LEAVING: usize = 14;
const GAP: Duration = Duration::from_millis(40);
/// Leafs that have been taken away when the machines are added, at least. It differs by round.
const BEFORE: usize = 4;
/// Time for which a leaf serves after its entry is removed.
const LINGER: Duration = Duration::from_millis(4_500);
/// Time until all machines know the leafs that have started.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Pause between the requests of one client.
const PAUSE: Duration = Duration::from_millis(40);

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::start().map_err(failed)?;
    let runs = Arc::<Runs>::default();
    let start_leaf = |name: String, index: usize| {
        Leaf::start((&name, "lists", ZONES[index % 3]), &store, record, &runs).map_err(failed)
    };
    let mut staying = Vec::new();
    for index in 0..STAYING {
        staying.push(start_leaf(format!("i-stays-{index}"), index)?);
    }
    let routes = [("lists".into(), "/lists/".into(), "lists".into())];
    store.put("config", "main", front::config(13, &routes, &["lists"]));
    let mut machines = front::plan(&ZONES, &[store.address(); 6]).map_err(failed)?;
    let seeds = front::seeds(&machines);
    front::start(&mut machines, &seeds, true).map_err(failed)?;
    front::wait_until_ready(&machines)?;
    thread::sleep(STABILITY_WINDOW);
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    for (machine, address) in machines.iter().map(|machine| machine.front).enumerate() {
        let (sent, stop) = (sent.clone(), stop.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("c{machine}-{number}");
                let at = Instant::now();
                let status =
                    client::get(address, &format!("/lists/{number}"), &id, client::DEADLINE);
                lock(&sent).push((id, machine, at, status));
                thread::sleep(PAUSE);
            }
        });
    }
    let mut removed = BTreeMap::new();
    let mut added: Vec<front::Machine> = Vec::new();
    for round in 0..ROUNDS {
        let mut leaving = Vec::new();
        for index in 0..LEAVING {
            leaving.push(start_leaf(format!("i-leaves-{round}-{index}"), index)?);
        }
        // Machines that were added in the round before are taken away.
        if !added.is_empty() {
            front::stop(&mut added).map_err(failed)?;
            record.note("the machines that were added have stopped");
        }
        thread::sleep(SETTLE);
        for (index, leaf) in leaving.into_iter().enumerate() {
            if trouble && index == BEFORE + round % 4 {
                added = front::plan(&ZONES[..3], &[store.address(); 3]).map_err(failed)?;
                front::start(&mut added, &seeds, false).map_err(failed)?;
                record.note("a machine is added in each zone");
            }
            let (id, acked) = leaf.leave(LINGER);
            removed.insert(id, acked);
            thread::sleep(GAP);
        }
        thread::sleep(LINGER);
    }
    stop.store(true, Ordering::SeqCst);
    let sent = lock(&sent).clone();
    let by_id: BTreeMap<_, _> = sent
        .iter()
        .map(|(id, machine, at, status)| (id.clone(), (*machine, *at, *status)))
        .collect();
    for (id, machine, at, status) in &sent {
        let status = status.map_or("no answer".to_owned(), |status| status.to_string());
        record.note_at(*at, format!("sent {id} to machine {machine}: {status}"));
    }
    let runs = lock(&runs.runs).clone();
    if runs.is_empty() {
        return Err("no request was served".into());
    }
    let mut late = BTreeMap::new();
    for run in &runs {
        let (Some(acked), Some((machine, _, _))) =
            (removed.get(&run.leaf), by_id.get(&run.request))
        else {
            continue;
        };
        if run.at > *acked + DRAIN {
            let entry = late.entry((*machine, run.leaf.clone())).or_insert((0, Duration::ZERO));
            *entry = (entry.0 + 1, run.at - *acked);
        }
    }
    for ((machine, leaf), (count, last)) in &late {
        record.note(format!(
            "machine {machine} sent {count} requests to leaf {leaf} later than drainMs after its entry \
             was removed, the last one {:.3} s after it",
            last.as_secs_f64()
        ));
    }
    record.note(format!("{} leafs that were removed got requests too late", late.len()));
    Ok(late.is_empty())
}
