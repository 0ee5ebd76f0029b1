//! Bounds on what a peer may make a connection read: in one turn of its task, and without content.
//!
//! A peer that sends in pieces which cost more to parse than to send, such as interim responses, would
//! hold the thread on which all connections are served.

use std::fmt;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::task::yield_now;

/// Bytes that a connection reads before other tasks run.
const TURN_BYTES: usize = 16 << 10;
/// Bytes of a message beyond its content, and beyond the bytes that its content allows: heads, chunk
/// sizes, trailers, and what is read ahead.
const OVERHEAD_BYTES_MAX: u64 = 64 << 10;

/// Bytes that a message may have.
#[derive(Debug)]
pub struct Meter {
    /// Bytes that each byte of content allows, itself included.
    bytes_per_content: u64,
    received: AtomicU64,
    content: AtomicU64,
}

/// A message has too many bytes for its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded;

impl fmt::Display for Exceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many bytes without content")
    }
}

impl std::error::Error for Exceeded {}

impl Meter {
    /// Creates a meter of messages in which each byte of content allows so many bytes, itself included.
    pub fn new(bytes_per_content: u64) -> Self {
        Self { bytes_per_content, received: AtomicU64::new(0), content: AtomicU64::new(0) }
    }

    /// Starts to count another message.
    pub fn reset(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.content.store(0, Ordering::Relaxed);
    }

    /// Returns the bytes that were received of the message.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed) as usize
    }

    fn receive(&self, bytes: usize) -> Result<(), Exceeded> {
        let received = self.received.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        let content = self.content.load(Ordering::Relaxed);
        let received_max = OVERHEAD_BYTES_MAX.saturating_add(content * self.bytes_per_content);
        if received <= received_max { Ok(()) } else { Err(Exceeded) }
    }
}

/// Stream whose messages are metered.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Arc<Meter>,
    /// Bytes that were read in this turn.
    turn: usize,
}

impl<S> Metered<S> {
    /// Meters what is read from `stream`.
    pub fn new(stream: S, meter: Arc<Meter>) -> Self {
        Self { stream, meter, turn: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            // Wakes this task after the others that can run, and after new events are polled.
            return pin!(yield_now()).poll(context).map(Ok);
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.turn = 0;
        }
        ready!(read)?;
        let bytes = buffer.filled().len() - before;
        self.turn += bytes;
        let received = self.meter.receive(bytes);
        Poll::Ready(received.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Body whose content counts in the meter of its connection.
#[derive(Debug)]
pub struct Content<'a, B> {
    body: B,
    meter: &'a Meter,
}

impl<'a, B> Content<'a, B> {
    /// Counts the content of `body`.
    pub fn new(body: B, meter: &'a Meter) -> Self {
        Self { body, meter }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Content<'_, B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.meter.content.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
