//! A request that is known to crash leafs crashes more of them each time that the fleet was killed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::Outcome;
use crate::client;
use crate::deployment;
use crate::deployment::STABILITY_WINDOW_MS;
use crate::leaf::Leaf;
use crate::machine::Fleet;
use crate::machine::Machine;
use crate::machine::Seeds;
use crate::record::Record;
use crate::store::Store;

/// Shards of the route.
const SHARDS: [&str; 4] = ["quote-desk-0", "quote-desk-1", "quote-desk-2", "quote-desk-3"];
/// Leafs of each shard.
const LEAFS_PER_SHARD: usize = 3;
/// Work of a request.
const WORK_MS: u64 = 11;
/// Number of times that the whole fleet is killed.
const KILLS: u32 = 5;
/// Time from the kill of the fleet to the start of its processes.
const DOWNTIME: Duration = Duration::from_millis(500);
/// Time for which the machines run undisturbed before the request comes again.
const UNDISTURBED: Duration = Duration::from_millis(STABILITY_WINDOW_MS + 1_000);
/// Most retries that may reach leafs later than the stability window after the third crash.
const RETRIES_MAX: usize = 3;
/// Path of the request.
const PATH: &str = "/check/deadly";

pub fn run(record: &Arc<Record>, trouble: bool) -> Outcome {
    let store = Store::start(record.clone());
    let leafs: Vec<Leaf> = SHARDS
        .iter()
        .flat_map(|shard| (0..LEAFS_PER_SHARD).map(move |index| (shard, index)))
        .map(|(shard, index)| {
            let id = format!("i-{shard}-{index}");
            deployment::leaf(&id, shard, WORK_MS, record)
        })
        .collect();
    let route = deployment::gather("check", "/check/", 2_000, &SHARDS);
    store.put("config", "main", &deployment::config(7, &[route], &SHARDS));
    leafs.iter().for_each(|leaf| _ = store.put("servers", leaf.id(), &leaf.entry("ready", 1)));
    let mut starts = vec![0; leafs.len()];
    let mut fleet = Fleet::start(store.address());
    for round in 0..=KILLS {
        if round > 0 && trouble {
            record.line("fleet: all machines are killed");
            fleet.machines.iter_mut().for_each(Machine::kill);
            sleep(DOWNTIME);
            fleet.write_settings(Seeds::Present, false);
            record.line("fleet: all machines start again");
            fleet.machines.iter_mut().for_each(Machine::start);
        }
        if !fleet.wait_until_ready() {
            return Outcome::NotRun("the machines did not become ready".to_owned());
        }
        write_restarts(&store, &leafs, &mut starts);
        sleep(UNDISTURBED);
        let front = fleet.machines[round as usize % fleet.machines.len()].front;
        let id = format!("{:016x}", 0xdead_0000 + u64::from(round));
        let answer = client::send(record, front, "GET", PATH, &id, Duration::from_secs(2));
        _ = answer.join();
        // The leafs that crashed are back before the next disruption.
        sleep(Duration::from_secs(4));
        write_restarts(&store, &leafs, &mut starts);
    }
    judge(record, &leafs)
}

/// Writes the entries of the leafs that have started again.
fn write_restarts(store: &Store, leafs: &[Leaf], starts: &mut [u64]) {
    for (leaf, known) in leafs.iter().zip(starts) {
        if leaf.restarts() > *known {
            *known = leaf.restarts();
            store.put("servers", leaf.id(), &leaf.entry("ready", 1));
        }
    }
}

fn judge(record: &Record, leafs: &[Leaf]) -> Outcome {
    let mut arrivals: Vec<_> = leafs.iter().flat_map(Leaf::arrivals).collect();
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    // Each arrival crashes its leaf at once, as no leaf has other work.
    let Some(third) = arrivals.get(2).map(|arrival| arrival.at_ms) else { return Outcome::Held };
    let late: Vec<_> =
        arrivals.iter().filter(|arrival| arrival.at_ms > third + STABILITY_WINDOW_MS).collect();
    let retries: BTreeSet<&str> = late.iter().map(|arrival| arrival.id.as_str()).collect();
    record.line(&format!(
        "third crash at {third} ms; later than {STABILITY_WINDOW_MS} ms after it {} retries reached \
         leafs, {} times; {RETRIES_MAX} retries are allowed",
        retries.len(),
        late.len()
    ));
    if retries.len() > RETRIES_MAX { Outcome::Broken } else { Outcome::Held }
}
