//! Stream that observes whether the client reads what is sent.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use jaycrank_policy::clients::Client;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Connection of a client.
pub(crate) struct Observed {
    stream: TcpStream,
    client: Arc<Client>,
    is_blocked: bool,
    /// Whether bytes were written since the last flush.
    is_written: bool,
}

impl Observed {
    /// Observes `stream`, the connection of `client`.
    pub(crate) fn new(stream: TcpStream, client: Arc<Client>) -> Self {
        Self { stream, client, is_blocked: false, is_written: false }
    }

    fn record<T>(&mut self, written: &Poll<T>) {
        let is_blocked = written.is_pending();
        self.is_written |= !is_blocked;
        if is_blocked != self.is_blocked {
            self.is_blocked = is_blocked;
            self.client.record_blocked(is_blocked, Instant::now().into_std());
        }
    }
}

impl AsyncRead for Observed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Observed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Flushing follows after all bytes are written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if self.is_written && flushed.is_ready() {
            self.is_written = false;
            self.client.record_sent(Instant::now().into_std());
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
