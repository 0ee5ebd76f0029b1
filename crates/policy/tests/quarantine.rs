//! Tests of the quarantine of requests that crash servers: single rules, and a simulated cell.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use jaycrank_policy::quarantine::Decision;
use jaycrank_policy::quarantine::Fingerprint;
use jaycrank_policy::quarantine::Observations;
use jaycrank_policy::quarantine::Quarantine;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Fingerprint of the request that crashes servers.
const POISON: Fingerprint = 1;
const INSTANCES: usize = 6;
const LEAFS: usize = 6;
/// Number of times that the request that crashes servers is sent.
const POISON_SENDS: u64 = 200;
/// Number of harmless requests.
const HARMLESS: u64 = 5;

fn leaf(index: usize) -> SmolStr {
    format_smolstr!("leaf-{index}")
}

fn refused(decision: Decision) -> bool {
    matches!(decision, Decision::Refuse { .. })
}

/// Many leafs crash at once. Guards against refusing a request whose isolated run was in flight at
/// one of them, unless it was also in flight at all the others.
#[test]
fn isolated_run_is_inconclusive_during_a_mass_failure() {
    let (quarantine, now) = (Quarantine::new("entry-0"), Instant::now());
    quarantine.record_incident(&leaf(9), &[7], None, now);
    let run = quarantine.start_isolated(7, now).unwrap();
    for index in 0..5 {
        quarantine.record_incident(&leaf(index), &[7, 8], None, now);
    }
    quarantine.record_incident(&leaf(5), &[7], Some(7), now);
    drop(run);
    // The request was in flight at all the other leafs, so it may have caused their crashes too.
    assert!(refused(quarantine.decide(7, now)));
    let quarantine = Quarantine::new("entry-0");
    quarantine.record_incident(&leaf(9), &[7], None, now);
    for index in 0..5 {
        quarantine.record_incident(&leaf(index), &[8], None, now);
    }
    quarantine.record_incident(&leaf(5), &[7], Some(7), now);
    assert_eq!(quarantine.decide(7, now), Decision::RunIsolated);
    assert_eq!(quarantine.decide(8, now), Decision::RunIsolated);
}

/// Guards against two concurrent isolated runs, and against an isolated run that is never released.
#[test]
fn one_isolated_run_at_a_time() {
    let (quarantine, now) = (Quarantine::new("entry-0"), Instant::now());
    quarantine.record_incident(&leaf(0), &[7, 8], None, now);
    let run = quarantine.start_isolated(7, now).unwrap();
    assert!(quarantine.start_isolated(7, now).is_none());
    assert!(quarantine.start_isolated(8, now).is_none());
    drop(run);
    assert!(quarantine.start_isolated(8, now).is_some());
    assert!(
        quarantine.start_isolated(9, now).is_none(),
        "a request that isn't suspected is not isolated"
    );
}

/// Guards against a suspect that only one instance receives but another one is to examine. In the
/// scenario crash-request such queries waited until their deadline and ended incomplete.
#[test]
fn suspect_examined_elsewhere_can_run_isolated_here() {
    let now = Instant::now();
    let quarantines = ["entry-0", "entry-1"].map(Quarantine::new);
    for (own, quarantine) in [7, 8].into_iter().zip(&quarantines) {
        quarantine.record_incident(&leaf(0), &[own], None, now);
    }
    let observations = quarantines.each_ref().map(|quarantine| quarantine.observations(now));
    let [first, second] = observations;
    quarantines[0].merge(second, now);
    quarantines[1].merge(first, now);
    let is_postponed = |decision| matches!(decision, Decision::RetryLater { .. });
    let postponed = [7, 8].into_iter().zip(&quarantines);
    let postponed =
        postponed.filter(|(own, quarantine)| is_postponed(quarantine.decide(*own, now)));
    let postponed: Vec<_> = postponed.collect();
    assert_eq!(postponed.len(), 1, "one of the two examines the leaf's suspects");
    let (own, quarantine) = postponed[0];
    assert!(quarantine.start_isolated(own, now).is_none());
    let run = quarantine.start_isolated_here(own, now).unwrap();
    assert!(quarantine.start_isolated_here(own, now).is_none(), "still one isolated run at a time");
    drop(run);
    quarantine.record_success(own, now);
    assert_eq!(quarantine.decide(own, now), Decision::Run);
}

/// Guards against memory that grows with the number of suspects, and against evicting a refused
/// request because of many suspects.
#[test]
fn suspects_are_bounded_and_refused_requests_are_evicted_last() {
    let (quarantine, now) = (Quarantine::new("entry-0"), Instant::now());
    quarantine.record_incident(&leaf(0), &[POISON], None, now);
    quarantine.record_incident(&leaf(1), &[POISON], Some(POISON), now);
    for fingerprint in 2..3_000 {
        quarantine.record_incident(&leaf(2), &[fingerprint], None, now);
    }
    assert!(quarantine.observations(now).len() <= 1_024);
    assert!(refused(quarantine.decide(POISON, now)));
}

/// Guards against a refusal that never expires, and against running the request normally
/// afterwards.
#[test]
fn refused_request_becomes_a_suspect_again() {
    let (quarantine, now) = (Quarantine::new("entry-0"), Instant::now());
    quarantine.record_incident(&leaf(0), &[POISON], None, now);
    quarantine.record_incident(&leaf(1), &[POISON], Some(POISON), now);
    let later = now + Duration::from_secs(599);
    assert!(refused(quarantine.decide(POISON, later)));
    assert_eq!(quarantine.decide(POISON, now + Duration::from_secs(601)), Decision::RunIsolated);
}

/// Two instances run suspects isolated at the same leaf at the same time. Guards against refusing a
/// harmless request because of a crash that the other one caused.
#[test]
fn simultaneous_isolated_runs_on_one_leaf_refuse_neither() {
    let now = Instant::now();
    let (a, b) = (Quarantine::new("entry-0"), Quarantine::new("entry-1"));
    a.record_incident(&leaf(0), &[POISON], None, now);
    b.record_incident(&leaf(0), &[7], None, now);
    a.record_incident(&leaf(1), &[POISON], Some(POISON), now);
    b.record_incident(&leaf(1), &[7], Some(7), now);
    let (from_a, from_b) = (a.observations(now), b.observations(now));
    a.merge(from_b, now);
    b.merge(from_a, now);
    a.merge(b.observations(now), now);
    b.merge(a.observations(now), now);
    for fingerprint in [POISON, 7] {
        assert!(!refused(a.decide(fingerprint, now)), "{fingerprint}");
        let examiners = [&a, &b].map(|quarantine| quarantine.decide(fingerprint, now));
        let suspects =
            examiners.iter().filter(|decision| **decision == Decision::RunIsolated).count();
        assert_eq!(suspects, 1, "{fingerprint}: {examiners:?}");
    }
}

#[derive(Clone, Debug)]
enum Event {
    Send(Fingerprint),
    End(u64),
    Crash(usize),
    Merge(usize, Observations),
}

struct Run {
    instance: usize,
    leaf: usize,
    fingerprint: Fingerprint,
    isolation: Option<jaycrank_policy::quarantine::Isolation>,
}

/// Simulation of instances that run requests on shared leafs and exchange observations with a short
/// delay.
struct Cell {
    random: StdRng,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Event>,
    next: u64,
    instances: Vec<Quarantine>,
    runs: BTreeMap<u64, Run>,
    down_until: BTreeMap<usize, Instant>,
    crashes: u64,
    /// Number of harmless requests that were answered, postponed and refused.
    harmless: [u64; 3],
}

impl Cell {
    fn new(seed: u64) -> Self {
        let names: Vec<_> = (0..INSTANCES).map(|index| format_smolstr!("entry-{index}")).collect();
        let instances: Vec<_> = names.iter().cloned().map(Quarantine::new).collect();
        instances.iter().for_each(|instance| instance.set_ready_instances(&names));
        Self {
            random: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            queue: BTreeMap::new(),
            next: 0,
            instances,
            runs: BTreeMap::new(),
            down_until: BTreeMap::new(),
            crashes: 0,
            harmless: [0; 3],
        }
    }

    fn schedule(&mut self, ms: f64, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + Duration::from_secs_f64(ms / 1e3), self.next), event);
    }

    fn send(&mut self, fingerprint: Fingerprint) {
        let instance = self.random.random_range(0..INSTANCES);
        let quarantine = &self.instances[instance];
        let isolation = match quarantine.decide(fingerprint, self.now) {
            Decision::Run => None,
            Decision::RunIsolated => match quarantine.start_isolated(fingerprint, self.now) {
                Some(isolation) => Some(isolation),
                None => return self.count(fingerprint, 1),
            },
            Decision::RetryLater { .. } => return self.count(fingerprint, 1),
            Decision::Refuse { .. } => return self.count(fingerprint, 2),
        };
        let is_up = |leaf: &usize| self.down_until.get(leaf).is_none_or(|until| *until <= self.now);
        let leafs: Vec<_> = (0..LEAFS).filter(is_up).collect();
        let leaf = leafs[self.random.random_range(0..leafs.len())];
        let id = self.next;
        self.runs.insert(id, Run { instance, leaf, fingerprint, isolation });
        if fingerprint == POISON {
            self.schedule(2.0, Event::Crash(leaf));
        } else {
            self.schedule(20.0, Event::End(id));
        }
    }

    fn count(&mut self, fingerprint: Fingerprint, outcome: usize) {
        if fingerprint != POISON {
            self.harmless[outcome] += 1;
        }
    }

    fn end(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else { return };
        self.count(run.fingerprint, 0);
        if run.isolation.is_some() {
            self.instances[run.instance].record_success(run.fingerprint, self.now);
            self.send_observations(run.instance);
        }
    }

    fn crash(&mut self, index: usize) {
        self.crashes += 1;
        self.down_until.insert(index, self.now + Duration::from_millis(50));
        let crashed: Vec<_> =
            self.runs.iter().filter(|run| run.1.leaf == index).map(|r| *r.0).collect();
        let mut lost: BTreeMap<usize, Vec<Run>> = BTreeMap::new();
        for run in crashed.iter().filter_map(|id| self.runs.remove(id)) {
            lost.entry(run.instance).or_default().push(run);
        }
        for (instance, runs) in lost {
            let in_flight: Vec<_> = runs.iter().map(|run| run.fingerprint).collect();
            let isolated = runs.iter().find(|run| run.isolation.is_some());
            let isolated = isolated.map(|run| run.fingerprint);
            self.instances[instance].record_incident(&leaf(index), &in_flight, isolated, self.now);
            drop(runs);
            self.send_observations(instance);
        }
    }

    fn send_observations(&mut self, from: usize) {
        let observations = self.instances[from].observations(self.now);
        for to in (0..INSTANCES).filter(|to| *to != from) {
            let delay = self.random.random_range(0.5..2.5);
            self.schedule(delay, Event::Merge(to, observations.clone()));
        }
    }

    fn run(&mut self) {
        let mut at = 20.0;
        for _ in 0..POISON_SENDS {
            self.schedule(at, Event::Send(POISON));
            at += self.random.random_range(3.0..17.0);
        }
        for round in 0..(at as u64) {
            self.schedule(round as f64, Event::Send(2 + round % HARMLESS));
        }
        while let Some(((now, _), event)) = self.queue.pop_first() {
            self.now = now;
            match event {
                Event::Send(fingerprint) => self.send(fingerprint),
                Event::End(id) => self.end(id),
                Event::Crash(leaf) => self.crash(leaf),
                Event::Merge(to, observations) => self.instances[to].merge(observations, now),
            }
        }
    }
}

/// Guards against a request that crashes server after server, and against refusing harmless
/// requests that were in flight at the same servers.
#[test]
fn request_that_crashes_servers_is_stopped_after_three_crashes() {
    for seed in 0..50 {
        let mut cell = Cell::new(seed);
        cell.run();
        assert!((2..=3).contains(&cell.crashes), "seed {seed}: {} crashes", cell.crashes);
        let [answered, postponed, refused] = cell.harmless;
        assert_eq!(refused, 0, "seed {seed}");
        assert!(postponed * 20 < answered, "seed {seed}: {:?}", cell.harmless);
        let now = cell.now;
        for instance in &cell.instances {
            assert!(self::refused(instance.decide(POISON, now)), "seed {seed}");
            for harmless in 2..2 + HARMLESS {
                assert_eq!(instance.decide(harmless, now), Decision::Run, "seed {seed}");
            }
        }
    }
}
