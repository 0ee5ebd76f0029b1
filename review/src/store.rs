//! Stand-in for the platform's metadata store: objects with revisions, lists, watches and history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::Reader;
use crate::http::respond;
use crate::record::Record;

/// Most objects in one page of a list.
const PAGE_OBJECTS: usize = 500;

/// Change of an object: its kind, name and spec as JSON, or `None` if it was removed.
#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
    /// Number of times that waiting watches were cut off.
    cuts: u64,
}

/// Store at a loopback address.
pub struct Store {
    address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Arc<Record>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(record: Arc<Record>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State { revision: 100, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let connections = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = connections.clone();
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Self { address, shared, record }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object; the spec is JSON. Returns the milliseconds of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.change(kind, name, Some(spec))
    }

    /// Removes an object. Returns the milliseconds of the acknowledgement.
    pub fn delete(&self, kind: &str, name: &str) -> u64 {
        self.change(kind, name, None)
    }

    /// Cuts all waiting watches off.
    pub fn cut_watches(&self) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().cuts += 1;
        changed.notify_all();
        self.record.line("store: waiting watches are cut off");
    }

    fn change(&self, kind: &str, name: &str, spec: Option<&str>) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        match spec {
            Some(spec) => _ = state.objects.insert(key, (revision, spec.to_owned())),
            None => _ = state.objects.remove(&key),
        }
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let shown = spec.unwrap_or("removed").chars().take(200).collect::<String>();
        self.record.line(&format!("store: revision {revision}: {kind}/{name} {shown}"));
        state.history.push(Change { revision, kind, name, spec: spec.map(str::to_owned) });
        changed.notify_all();
        self.record.now_ms()
    }
}

fn serve(stream: TcpStream, shared: &(Mutex<State>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = Reader::new(reading);
    while let Ok(Some(request)) = reader.next() {
        let Some(body) = answer(&request, shared) else { return };
        let json = [("content-type", "application/json".to_owned())];
        if respond(&stream, "200 OK", &json, body.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns the body of the answer, or `None` if the connection is cut off instead.
fn answer(request: &Message, (state, changed): &(Mutex<State>, Condvar)) -> Option<String> {
    let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
    let kind = path.trim_start_matches("/jaycrank/objects/");
    let parameter = |name: &str| {
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)
    };
    let mut state = state.lock().unwrap();
    let Some((_, after)) = parameter("watch") else {
        let after = parameter("after").map_or("", |(_, after)| after);
        return Some(list(&state, kind, after));
    };
    let after: u64 = after.parse().unwrap_or(0);
    let wait_ms = parameter("waitMs").and_then(|(_, wait)| wait.parse().ok()).unwrap_or(0);
    let (started, cuts) = (Instant::now(), state.cuts);
    let wait = Duration::from_millis(wait_ms);
    loop {
        let news = |change: &&Change| change.revision > after && change.kind == kind;
        let events: Vec<String> = state.history.iter().filter(news).map(event).collect();
        if !events.is_empty() || started.elapsed() >= wait {
            let revision = state.revision;
            return Some(format!("{{\"events\":[{}],\"atRev\":{revision}}}", events.join(",")));
        }
        if state.cuts > cuts {
            return None;
        }
        state = changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
    }
}

fn list(state: &State, kind: &str, after: &str) -> String {
    let of_kind = |((known, name), _): &(&(String, String), &(u64, String))| {
        known == kind && name.as_str() > after
    };
    let mut items: Vec<String> = state
        .objects
        .iter()
        .filter(of_kind)
        .map(|((_, name), (revision, spec))| object(name, *revision, spec))
        .collect();
    let has_more = items.len() > PAGE_OBJECTS;
    items.truncate(PAGE_OBJECTS);
    let (items, revision) = (items.join(","), state.revision);
    format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"atRev\":{revision}}}")
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{revision},\"createdRev\":1,\"finalizers\":[],\
         \"deletionPending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn event(change: &Change) -> String {
    let spec = change.spec.as_deref().unwrap_or("null");
    let (object, deleted) = (object(&change.name, change.revision, spec), change.spec.is_none());
    format!("{{\"object\":{object},\"deleted\":{deleted}}}")
}
