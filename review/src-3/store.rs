//! Stand-in of the platform's store. Each machine has an address of its own to it, so that the store
//! may be silent to some machines while it serves the others.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Change of an object. The spec is `None` if it was removed.
#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<String>,
}

impl Change {
    fn object(&self) -> String {
        format!(
            "{{\"meta\":{{\"name\":\"{}\",\"rev\":{rev},\"createdRev\":{rev},\"finalizers\":[],\
             \"deletionPending\":false}},\"spec\":{},\"status\":null}}",
            self.name,
            self.spec.as_deref().unwrap_or("null"),
            rev = self.revision
        )
    }
}

#[derive(Default)]
struct State {
    changes: Vec<Change>,
    /// Machines that get no answers.
    silent: Vec<bool>,
    /// Watches of the list of servers that wait now, by machine.
    watches: Vec<usize>,
}

impl State {
    fn revision(&self) -> u64 {
        self.changes.last().map_or(1, |change| change.revision)
    }
}

/// Store that serves until the process ends.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts the store with one address for each machine.
    pub fn start(machines: usize) -> io::Result<(Arc<Self>, Vec<SocketAddr>)> {
        let state =
            State { silent: vec![false; machines], watches: vec![0; machines], ..State::default() };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let mut addresses = Vec::new();
        for machine in 0..machines {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let store = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = store.clone();
                    // A connection that breaks ends its thread.
                    thread::spawn(move || _ = store.serve(stream, machine));
                }
            });
        }
        Ok((store, addresses))
    }

    /// Writes an object; returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: String) -> Instant {
        let mut state = self.state.lock().unwrap();
        let revision = state.revision() + 1;
        let (kind, name) = (kind.to_owned(), name.to_owned());
        state.changes.push(Change { revision, kind, name, spec: Some(spec) });
        self.changed.notify_all();
        Instant::now()
    }

    /// Sets whether the store is silent to a machine.
    pub fn set_silent(&self, machine: usize, silent: bool) {
        self.state.lock().unwrap().silent[machine] = silent;
        self.changed.notify_all();
    }

    /// Returns the machines that watch the list of servers themselves.
    pub fn readers(&self) -> Vec<usize> {
        let state = self.state.lock().unwrap();
        (0..state.watches.len()).filter(|machine| state.watches[*machine] > 0).collect()
    }

    fn serve(&self, mut stream: TcpStream, machine: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = http::read(&mut stream, &mut buffer)? {
            let (path, query) = request.word().split_once('?').unwrap_or((request.word(), ""));
            let query: BTreeMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let kind = path.trim_start_matches("/jaycrank/objects/");
            let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
            let body = match number("watch") {
                Some(after) => self.watch(machine, kind, after, number("waitMs").unwrap_or(0)),
                None => self.list(machine, kind),
            };
            let Some(body) = body else {
                // The answer is lost: the connection returns nothing further.
                thread::sleep(Duration::from_secs(60));
                return Ok(());
            };
            http::respond(&mut stream, 200, &[], body.as_bytes())?;
        }
        Ok(())
    }

    fn list(&self, machine: usize, kind: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let mut objects = BTreeMap::new();
        for change in state.changes.iter().filter(|change| change.kind == kind) {
            match change.spec {
                Some(_) => objects.insert(&change.name, change.object()),
                None => objects.remove(&change.name),
            };
        }
        let items: Vec<String> = objects.into_values().collect();
        let (items, revision) = (items.join(","), state.revision());
        let body = format!("{{\"items\":[{items}],\"hasMore\":false,\"atRev\":{revision}}}");
        (!state.silent[machine]).then_some(body)
    }

    fn watch(&self, machine: usize, kind: &str, after: u64, wait_ms: u64) -> Option<String> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        let counted = usize::from(kind == "servers");
        state.watches[machine] += counted;
        let events = loop {
            if state.silent[machine] {
                state.watches[machine] -= counted;
                return None;
            }
            let news = state.changes.iter().filter(|change| change.revision > after);
            let events: Vec<String> = news
                .filter(|change| change.kind == kind)
                .map(|change| {
                    let deleted = change.spec.is_none();
                    format!("{{\"object\":{},\"deleted\":{deleted}}}", change.object())
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break events;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        };
        state.watches[machine] -= counted;
        let (events, revision) = (events.join(","), state.revision());
        Some(format!("{{\"events\":[{events}],\"atRev\":{revision}}}"))
    }
}
