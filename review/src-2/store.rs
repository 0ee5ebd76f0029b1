//! Stand-in for the platform's store: objects with revisions, lists and watches.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::lock;

struct Object {
    spec: String,
    revision: u64,
    created: u64,
}

struct Event {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// Store that serves on loopback. It keeps its whole history.
pub struct Store {
    address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn render(name: &str, spec: &str, revision: u64, created: u64) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{revision},\"createdRev\":{created},\
         \"finalizers\":[],\"deletionPending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = Mutex::new(State { revision: 100, ..State::default() });
        let store =
            Arc::new(Self { address: listener.local_addr()?, state, changed: Condvar::new() });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                // A caller may close its connection at any moment.
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object; returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: String) -> Instant {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(revision, |object| object.created);
        let object = render(name, &spec, revision, created);
        state.events.push(Event { revision, kind: kind.into(), object, deleted: false });
        state.objects.insert(key, Object { spec, revision, created });
        self.changed.notify_all();
        Instant::now()
    }

    /// Replaces the spec of an entry of which only the number of the report has changed. That is no
    /// change of the entry.
    pub fn beat(&self, kind: &str, name: &str, spec: String) {
        let mut state = lock(&self.state);
        if let Some(object) = state.objects.get_mut(&(kind.to_owned(), name.to_owned())) {
            object.spec = spec;
        }
    }

    /// Removes an object; returns the time of the acknowledgement.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        let mut state = lock(&self.state);
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            let revision = state.revision;
            let object = render(name, &object.spec, revision, object.created);
            state.events.push(Event { revision, kind: kind.into(), object, deleted: true });
        }
        self.changed.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let target = request.start.get(1).cloned().unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let kind = path.trim_start_matches("/jaycrank/objects/");
            let value = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
            };
            let number = |name: &str| value(name).and_then(|value| value.parse::<u64>().ok());
            let body = match number("watch") {
                Some(after) => {
                    let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                    self.watch(kind, after, wait)
                }
                None => self.list(kind),
            };
            let length = body.len();
            write!(
                writer,
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
            )?;
        }
        Ok(())
    }

    fn list(&self, kind: &str) -> String {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((own, _), _)| own == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), object)| render(name, &object.spec, object.revision, object.created))
            .collect();
        let revision = state.revision;
        format!("{{\"items\":[{}],\"hasMore\":false,\"atRev\":{revision}}}", items.join(","))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.kind == kind)
                .map(|event| {
                    format!("{{\"object\":{},\"deleted\":{}}}", event.object, event.deleted)
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return format!("{{\"events\":[{}],\"atRev\":{revision}}}", events.join(","));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
