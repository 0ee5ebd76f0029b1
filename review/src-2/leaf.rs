//! Stand-in for a leaf, which registers itself in the store.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::record::Record;
use crate::record::lock;
use crate::store::Store;

/// Interval at which a leaf writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Pause between two looks at the listener.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// Time for which a leaf works on a request.
const WORK: Duration = Duration::from_millis(10);
/// Time for which a leaf that crashed is down.
const DOWNTIME: Duration = Duration::from_millis(2_500);
/// Text in the path, or name of the caller, of a request that crashes the leaf which begins to run it.
pub const DEADLY: &str = "deadly";

/// One request that a leaf began to run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub leaf: String,
    pub request: String,
}

/// Runs and crashes of all leafs.
#[derive(Default)]
pub struct Runs {
    /// Whether a leaf that crashes goes dark: its connections stay silent until it is back.
    pub dark: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    pub crashes: Mutex<Vec<(Instant, String)>>,
}

struct Shared {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    store: Arc<Store>,
    record: Arc<Record>,
    runs: Arc<Runs>,
    state: Mutex<State>,
}

struct State {
    /// Open connections, which end with the process.
    connections: Vec<TcpStream>,
    /// Whether the process is to end.
    crashed: bool,
    running: bool,
    /// Whether the leaf has left for good.
    gone: bool,
    born: u128,
    seq: u64,
}

/// A leaf on loopback.
pub struct Leaf(Arc<Shared>);

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

impl Leaf {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Runs>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.1.0.1:0")?;
        let state = State {
            connections: Vec::new(),
            crashed: false,
            running: true,
            gone: false,
            born: unix_ms(),
            seq: 1,
        };
        let shared = Arc::new(Shared {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr()?,
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
            state: Mutex::new(state),
        });
        shared.register();
        let serving = shared.clone();
        thread::spawn(move || serving.run(listener));
        let beating = shared.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        Ok(Self(shared))
    }

    /// Leaves without having reported that it drains: the entry is removed, and the leaf serves for
    /// `linger` more. Returns the id and the time of the store's acknowledgement.
    pub fn leave(self, linger: Duration) -> (String, Instant) {
        let shared = self.0;
        lock(&shared.state).running = false;
        let acked = shared.store.remove("servers", &shared.id);
        let id = shared.id.clone();
        shared.record.note_at(acked, format!("leaf {id} is removed from the store"));
        thread::spawn(move || {
            thread::sleep(linger);
            let mut state = lock(&shared.state);
            state.gone = true;
            state.crashed = true;
        });
        (id, acked)
    }
}

impl Shared {
    fn spec(&self) -> String {
        let Self { service, address, zone, .. } = self;
        let state = lock(&self.state);
        let (born, seq) = (state.born, state.seq);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\
             \"born\":{born}}}"
        )
    }

    /// Writes the entry of a new incarnation.
    fn register(&self) {
        self.store.put("servers", &self.id, self.spec());
    }

    fn beat(&self) {
        let running = {
            let mut state = lock(&self.state);
            state.seq += 1;
            state.running
        };
        if running {
            self.store.beat("servers", &self.id, self.spec());
        }
    }

    /// Serves until the process of the leaf ends, and starts it again.
    fn run(self: &Arc<Self>, mut listener: TcpListener) {
        loop {
            // The listener is looked at in turns, so that it can be closed.
            listener.set_nonblocking(true).expect("the listener takes a mode");
            while !lock(&self.state).crashed {
                match listener.accept() {
                    Ok((stream, _)) => self.start_connection(stream),
                    Err(_) => thread::sleep(ACCEPT_PAUSE),
                }
            }
            let gone = lock(&self.state).gone;
            let dark = self.runs.dark.load(Ordering::SeqCst) && !gone;
            self.record.note(format!("leaf {} {}", self.id, if gone { "ends" } else { "crashed" }));
            if dark {
                // Nothing is accepted, answered or closed until the leaf is back.
                thread::sleep(DOWNTIME);
            }
            drop(listener);
            for connection in std::mem::take(&mut lock(&self.state).connections) {
                // The peer may have closed it.
                let _ = connection.shutdown(Shutdown::Both);
            }
            if gone {
                return;
            }
            if !dark {
                thread::sleep(DOWNTIME);
            }
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(ACCEPT_PAUSE),
                }
            };
            {
                let mut state = lock(&self.state);
                state.crashed = false;
                state.running = true;
                state.born = unix_ms();
                state.seq = 1;
            }
            self.register();
            self.record.note(format!("leaf {} is back", self.id));
        }
    }

    fn start_connection(self: &Arc<Self>, stream: TcpStream) {
        let Ok(kept) = stream.try_clone() else { return };
        lock(&self.state).connections.push(kept);
        let shared = self.clone();
        // The peer may close the connection at any moment.
        thread::spawn(move || drop(shared.serve(stream)));
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let id = request.header("jaycrank-request-id").to_owned();
            let expected = request.header("jaycrank-expect-instance");
            if !expected.is_empty() && expected != self.id {
                write!(
                    writer,
                    "HTTP/1.1 421 Misdirected\r\njaycrank-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                )?;
                continue;
            }
            if lock(&self.state).crashed {
                // The connection is still open in the list of the leaf.
                return Ok(());
            }
            let path = request.start.get(1).cloned().unwrap_or_default();
            let run = Run { at: Instant::now(), leaf: self.id.clone(), request: id.clone() };
            self.record
                .note_at(run.at, format!("run {id} {path} by {} of {}", self.id, self.service));
            lock(&self.runs.runs).push(run);
            if path.contains(DEADLY) || request.header("x-caller") == DEADLY {
                let mut state = lock(&self.state);
                if !state.crashed {
                    lock(&self.runs.crashes).push((Instant::now(), self.id.clone()));
                }
                state.crashed = true;
                state.running = false;
                return Ok(());
            }
            thread::sleep(WORK);
            let leaf = &self.id;
            write!(
                writer,
                "HTTP/1.1 200 OK\r\njaycrank-request-id: {id}\r\njaycrank-response-stamp: {leaf}.{id}\r\n\
                 jaycrank-server-load: 1,0,3\r\ncontent-length: 2\r\n\r\nok"
            )?;
        }
        Ok(())
    }
}
