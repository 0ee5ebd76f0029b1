//! BUDGET: a request that crashes leafs comes again, after all processes were killed or at machines
//! that don't know of each other.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::front;
use crate::front::STABILITY_WINDOW;
use crate::leaf::DEADLY;
use crate::leaf::Leaf;
use crate::leaf::Runs;
use crate::record::Record;
use crate::record::lock;
use crate::store::Store;

const ZONES: [&str; 9] = ["za", "zb", "zc", "za", "zb", "zc", "za", "zb", "zc"];
/// Number of times that the request comes.
const ROUNDS: usize = 8;
/// Time for which the machines have no power or process.
const DOWN: Duration = Duration::from_millis(1_600);
/// Time by which the request comes later than the stability window.
const MARGIN: Duration = Duration::from_millis(1_500);
/// Pause of a client before its retry.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between ordinary requests to one machine.
const PAUSE: Duration = Duration::from_millis(50);
/// Path of a request that many callers send.
const POPULAR: &str = "/lists/top";
/// Retries that may reach leafs later than the stability window after the third crash.
const RETRIES_MAX: usize = 3;

/// What happens beside the deadly request.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// All processes are killed at once after each round, and started again.
    Kills,
    /// The machines that the settings name as seeds are down for good.
    DeadSeeds,
    /// Leafs that crash go dark, as with a machine that has no power.
    Dark,
    /// Other callers send a request with the same path and body, which is served.
    Popular,
}

pub fn play_kills(record: &Arc<Record>, trouble: bool) -> Verdict {
    play(record, if trouble { Trouble::Kills } else { Trouble::None }, true)
}

pub fn play_dead_seeds(record: &Arc<Record>, trouble: bool) -> Verdict {
    // The fleet has run before, when its seeds did.
    play(record, if trouble { Trouble::DeadSeeds } else { Trouble::None }, false)
}

pub fn play_popular(record: &Arc<Record>, trouble: bool) -> Verdict {
    play(record, if trouble { Trouble::Popular } else { Trouble::None }, true)
}

pub fn play_dark(record: &Arc<Record>, trouble: bool) -> Verdict {
    play(record, if trouble { Trouble::Dark } else { Trouble::None }, true)
}

fn play(record: &Arc<Record>, trouble: Trouble, bootstrap: bool) -> Verdict {
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::start().map_err(failed)?;
    let runs = Arc::<Runs>::default();
    runs.dark.store(trouble == Trouble::Dark, Ordering::SeqCst);
    let mut leafs = Vec::new();
    for index in 0..9 {
        let (id, zone) = (format!("i-lists-{index}"), ZONES[index % 3]);
        leafs.push(Leaf::start((&id, "lists", zone), &store, record, &runs).map_err(failed)?);
    }
    let routes = [("lists".into(), "/lists/".into(), "lists".into())];
    store.put("config", "main", front::config(13, &routes, &["lists"]));
    let mut machines = front::plan(&ZONES, &[store.address(); 9]).map_err(failed)?;
    let seeds = match trouble {
        // Nothing listens at these addresses.
        Trouble::DeadSeeds => {
            front::seeds(&front::plan(&ZONES[..3], &[store.address(); 3]).map_err(failed)?)
        }
        _ => front::seeds(&machines),
    };
    record.note(format!("seeds: {}", seeds.join(" ")));
    front::start(&mut machines, &seeds, bootstrap).map_err(failed)?;
    front::wait_until_ready(&machines)?;
    let stop = Arc::new(AtomicBool::new(false));
    for (machine, address) in machines.iter().map(|machine| machine.front).enumerate() {
        let stop = stop.clone();
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("c{machine}-{number}");
                let path = match trouble {
                    Trouble::Popular => POPULAR.to_owned(),
                    _ => format!("/lists/{number}"),
                };
                let _ = client::get(address, &path, &id, client::DEADLINE);
                thread::sleep(PAUSE);
            }
        });
    }
    // Attempts of the deadly request: id and time, when all machines are in touch.
    let mut attempts = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(STABILITY_WINDOW + MARGIN);
        // The client sends it to one machine, and its retry to another.
        for retry in 0..2 {
            let machine = (round + retry) % machines.len();
            let id = format!("deadly-{round}-{retry}");
            let at = Instant::now();
            let path = match trouble {
                Trouble::Popular => POPULAR.to_owned(),
                _ => format!("/lists/{DEADLY}"),
            };
            let front = machines[machine].front;
            let status = client::get_as(DEADLY, front, &path, &id, client::DEADLINE);
            let status = status.map_or("no answer".to_owned(), |status| status.to_string());
            record.note_at(at, format!("sent {id} {path} to machine {machine}: {status}"));
            attempts.push((id, at));
            thread::sleep(RETRY_PAUSE);
        }
        if trouble == Trouble::Kills && round + 1 < ROUNDS {
            record.note("all processes are killed");
            front::kill(&mut machines);
            thread::sleep(DOWN);
            front::start(&mut machines, &seeds, false).map_err(failed)?;
            record.note("all processes are started");
            front::wait_until_ready(&machines)?;
        }
    }
    stop.store(true, Ordering::SeqCst);
    let crashes = lock(&runs.crashes).clone();
    let runs = lock(&runs.runs).clone();
    if !runs.iter().any(|run| run.request.starts_with('c')) {
        return Err("no request was served".into());
    }
    let from = crashes.get(2).map(|(at, _)| *at + STABILITY_WINDOW);
    let reached = attempts.iter().filter(|(id, at)| {
        from.is_some_and(|from| *at > from) && runs.iter().any(|run| run.request == *id)
    });
    let reached: Vec<&str> = reached.map(|(id, _)| id.as_str()).collect();
    record.note(format!(
        "{} crashes; later than the stability window after the third one, {} attempts reached leafs: {}",
        crashes.len(),
        reached.len(),
        reached.join(" ")
    ));
    Ok(reached.len() <= RETRIES_MAX)
}
