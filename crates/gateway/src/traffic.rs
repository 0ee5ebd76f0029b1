//! Counts messages and bytes by kind of message and by distance.
//!
//! Each message is counted by the instance that sends the request, in both directions, so that the
//! sum over all instances has each byte once. Requests to leafs are counted with their heads,
//! messages between instances without.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;
use strum::IntoStaticStr;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::topology::Distance;

/// Kind of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Requests to leafs and their answers.
    Leafs,
    /// Polls of other instances, without what their replies contain.
    Polls,
    /// Configurations in replies to polls.
    Configurations,
    /// Entries of leafs in replies to polls.
    Entries,
    /// Lists of instances in replies to polls.
    Instances,
    /// Reports and exchanges of requests that may crash leafs.
    Suspects,
    /// Limits of leafs and their tokens.
    Tokens,
    /// Requests that are passed to other instances, and questions whether they help.
    Delegated,
}

/// Number of distances.
const DISTANCES: usize = 3;

/// Messages and bytes of one kind at one distance.
#[derive(Debug, Default)]
pub struct Counter {
    messages: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

impl Counter {
    /// Counts a message and its reply, in bytes.
    pub fn record(&self, sent: usize, received: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.sent.fetch_add(sent as u64, Ordering::Relaxed);
        self.received.fetch_add(received as u64, Ordering::Relaxed);
    }

    /// Counts a message whose bytes are counted by its connection.
    pub(crate) fn record_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a part of a received message under another kind.
    pub(crate) fn move_received(&self, other: &Self, bytes: usize) {
        let bytes = (bytes as u64).min(self.received.load(Ordering::Relaxed));
        self.received.fetch_sub(bytes, Ordering::Relaxed);
        other.messages.fetch_add(1, Ordering::Relaxed);
        other.received.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// Values of a [`Counter`], or a sum of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received in reply.
    pub received: u64,
}

/// Counts by kind and distance, in the form `kind/distance`.
pub type Counts = BTreeMap<SmolStr, Count>;

/// Counters of one instance.
#[derive(Debug, Default)]
pub struct Traffic {
    counters: [[Arc<Counter>; DISTANCES]; Kind::COUNT],
}

impl Traffic {
    /// Returns the counter of a kind of message at a distance.
    pub fn counter(&self, kind: Kind, distance: Distance) -> &Arc<Counter> {
        &self.counters[kind as usize][distance as usize]
    }

    /// Returns the counts that are not zero.
    pub fn counts(&self) -> Counts {
        let pairs =
            Kind::iter().flat_map(|kind| Distance::iter().map(move |distance| (kind, distance)));
        let counts = pairs.map(|(kind, distance)| {
            let counter = self.counter(kind, distance);
            let count = Count {
                messages: counter.messages.load(Ordering::Relaxed),
                sent: counter.sent.load(Ordering::Relaxed),
                received: counter.received.load(Ordering::Relaxed),
            };
            (name(kind, distance), count)
        });
        counts.filter(|(_, count)| *count != Count::default()).collect()
    }
}

fn name(kind: Kind, distance: Distance) -> SmolStr {
    format_smolstr!("{}/{}", <&str>::from(kind), <&str>::from(distance))
}

/// Formats counts for a log line, in the form `kind/distance=messages:sent:received`.
pub fn format_counts(counts: &Counts) -> String {
    let mut text = String::new();
    for (name, Count { messages, sent, received }) in counts {
        let separator = if text.is_empty() { "" } else { " " };
        // Writing to a string does not fail.
        let _ = write!(text, "{separator}{name}={messages}:{sent}:{received}");
    }
    text
}

/// Parses what [`format_counts`] returns; ignores what has another form.
pub fn parse_counts(text: &str) -> Counts {
    let entries = text.split_whitespace().filter_map(|entry| {
        let (name, numbers) = entry.split_once('=')?;
        let numbers: Vec<u64> =
            numbers.split(':').map(str::parse).collect::<Result<_, _>>().ok()?;
        let [messages, sent, received] = numbers[..] else { return None };
        Some((name.into(), Count { messages, sent, received }))
    });
    entries.collect()
}

/// Adds counts to a sum.
pub fn add_counts(sum: &mut Counts, counts: &Counts) {
    for (name, count) in counts {
        let total = sum.entry(name.clone()).or_default();
        total.messages += count.messages;
        total.sent += count.sent;
        total.received += count.received;
    }
}

/// Formats a table of counts, one line for each kind of message and distance.
pub fn table(counts: &Counts) -> String {
    let mut text =
        format!("{:<28}{:>12}{:>16}{:>16}\n", "KIND/DISTANCE", "MESSAGES", "SENT", "RECEIVED");
    for (name, Count { messages, sent, received }) in counts {
        let _ = writeln!(text, "{name:<28}{messages:>12}{sent:>16}{received:>16}");
    }
    text
}

/// Connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct Counted<S> {
    stream: S,
    counter: Arc<Counter>,
}

impl<S> Counted<S> {
    /// Counts the bytes of `stream`.
    pub(crate) fn new(stream: S, counter: Arc<Counter>) -> Self {
        Self { stream, counter }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.counter.sent.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        self.counter.received.fetch_add(bytes as u64, Ordering::Relaxed);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
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
