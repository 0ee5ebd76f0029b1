//! A server whose connections, headers and times are bounded.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::Listener;
use salvo::Router;
use salvo::Server as SalvoServer;
use salvo::conn::Acceptor;
use salvo::conn::TcpListener;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use tokio::task::JoinHandle;

/// Bounds of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections open at a time; more wait in the listen queue.
    pub connections: usize,
    /// Size of all headers of a request, in bytes.
    pub header_bytes: usize,
    /// Size of a body, in bytes.
    pub body_bytes: usize,
    /// Time to send a request, first byte to last.
    pub receive_timeout: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 8_192,
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            receive_timeout: Duration::from_secs(10),
        }
    }
}

/// A running server.
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `router` in a task of its own; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: SocketAddr, router: Router, bounds: Bounds) -> io::Result<Self> {
        let acceptor = TcpListener::new(address)
            .try_bind()
            .await
            .map_err(|error| io::Error::other(error.to_string()))?;
        let address = acceptor
            .holdings()
            .first()
            .and_then(|holding| holding.local_addr.clone().into_std())
            .ok_or_else(|| io::Error::other("listener has no address"))?;
        let mut fuse = FuseConfig::default();
        fuse.http1_header_timeout = Some(bounds.receive_timeout);
        fuse.request_body_timeout = Some(bounds.receive_timeout);
        fuse.write_stall_timeout = Some(bounds.receive_timeout);
        let mut server =
            SalvoServer::new(acceptor).max_connections(bounds.connections).fuse_config(fuse);
        server.http1_mut().max_buf_size(bounds.header_bytes.max(8 << 10));
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Self { address, handle, task })
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, waits up to `grace` for requests to end, then closes all.
    pub async fn stop(self, grace: Duration) {
        self.handle.stop_graceful(grace);
        // The task ends after the grace period at the latest; it has no result.
        let _ = self.task.await;
    }

    /// Closes the listener and all connections at once.
    pub async fn abort(self) {
        self.handle.stop_forceful();
        self.task.abort();
        let _ = self.task.await;
    }
}
