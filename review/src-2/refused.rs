//! RECOVER: one caller's request crashes leafs, and the same request of all callers is refused.

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
use crate::front::STABILITY_WINDOW;
use crate::leaf::DEADLY;
use crate::leaf::Leaf;
use crate::leaf::Runs;
use crate::record::Record;
use crate::record::lock;
use crate::store::Store;

const ZONES: [&str; 9] = ["za", "zb", "zc", "za", "zb", "zc", "za", "zb", "zc"];
/// Path that all callers use.
const PATH: &str = "/lists/top";
/// Pause between two requests to one machine.
const PAUSE: Duration = Duration::from_secs(3);
/// Time for which requests are served before the final fault.
const BEFORE: Duration = Duration::from_secs(10);
/// Time between the kill of the processes and their start, as in the site's final faults.
const DOWN: Duration = Duration::from_millis(1_100);
/// Time after the machines are back at which the caller's request comes.
const DEADLY_AFTER: Duration = Duration::from_secs(5);
/// Number of times that it comes, each time at another machine, and the pause in between.
const DEADLY_ATTEMPTS: usize = 6;
const DEADLY_PAUSE: Duration = Duration::from_millis(900);
/// `recoveryS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which requests are counted after that.
const COUNTED: Duration = Duration::from_secs(25);

pub fn play(record: &Arc<Record>, trouble: bool) -> Verdict {
    let failed = |error: std::io::Error| error.to_string();
    let store = Store::start().map_err(failed)?;
    let runs = Arc::<Runs>::default();
    let mut leafs = Vec::new();
    for index in 0..9 {
        let (id, zone) = (format!("i-lists-{index}"), ZONES[index % 3]);
        leafs.push(Leaf::start((&id, "lists", zone), &store, record, &runs).map_err(failed)?);
    }
    let routes = [("lists".into(), "/lists/".into(), "lists".into())];
    store.put("config", "main", front::config(13, &routes, &["lists"]));
    let mut machines = front::plan(&ZONES, &[store.address(); 9]).map_err(failed)?;
    let seeds = front::seeds(&machines);
    front::start(&mut machines, &seeds, true).map_err(failed)?;
    front::wait_until_ready(&machines)?;
    thread::sleep(STABILITY_WINDOW);
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (machine, address) in machines.iter().map(|machine| machine.front).enumerate() {
        let (stop, sent) = (stop.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            // The callers of the machines don't send at the same moment.
            thread::sleep(PAUSE.mul_f64(machine as f64 / 9.0));
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("c{machine}-{number}");
                let at = Instant::now();
                let status = client::get(address, PATH, &id, client::DEADLINE);
                lock(&sent).push((id, machine, at, status));
                thread::sleep((at + PAUSE).saturating_duration_since(Instant::now()));
            }
        }));
    }
    thread::sleep(BEFORE);
    store.put("config", "main", front::config(16, &routes, &["lists"]));
    record.note("version 16 acknowledged");
    let fault = Instant::now();
    record.note("all processes are killed");
    front::kill(&mut machines);
    thread::sleep(DOWN);
    front::start(&mut machines, &seeds, false).map_err(failed)?;
    front::wait_until_ready(&machines)?;
    let back = Instant::now();
    record.note("the machines are back");
    thread::sleep(DEADLY_AFTER);
    if trouble {
        for (retry, machine) in machines.iter().take(DEADLY_ATTEMPTS).enumerate() {
            let id = format!("{DEADLY}-{retry}");
            let at = Instant::now();
            let status = client::get_as(DEADLY, machine.front, PATH, &id, client::DEADLINE);
            record.note_at(at, format!("sent {id} {PATH} to machine {retry}: {status:?}"));
            thread::sleep(DEADLY_PAUSE);
        }
    }
    thread::sleep((back + RECOVERY + COUNTED).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = lock(&sent).clone();
    for (id, machine, at, status) in &sent {
        record.note_at(*at, format!("sent {id} {PATH} to machine {machine}: {status:?}"));
    }
    let share = |from: Instant, to: Instant| {
        let counted = sent.iter().filter(|(_, _, at, _)| *at >= from && *at < to);
        let (served, all) = counted.fold((0, 0), |(served, all), (_, _, _, status)| {
            (served + usize::from(*status == Some(200)), all + 1)
        });
        (served, all)
    };
    let (served_before, before) = share(fault - BEFORE, fault);
    let (served, after) = share(back + RECOVERY, back + RECOVERY + COUNTED);
    record.note(format!(
        "{served_before} of {before} requests were served before the fault, {served} of {after} later \
         than recoveryS after the machines were back; {} crashes",
        lock(&runs.crashes).len()
    ));
    if before == 0 || after == 0 || 4 * served_before < before {
        return Err("too few requests were served before the fault".into());
    }
    Ok(4 * served >= after)
}
