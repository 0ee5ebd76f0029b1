//! Network link from one instance to one leaf, which can be cut.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// Connections that a listener accepts without an accept call while it hangs. The kernel adds one.
const BACKLOG: u32 = 1;
/// Connections that fill the backlog, so that further ones hang.
const FILLING_CONNECTIONS: usize = 3;

/// Interval at which a port is bound again and an ended target is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a connection to an ended target waits until new ones are refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
/// Connections that may report the end of the target at a time.
const ENDS_MAX: usize = 64;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Passes all bytes.
    #[default]
    Open,
    /// Loses all bytes, and new connections are never established.
    Hang,
    /// Open connections are reset and new ones refused.
    Reset,
    /// Open connections live on and new ones are refused.
    RefuseNew,
}

/// TCP proxy to one address. Dropping it closes all connections.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<State>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts an open link to `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(State::Open);
        let task = tokio::spawn(run(listener, address, target, states));
        Ok(Self { address, state, task })
    }

    /// Returns the address at which the link accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state, also for open connections.
    pub fn set_state(&self, state: State) {
        self.state.send_replace(state);
    }
}

/// Binds the listener again that a previous state has closed.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        let bound = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(BACKLOG)
        });
        match bound {
            Ok(listener) => return listener,
            Err(_) => sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn run(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut states: watch::Receiver<State>,
) {
    let connections = Arc::new(Mutex::new(JoinSet::new()));
    let (ended, mut ends) = mpsc::channel(ENDS_MAX);
    let mut listener = Some(listener);
    loop {
        let state = *states.borrow_and_update();
        match state {
            State::Open => {
                let bound = match listener.take() {
                    Some(bound) => bound,
                    None => bind(address).await,
                };
                tokio::select! {
                    () = accept(&bound, target, states.clone(), &connections, &ended) => {}
                    changed = states.changed() => if changed.is_err() { return },
                    Some(refuses) = ends.recv() => {
                        drop(bound);
                        // The connection may have given up waiting.
                        let _ = refuses.send(());
                        while TcpStream::connect(target).await.is_err() {
                            sleep(RETRY_INTERVAL).await;
                        }
                        continue;
                    }
                }
                listener = Some(bound);
            }
            State::Hang => {
                listener = None;
                let _full = bind(address).await;
                let filling: Vec<_> = (0..FILLING_CONNECTIONS)
                    .map(|_| tokio::spawn(TcpStream::connect(address)))
                    .collect();
                let changed = states.changed().await;
                filling.iter().for_each(JoinHandle::abort);
                if changed.is_err() {
                    return;
                }
            }
            State::Reset | State::RefuseNew => {
                listener = None;
                if state == State::Reset {
                    lock(&connections).abort_all();
                }
                if states.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    states: watch::Receiver<State>,
    connections: &Mutex<JoinSet<()>>,
    ended: &mpsc::Sender<oneshot::Sender<()>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let ended = ended.clone();
        let served = serve(stream, target, states.clone());
        lock(connections).spawn(async move {
            let client = served.await;
            if TcpStream::connect(target).await.is_err() {
                // The target has ended: new connections are refused before this one is closed, as
                // without a link.
                let (refuses, refused) = oneshot::channel();
                let _ = ended.try_send(refuses);
                let _ = timeout(REFUSAL_TIMEOUT, refused).await;
            }
            drop(client);
        });
    }
}

/// Passes bytes until one side closes; returns the connection to the client.
async fn serve(
    client: TcpStream,
    target: SocketAddr,
    states: watch::Receiver<State>,
) -> (OwnedReadHalf, OwnedWriteHalf) {
    let Ok(server) = TcpStream::connect(target).await else { return client.into_split() };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let (mut client_read, mut client_write) = (client_read, client_write);
    let (mut server_read, mut server_write) = (server_read, server_write);
    tokio::select! {
        () = pass(&mut client_read, &mut server_write, states.clone()) => {}
        () = pass(&mut server_read, &mut client_write, states) => {}
    }
    (client_read, client_write)
}

/// Copies bytes. Those that arrive while the link hangs are kept until it is open again, as TCP
/// repeats them.
async fn pass(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut states: watch::Receiver<State>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
        if states.wait_for(|state| *state != State::Hang).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

fn lock(connections: &Mutex<JoinSet<()>>) -> MutexGuard<'_, JoinSet<()>> {
    connections.lock().unwrap_or_else(PoisonError::into_inner)
}
