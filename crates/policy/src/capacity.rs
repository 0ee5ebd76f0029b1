//! Division of a process's memory and descriptors among what it holds.

/// Memory of a process that states none, in bytes.
const MEMORY_DEFAULT: usize = 256 << 20;
/// Descriptors of a process that states none.
const DESCRIPTORS_DEFAULT: usize = 4_096;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Parts of the memory, in sixteenths. The others are for routes, leafs and the connections to them.
const CONNECTION_SIXTEENTHS: usize = 3;
const REQUEST_SIXTEENTHS: usize = 4;
const ANSWER_SIXTEENTHS: usize = 3;
const MESSAGE_SIXTEENTHS: usize = 1;
/// Parts of the descriptors of sockets, in sixteenths. The others are for probes, for connections to
/// other instances and to the catalog.
const CALLER_SIXTEENTHS: usize = 6;
const PEER_SIXTEENTHS: usize = 2;
const LEAF_SIXTEENTHS: usize = 6;
/// Memory that a connection takes beside its bodies, in bytes: its buffers, its head, its task, and
/// what the system holds of it.
const CONNECTION_BYTES: usize = 20 << 10;
/// Bytes that the system holds of what a connection has received and the process has not read.
pub const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Memory that a request takes for each shard while it waits for the answer, in bytes.
const SHARD_BYTES: usize = 9 << 10;
/// Connections of a listener for probes and metrics.
const PROBE_CONNECTIONS: usize = 32;
/// Fewest connections of a listener.
const CONNECTIONS_MIN: usize = 8;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    memory: usize,
    descriptors: usize,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { memory: MEMORY_DEFAULT, descriptors: DESCRIPTORS_DEFAULT }
    }
}

impl Capacity {
    /// Sets the memory, in bytes.
    pub fn with_memory(mut self, bytes: usize) -> Self {
        self.memory = bytes;
        self
    }

    /// Sets the number of descriptors, those of files included.
    pub fn with_descriptors(mut self, descriptors: usize) -> Self {
        self.descriptors = descriptors;
        self
    }

    /// Returns the most connections of callers.
    pub fn caller_connections(&self) -> usize {
        let each = CONNECTION_BYTES + RECEIVE_BUFFER_BYTES;
        let by_memory = sixteenths(self.memory, CONNECTION_SIXTEENTHS) / each;
        by_memory.min(self.sockets(CALLER_SIXTEENTHS)).max(CONNECTIONS_MIN)
    }

    /// Returns the most connections of other instances.
    pub fn peer_connections(&self) -> usize {
        self.sockets(PEER_SIXTEENTHS).max(CONNECTIONS_MIN)
    }

    /// Returns the most connections to leafs, over all leafs.
    pub fn leaf_connections(&self) -> usize {
        self.sockets(LEAF_SIXTEENTHS).max(CONNECTIONS_MIN)
    }

    /// Returns the most connections for probes or metrics.
    pub fn probe_connections(&self) -> usize {
        PROBE_CONNECTIONS
    }

    /// Returns the memory for requests, in bytes: their bodies, and what they hold while they run.
    pub fn request_bytes(&self) -> usize {
        sixteenths(self.memory, REQUEST_SIXTEENTHS)
    }

    /// Returns the memory for answers until they are sent, in bytes.
    pub fn answer_bytes(&self) -> usize {
        sixteenths(self.memory, ANSWER_SIXTEENTHS)
    }

    /// Returns the memory for messages of other instances, in bytes.
    pub fn message_bytes(&self) -> usize {
        sixteenths(self.memory, MESSAGE_SIXTEENTHS)
    }

    fn sockets(&self, parts: usize) -> usize {
        sixteenths(self.descriptors.saturating_sub(FILE_DESCRIPTORS), parts)
    }
}

/// Returns the memory that a request takes while it runs, beside its body: for each of the `shards` that
/// it is sent to, a copy of the head among other things.
pub fn running_bytes(shards: usize, head_bytes: usize) -> usize {
    shards.saturating_mul(SHARD_BYTES + 2 * head_bytes)
}

fn sixteenths(whole: usize, parts: usize) -> usize {
    whole / 16 * parts
}
