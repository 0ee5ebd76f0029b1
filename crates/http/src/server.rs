//! HTTP server with limits on connections, headers, bodies and times.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jaycrank_policy::capacity::Capacity;
use jaycrank_policy::memory::Memory;
use salvo::Listener;
use salvo::Router;
use salvo::Server as SalvoServer;
use salvo::conn::Acceptor;
use salvo::conn::TcpListener;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use tokio::task::JoinHandle;

/// Resource limits of a server.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Maximum number of open connections; further ones wait in the listen backlog.
    pub connections: usize,
    /// Maximum total size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the headers and for receiving the body of a request, and for a
    /// response whose client does not read.
    pub receive_timeout: Duration,
    /// Memory for the bodies of all requests.
    pub memory: Arc<Memory>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 8_192,
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            receive_timeout: Duration::from_secs(10),
            memory: Arc::new(Memory::new(Capacity::default().request_bytes())),
        }
    }
}

/// Running server.
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `router` in a new task. Port 0 selects any free port.
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

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, waits up to `grace` for running requests, then closes all
    /// connections.
    pub async fn stop(self, grace: Duration) {
        self.handle.stop_graceful(grace);
        // The task ends after the grace period at the latest and has no result.
        let _ = self.task.await;
    }

    /// Closes the listener and all connections without waiting for running requests.
    pub async fn abort(self) {
        self.handle.stop_forceful();
        self.task.abort();
        let _ = self.task.await;
    }
}
