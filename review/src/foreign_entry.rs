//! An entry from another writer that lacks fields is used as a leaf.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::client;
use crate::deployment;
use crate::deployment::STABILITY_WINDOW_MS;
use crate::http::Reader;
use crate::http::respond;
use crate::leaf::Leaf;
use crate::machine::Fleet;
use crate::record::Record;
use crate::store::Store;

/// Service of the route.
const SERVICE: &str = "reorder-lists";
/// Work of a request at a leaf.
const WORK_MS: u64 = 90;
/// Pause between two requests of each machine's clients.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Number of requests to each machine.
const REQUESTS: u32 = 100;
/// Number of requests to each machine before the other writer's entry appears.
const ENTRY_AT: u32 = 10;

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let leafs: Vec<Leaf> = (1..=6)
        .map(|number| deployment::leaf(&format!("i-4c1a07e{number}"), SERVICE, WORK_MS, record))
        .collect();
    let routes = [
        deployment::route("scan", "/scan/", "safe", 6_000, SERVICE),
        deployment::route("order", "/order/", "unsafe", 6_000, SERVICE),
    ];
    store.put("config", "main", &deployment::config(7, &routes, &[SERVICE]));
    for leaf in &leafs {
        store.put("servers", leaf.id(), &leaf.entry("ready", 1));
    }
    let (address, arrivals) = start_other_server(record);
    let fleet = Fleet::start(store.address());
    if !fleet.wait_until_ready() {
        return Outcome::NotRun("the machines did not become ready".to_owned());
    }
    sleep(Duration::from_millis(STABILITY_WINDOW_MS + 1_000));
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        if number == ENTRY_AT && trouble {
            // The fields `version`, `coldLeftMs` and `born` are missing.
            let entry = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"erie-toledo\",\
                 \"slots\":3,\"state\":\"ready\",\"seq\":1}}"
            );
            store.put("servers", "stock-importer", &entry);
        }
        for (index, machine) in fleet.machines.iter().enumerate() {
            let id = format!("{:016x}", 0x3a7c_0000 + u64::from(number) * 16 + index as u64);
            let (method, prefix) =
                if number % 2 == 0 { ("GET", "scan") } else { ("POST", "order") };
            let path = format!("/{prefix}/{number}");
            let deadline = Duration::from_secs(6);
            answers.push(client::send(record, machine.front, method, &path, &id, deadline));
        }
        sleep(REQUEST_PAUSE);
    }
    let sent = answers.len();
    let answers = answers.into_iter().filter_map(|answer| answer.join().ok());
    let statuses: Vec<u16> =
        answers.filter_map(|(_, answer)| answer.map(|answer| answer.status())).collect();
    let denied = statuses.iter().filter(|status| **status == 404).count();
    let allowed = 5 + sent / 500;
    record.line(&format!(
        "{denied} of {sent} proper requests were ended with 404, {allowed} are allowed; {} requests \
         reached the server that is no leaf",
        arrivals.load(Ordering::SeqCst)
    ));
    if denied > allowed { Outcome::Broken } else { Outcome::Held }
}

/// Starts a server that is no leaf: it knows none of the paths and answers 404.
fn start_other_server(record: &Arc<Record>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = Arc::new(AtomicUsize::new(0));
    let (record, count) = (record.clone(), arrivals.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, count) = (record.clone(), count.clone());
            thread::spawn(move || {
                let Ok(reading) = stream.try_clone() else { return };
                let mut reader = Reader::new(reading);
                while let Ok(Some(request)) = reader.next() {
                    let id = request.header("jaycrank-request-id").unwrap_or_default();
                    record.line(&format!("stock-importer, no leaf: {id} arrives, answers 404"));
                    count.fetch_add(1, Ordering::SeqCst);
                    if respond(&stream, "404 Not Found", &[], b"not found\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, arrivals)
}
