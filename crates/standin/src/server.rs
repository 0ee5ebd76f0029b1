//! Stand-in for an HTTP leaf that can violate the protocol, since it reads and writes raw bytes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use jaycrank_gateway::header::Names;
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How a server handles the requests that follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reaction {
    /// Runs the request for this time and answers with status 200 and this body.
    Answer(Vec<u8>, Duration),
    /// Runs the request and answers with this status.
    Status(u16),
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
}

#[derive(Debug)]
struct State {
    reaction: Reaction,
    executed: Vec<Request>,
    open_connections: usize,
}

/// An HTTP leaf on loopback. Dropping it closes its listener, but no open connection.
#[derive(Debug)]
pub struct Server {
    id: SmolStr,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
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
        let state =
            Arc::new(Mutex::new(State { reaction, executed: Vec::new(), open_connections: 0 }));
        let id = SmolStr::new(id);
        let task = tokio::spawn(accept(listener, id.clone(), Arc::new(names), state.clone()));
        Ok(Self { id, address, state, task })
    }

    /// Returns the id of the server.
    pub fn id(&self) -> &SmolStr {
        &self.id
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the server handles the requests that follow.
    pub fn set_reaction(&self, reaction: Reaction) {
        lock(&self.state).reaction = reaction;
    }

    /// Returns the requests that the server has run, in the order of their arrival.
    pub fn executed(&self) -> Vec<Request> {
        lock(&self.state).executed.clone()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        lock(&self.state).open_connections
    }
}

async fn accept(listener: TcpListener, id: SmolStr, names: Arc<Names>, state: Arc<Mutex<State>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (id, names, state) = (id.clone(), names.clone(), state.clone());
        tokio::spawn(async move {
            lock(&state).open_connections += 1;
            // The peer may close the connection at any moment.
            let _ = serve(stream, &id, &names, &state).await;
            lock(&state).open_connections -= 1;
        });
    }
}

/// Serves one connection. A request meant for another leaf gets status 421.
async fn serve(
    mut stream: TcpStream,
    id: &str,
    names: &Names,
    state: &Mutex<State>,
) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await? {
        let reaction = lock(state).reaction.clone();
        let request_id =
            request.headers.get(names.request_id.as_str()).cloned().unwrap_or_default();
        let matching = headers(names, id, &request_id);
        let mismatched = headers(names, id, "another");
        let not_run = format!("{matching}{}: 1\r\n", names.not_run);
        let expected = request.headers.get(names.expected_leaf.as_str());
        let expected = expected.is_none_or(|expected| expected == id);
        if !expected {
            stream.write_all(&response(421, b"", "")).await?;
            continue;
        }
        if let Reaction::Reject(status) = reaction {
            stream.write_all(&response(status, b"", &not_run)).await?;
            continue;
        }
        lock(state).executed.push(request);
        match reaction {
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
                stream.write_all(&response(status, b"failure", &matching)).await?;
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
    Ok(Some(Request { target, headers, body }))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
