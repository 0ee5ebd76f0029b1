//! Messages between instances. A message is a version byte, a kind byte and a MessagePack body.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Cursor;
use std::net::SocketAddr;

use bytes::Bytes;
use jaycrank_policy::quarantine::Fingerprint;
use jaycrank_policy::quarantine::Observation;
use jaycrank_policy::quarantine::Observations;
use jaycrank_settings::Rank;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;
use serde::de::Visitor;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use strum::Display;

/// Version of the message format. Messages of any other version are rejected.
pub const VERSION: u8 = 1;

/// Maximum nesting depth of a body. The deepest message needs 7 levels.
const NESTING_DEPTH_MAX: usize = 16;

/// Incarnation of an instance, which increases with each start.
pub type Incarnation = u64;

/// Key of a document.
pub type Key = SmolStr;

/// Revision of a document. A higher revision replaces a lower one.
pub type Revision = u64;

/// Failure to encode or decode a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The message is too short for the version and kind bytes.
    Truncated,
    /// The message has an unsupported version.
    Version(u8),
    /// The message has a kind other than the expected one.
    Kind(u8),
    /// The message exceeds the maximum size of its kind.
    TooLarge {
        /// Size of the message, in bytes.
        bytes: usize,
        /// Maximum size of its kind, in bytes.
        max: usize,
    },
    /// The body can't be encoded or decoded as a message of its kind.
    Malformed(SmolStr),
    /// This number of bytes follow the body.
    Trailing(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("message without version and kind"),
            Self::Version(version) => write!(f, "message version {version}; accepted: {VERSION}"),
            Self::Kind(kind) => write!(f, "unexpected message kind {kind}"),
            Self::TooLarge { bytes, max } => {
                write!(f, "message of {bytes} bytes; accepted: at most {max}")
            }
            Self::Malformed(cause) => write!(f, "malformed message: {cause}"),
            Self::Trailing(bytes) => write!(f, "{bytes} bytes after the message"),
        }
    }
}

impl std::error::Error for Error {}

/// Message type with its kind and size limit.
pub trait Message: Serialize + DeserializeOwned {
    /// Kind, which is the second byte of the message.
    const KIND: u8;

    /// Maximum encoded size, in bytes.
    const BYTES_MAX: usize;
}

/// Encodes a message.
///
/// # Errors
///
/// [`Error::TooLarge`] if the message exceeds the maximum size of its kind.
pub fn encode<T: Message>(message: &T) -> Result<Bytes, Error> {
    let mut bytes = vec![VERSION, T::KIND];
    rmp_serde::encode::write(&mut bytes, message)
        .map_err(|error| Error::Malformed(format_smolstr!("{error}")))?;
    if bytes.len() > T::BYTES_MAX {
        return Err(Error::TooLarge { bytes: bytes.len(), max: T::BYTES_MAX });
    }
    Ok(bytes.into())
}

/// Decodes a message from untrusted bytes.
///
/// # Errors
///
/// See [`Error`].
pub fn decode<T: Message>(bytes: &[u8]) -> Result<T, Error> {
    let [version, kind, body @ ..] = bytes else { return Err(Error::Truncated) };
    if *version != VERSION {
        return Err(Error::Version(*version));
    }
    if *kind != T::KIND {
        return Err(Error::Kind(*kind));
    }
    if bytes.len() > T::BYTES_MAX {
        return Err(Error::TooLarge { bytes: bytes.len(), max: T::BYTES_MAX });
    }
    let mut decoder = rmp_serde::Deserializer::new(Cursor::new(body));
    decoder.set_max_depth(NESTING_DEPTH_MAX);
    let message = T::deserialize(&mut decoder)
        .map_err(|error| Error::Malformed(format_smolstr!("{error}")))?;
    let read = usize::try_from(decoder.get_ref().position()).unwrap_or(usize::MAX);
    match body.len().saturating_sub(read) {
        0 => Ok(message),
        rest => Err(Error::Trailing(rest)),
    }
}

/// Lifecycle state that an instance announces. It only moves forward.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Fetches its documents and receives no work yet.
    Starting,
    /// Receives work.
    Ready,
    /// Completes the work in progress and receives no more.
    Leaving,
}

/// Identity and addresses of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Incarnation, higher with each start.
    pub incarnation: Incarnation,
    /// Lifecycle state.
    pub state: State,
    /// Address of the listener for other instances.
    pub address: SocketAddr,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Region.
    pub region: SmolStr,
}

/// Smoothed rate of the queries that a member offers at one instance, in queries per second.
pub type Demand = f32;

/// Values by service, rank and member.
pub type ByMember<T> = BTreeMap<SmolStr, BTreeMap<Rank, BTreeMap<SmolStr, T>>>;

/// Data of the instance that a heartbeat carries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sections {
    /// Demand at the sender by service, rank and member.
    pub demand: ByMember<Demand>,
    /// Requests suspected of crashing servers, by fingerprint.
    pub suspected: Observations,
    /// Claim partitions that the sender owns, with the epoch of its ownership.
    pub epochs: BTreeMap<u32, u64>,
}

/// Changes of [`Sections`] since an earlier heartbeat; `None` removes an entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Changes of the demand.
    pub demand: ByMember<Option<Demand>>,
    /// Changes of the suspected requests.
    pub suspected: BTreeMap<Fingerprint, Option<Observation>>,
    /// Changes of the claim partitions.
    pub epochs: BTreeMap<u32, Option<u64>>,
}

/// Heartbeat, which is both the request and the reply of an exchange between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Identity,
    /// Digest of the peers that the sender knows.
    pub peers_digest: u64,
    /// Some of these peers; empty if the receiver has the same digest.
    pub peers: Vec<Identity>,
    /// Digest of the revisions of the sender's documents.
    pub documents_digest: u64,
    /// Revisions of the documents; empty if the receiver has the same digest.
    pub documents: BTreeMap<Key, Revision>,
    /// Number of the heartbeat, which increases within an incarnation of the sender; 0 if no later
    /// heartbeat can use it as base.
    pub number: u64,
    /// Highest number that the sender has received from the receiver, as an acknowledgement.
    pub seen: u64,
    /// Number of the heartbeat whose sections `patch` changes; 0 if it changes empty sections.
    pub base: u64,
    /// Changes of the sections.
    pub patch: Patch,
}

/// Request for all documents above the given revisions. An absent key counts as revision 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Revisions of the documents that the sender has.
    pub above: BTreeMap<Key, Revision>,
}

/// Replicated document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Key that identifies the document.
    pub key: Key,
    /// Revision of the value; a higher one replaces it.
    pub revision: Revision,
    /// Encoded content.
    pub value: Blob,
}

/// Reply to [`Pull`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullReply {
    /// Documents above the requested revisions.
    pub documents: Vec<Document>,
    /// Whether documents were omitted because of the size limit; another pull returns them.
    pub more: bool,
}

/// Non-idempotent request that is forwarded to the owner of its claim partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Claim partition of the request id.
    pub partition: u32,
    /// Member that sent the request.
    pub member: SmolStr,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Request in an encoding that the [`Handler`](crate::Handler) defines.
    pub query: Blob,
}

/// Query that is forwarded to another cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Member that sent the query.
    pub member: SmolStr,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Query in an encoding that the [`Handler`](crate::Handler) defines.
    pub query: Blob,
}

/// Reply to [`Claim`] and [`Forward`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the response to the caller.
    pub status: u16,
    /// Body of the response to the caller.
    pub body: Blob,
}

impl Message for Heartbeat {
    const KIND: u8 = 1;
    const BYTES_MAX: usize = 256 << 10;
}

impl Message for Pull {
    const KIND: u8 = 2;
    const BYTES_MAX: usize = 1 << 20;
}

impl Message for PullReply {
    const KIND: u8 = 3;
    const BYTES_MAX: usize = 16 << 20;
}

impl Message for Claim {
    const KIND: u8 = 4;
    const BYTES_MAX: usize = (1 << 20) + (16 << 10);
}

impl Message for Forward {
    const KIND: u8 = 5;
    const BYTES_MAX: usize = (1 << 20) + (16 << 10);
}

impl Message for Outcome {
    const KIND: u8 = 6;
    const BYTES_MAX: usize = 16 << 20;
}

/// Bytes that are encoded as a byte string instead of a sequence of integers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ByteString;

        impl Visitor<'_> for ByteString {
            type Value = Blob;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a byte string")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Blob, E> {
                Ok(Blob(Bytes::copy_from_slice(bytes)))
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Blob, E> {
                Ok(Blob(bytes.into()))
            }
        }

        deserializer.deserialize_byte_buf(ByteString)
    }
}
