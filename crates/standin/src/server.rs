//! Stand-in for an HTTP leaf that can violate the protocol, since it reads and writes raw bytes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use jaycrank_gateway::header::Names;
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Interval at which a crashed server tries to listen again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// How a server handles the requests that follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reaction {
    /// Runs the request for this time and answers with status 200 and this body.
    Answer(Vec<u8>, Duration),
    /// Runs the request and answers with this status.
    Status(u16),
    /// Runs the request and answers with this first line, which may not be one of HTTP.
    FirstLine(&'static str),
    /// Rejects the request with this status, without running it.
    Reject(u16),
    /// Runs the request and closes the connection.
    Close,
    /// Runs the request and closes the connection within the body of the response.
    Truncate,
    /// Runs the request and sends bytes that are not an HTTP response.
    Garbage,
    /// Runs the request and answers with the id of another request.
    WrongId,
    /// Runs the request, answers with this body and sends a second response, for another request.
    Extra(Vec<u8>),
    /// Runs the request and answers with this body, whose end is the end of the connection.
    CloseDelimited(Vec<u8>),
    /// Runs the request and never answers.
    Hang,
    /// Runs the request and sends bytes of this kind until the connection closes.
    Endless(Endless),
}

/// Part of a response that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Header lines.
    Head,
    /// A single header line.
    HeadLine,
    /// A body without a length.
    Body,
    /// Chunks of a body.
    Chunks,
    /// A single chunk, whose size is the largest that can be stated.
    Chunk,
    /// A body of bytes that are sent one by one, with a pause after each.
    SlowBody,
    /// Chunks of one byte.
    Bytes,
    /// The extension of a chunk.
    Extension,
    /// Fields after a body.
    Trailers,
    /// Heads of interim responses.
    Interim,
    /// Empty lines before a head.
    BlankLines,
    /// Bytes that are no head.
    Noise,
    /// A header line that stops short of its end, so that the head waits for the rest.
    StoppedHead,
}

/// Bytes of an endless part that are written at a time.
const ENDLESS_WRITE_BYTES: usize = 16 << 10;
/// Length of [`Endless::StoppedHead`], in bytes.
const STOPPED_HEAD_BYTES: usize = 384 << 10;
/// Pause after each byte of [`Endless::SlowBody`].
const SLOW_BYTE_PAUSE: Duration = Duration::from_millis(10);

impl Endless {
    /// Returns the start of the response, and the bytes that are repeated after it.
    fn parts(self) -> (&'static str, Vec<u8>) {
        let fill = |unit: &[u8]| unit.repeat(ENDLESS_WRITE_BYTES / unit.len());
        match self {
            Self::Head => ("HTTP/1.1 200 OK\r\n", fill(b"x-filler: 0123456789\r\n")),
            Self::HeadLine => ("HTTP/1.1 200 OK\r\nx-filler: ", fill(b"0")),
            Self::Body => ("HTTP/1.1 200 OK\r\n\r\n", fill(b"0")),
            Self::Chunks => {
                ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", fill(b"4\r\n0123\r\n"))
            }
            Self::Chunk => (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffff0\r\n",
                fill(b"0"),
            ),
            Self::SlowBody => ("HTTP/1.1 200 OK\r\n\r\n", vec![b'0']),
            Self::Bytes => {
                ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", fill(b"1\r\n0\r\n"))
            }
            Self::Extension => {
                ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", fill(b"0"))
            }
            Self::Trailers => {
                const START: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
                (START, fill(b"x-filler: 0123456789\r\n"))
            }
            Self::Interim => ("", fill(b"HTTP/1.1 100 Continue\r\n\r\n")),
            Self::BlankLines => ("", fill(b"\r\n")),
            Self::Noise => ("", fill(b"0")),
            Self::StoppedHead => ("HTTP/1.1 200 OK\r\nx-filler: ", fill(b"0")),
        }
    }

    /// Writes the response until the peer closes the connection.
    async fn write(self, stream: &mut TcpStream) -> std::io::Result<()> {
        let (start, repeated) = self.parts();
        stream.write_all(start.as_bytes()).await?;
        let mut written = 0;
        loop {
            if self == Self::StoppedHead && written >= STOPPED_HEAD_BYTES {
                // Returns when the peer closes the connection.
                return stream.read(&mut [0]).await.map(|_| ());
            }
            stream.write_all(&repeated).await?;
            written += repeated.len();
            if self == Self::SlowBody {
                sleep(SLOW_BYTE_PAUSE).await;
            }
        }
    }
}

/// Requests that crash a server, and how it crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Text in the request line of the requests that crash it.
    pub target: String,
    /// What the connections show.
    pub manner: Manner,
    /// Time until the server accepts connections again. If it is zero, the listener stays open, as
    /// with a supervisor that holds it, so that no connection is refused.
    pub downtime: Duration,
}

/// What the connection of a request shows when the server crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It is closed.
    Close,
    /// It is reset.
    Reset,
    /// It is closed within the body of the response.
    Partial,
}

/// A request as the server received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Request line without the protocol version, such as `GET /path`.
    pub target: String,
    /// Values of the headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Time at which the whole request had arrived.
    pub received_at: Instant,
}

#[derive(Debug)]
struct State {
    reaction: Reaction,
    executed: Vec<Request>,
    open_connections: usize,
    crash: Option<Crash>,
    crashes: u64,
    rate_limit: Option<String>,
    leaving: Option<String>,
    retry_after: Option<String>,
    arrivals: Vec<Request>,
}

/// Parts that the tasks of a server share.
#[derive(Debug)]
struct Shared {
    id: SmolStr,
    names: Names,
    state: Mutex<State>,
    /// Notified when the server is to crash.
    crashed: Notify,
}

/// Guard that counts a connection as open until it is dropped.
struct OpenGuard(Arc<Shared>);

impl OpenGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        lock(&shared.state).open_connections += 1;
        Self(shared.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        lock(&self.0.state).open_connections -= 1;
    }
}

/// An HTTP leaf on loopback. Dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Starts a server whose responses have its id as body.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(id: &str) -> std::io::Result<Self> {
        Self::start_with_names(id, Names::default()).await
    }

    /// Starts a server that uses the given header names.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start_with_names(id: &str, names: Names) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let reaction = Reaction::Answer(id.as_bytes().to_vec(), Duration::ZERO);
        let state = State {
            reaction,
            executed: Vec::new(),
            open_connections: 0,
            crash: None,
            crashes: 0,
            rate_limit: None,
            leaving: None,
            retry_after: None,
            arrivals: Vec::new(),
        };
        let state = Mutex::new(state);
        let shared = Arc::new(Shared { id: id.into(), names, state, crashed: Notify::new() });
        let task = tokio::spawn(run(listener, address, shared.clone()));
        Ok(Self { address, shared, task })
    }

    /// Returns the id of the server.
    pub fn id(&self) -> &SmolStr {
        &self.shared.id
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the server handles the requests that follow.
    pub fn set_reaction(&self, reaction: Reaction) {
        lock(&self.shared.state).reaction = reaction;
    }

    /// Sets the limit that the responses state; several values, separated by `|`, become several
    /// headers.
    pub fn set_rate_limit(&self, limit: Option<&str>) {
        lock(&self.shared.state).rate_limit = limit.map(str::to_owned);
    }

    /// Sets the value by which the responses say that the server leaves; several values, separated
    /// by `|`, become several headers.
    pub fn set_leaving(&self, value: Option<&str>) {
        lock(&self.shared.state).leaving = value.map(str::to_owned);
    }

    /// Sets the rest that responses with status 503 ask for; several values, separated by `|`, become
    /// several headers.
    pub fn set_retry_after(&self, value: Option<&str>) {
        lock(&self.shared.state).retry_after = value.map(str::to_owned);
    }

    /// Returns the requests for this server that arrived, those that it rejected included.
    pub fn arrivals(&self) -> Vec<Request> {
        lock(&self.shared.state).arrivals.clone()
    }

    /// Returns the requests that the server has run, in the order of their arrival.
    pub fn executed(&self) -> Vec<Request> {
        lock(&self.shared.state).executed.clone()
    }

    /// Sets the requests that crash the server.
    pub fn set_crash(&self, crash: Option<Crash>) {
        lock(&self.shared.state).crash = crash;
    }

    /// Crashes the server without a request; it is down for the time that
    /// [`set_crash`](Self::set_crash) set.
    pub fn crash(&self) {
        self.shared.crashed.notify_one();
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        lock(&self.shared.state).crashes
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        lock(&self.shared.state).open_connections
    }
}

/// Serves until the server is dropped. A crash closes the listener and all connections; the server
/// then starts again at the same address.
async fn run(mut listener: TcpListener, address: SocketAddr, shared: Arc<Shared>) {
    loop {
        let mut connections = accept(&listener, &shared).await;
        let downtime = {
            let mut state = lock(&shared.state);
            state.crashes += 1;
            state.crash.as_ref().map(|crash| crash.downtime).unwrap_or_default()
        };
        if downtime.is_zero() {
            end_connections(&mut connections, &shared).await;
            continue;
        }
        drop(listener);
        end_connections(&mut connections, &shared).await;
        sleep(downtime).await;
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => sleep(REBIND_INTERVAL).await,
            }
        };
    }
}

/// Accepts connections until the server crashes; returns those that are open.
async fn accept(listener: &TcpListener, shared: &Arc<Shared>) -> JoinSet<()> {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = shared.crashed.notified() => return connections,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let shared = shared.clone();
                connections.spawn(async move {
                    let _open = OpenGuard::new(&shared);
                    // The peer may close the connection at any moment.
                    let _ = serve(stream, &shared).await;
                });
            }
        }
    }
}

/// Ends all connections, as a crash does.
async fn end_connections(connections: &mut JoinSet<()>, shared: &Shared) {
    connections.shutdown().await;
    // Several requests may have caused this crash; it must not be repeated after the restart.
    let _ = timeout(Duration::ZERO, shared.crashed.notified()).await;
}

/// Serves one connection. A request meant for another leaf gets status 421.
async fn serve(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let Shared { id, names, state, crashed } = shared;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await? {
        let reaction = lock(state).reaction.clone();
        let request_id =
            request.headers.get(names.request_id.as_str()).cloned().unwrap_or_default();
        let limit = lock(state).rate_limit.clone();
        let limits = limit.iter().flat_map(|limit| limit.split('|'));
        let limits: String =
            limits.map(|limit| format!("{}: {limit}\r\n", names.rate_limit)).collect();
        let leaving = lock(state).leaving.clone();
        let leaving = leaving.iter().flat_map(|leaving| leaving.split('|'));
        let leaving: String =
            leaving.map(|value| format!("{}: {value}\r\n", names.leaving)).collect();
        let matching = headers(names, id, &request_id) + &limits + &leaving;
        let mismatched = headers(names, id, "another");
        let retry_after = lock(state).retry_after.clone();
        let retry_after = retry_after.iter().flat_map(|value| value.split('|'));
        let retry_after: String =
            retry_after.map(|value| format!("retry-after: {value}\r\n")).collect();
        let rest = |status| if status == 503 { retry_after.as_str() } else { "" };
        let not_run = format!("{matching}{}: 1\r\n", names.not_run);
        let expected = request.headers.get(names.expected_leaf.as_str());
        let expected = expected.is_none_or(|expected| expected == id.as_str());
        if !expected {
            stream.write_all(&response(421, b"", "")).await?;
            continue;
        }
        lock(state).arrivals.push(request.clone());
        if let Reaction::Reject(status) = reaction {
            stream.write_all(&response(status, b"", &(not_run + rest(status)))).await?;
            continue;
        }
        let crash = lock(state).crash.clone();
        let crash = crash.filter(|crash| request.target.contains(&crash.target));
        lock(state).executed.push(request);
        if let Some(crash) = crash {
            match crash.manner {
                Manner::Close => {}
                Manner::Reset => stream.set_zero_linger()?,
                Manner::Partial => {
                    let whole = response(200, &[7; 64], &matching);
                    stream.write_all(&whole[..whole.len() - 20]).await?;
                }
            }
            crashed.notify_one();
            // The crash aborts this task, which closes the connection.
            return std::future::pending().await;
        }
        match reaction {
            Reaction::Endless(part) => return part.write(&mut stream).await,
            Reaction::Answer(body, time) => {
                // A client that cancels the request closes the connection, which ends the work.
                let mut byte = [0];
                tokio::select! {
                    () = sleep(time) => {}
                    read = stream.read(&mut byte) => return read.map(|_| ()),
                }
                stream.write_all(&response(200, &body, &matching)).await?;
            }
            Reaction::Status(status) => {
                let headers = matching + rest(status);
                stream.write_all(&response(status, b"failure", &headers)).await?;
            }
            Reaction::FirstLine(line) => {
                let response = format!("{line}\r\n{matching}content-length: 7\r\n\r\nfailure");
                stream.write_all(response.as_bytes()).await?;
            }
            Reaction::Close => return Ok(()),
            Reaction::Truncate => {
                let whole = response(200, &[7; 64], &matching);
                stream.write_all(&whole[..whole.len() - 20]).await?;
                return Ok(());
            }
            Reaction::Garbage => {
                stream.write_all(b"\0\0 these bytes are no answer\r\n\r\n").await?
            }
            Reaction::WrongId => {
                stream.write_all(&response(200, b"foreign", &mismatched)).await?;
            }
            Reaction::Extra(body) => {
                let mut both = response(200, &body, &matching);
                both.extend(response(200, b"foreign", &mismatched));
                stream.write_all(&both).await?;
            }
            Reaction::CloseDelimited(body) => {
                let head = format!("HTTP/1.1 200 OK\r\n{matching}\r\n");
                stream.write_all(&[head.as_bytes(), &body].concat()).await?;
                return Ok(());
            }
            Reaction::Hang => {
                let mut byte = [0];
                return stream.read(&mut byte).await.map(|_| ());
            }
            Reaction::Reject(_) => {}
        }
    }
    Ok(())
}

/// Returns the headers of a response of this leaf to a request.
fn headers(names: &Names, id: &str, request_id: &str) -> String {
    let Names { request_id: name, signature, load, .. } = names;
    format!("{name}: {request_id}\r\n{signature}: {id}/{request_id}\r\n{load}: 1,0,3\r\n")
}

/// Returns a response with a content length.
fn response(status: u16, body: &[u8], headers: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Reads one request. Returns `None` if the connection ends before the request is whole.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let target = lines.next().unwrap_or_default().trim_end_matches(" HTTP/1.1").to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    let body = buffer.drain(..length).collect();
    Ok(Some(Request { target, headers, body, received_at: Instant::now() }))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
