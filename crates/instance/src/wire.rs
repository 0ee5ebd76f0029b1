//! Messages between instances: a version byte, a kind byte and a MessagePack body.

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

/// Version of the messages. Instances of different versions refuse each other's messages.
pub const VERSION: u8 = 1;

/// Nesting that a body may have; the deepest message needs 7 levels.
const DEPTH_MAX: usize = 16;

/// Number of a start of an instance; a later start has a higher one.
pub type Incarnation = u64;

/// Key of a document.
pub type Key = SmolStr;

/// Revision of a document; a higher one replaces a lower one.
pub type Revision = u64;

/// Bytes that were not accepted as a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The message has no version and kind.
    Truncated,
    /// The message is of another version.
    Version(u8),
    /// The message is of another kind.
    Kind(u8),
    /// The message exceeds the size of its kind, in bytes.
    TooLarge {
        /// Size of the message.
        bytes: usize,
        /// Largest size of its kind.
        max: usize,
    },
    /// The body is not of the form that the kind requires.
    Malformed(SmolStr),
    /// Bytes follow the body.
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

/// A message with its kind and size.
pub trait Message: Serialize + DeserializeOwned {
    /// Kind, the second byte of the message.
    const KIND: u8;

    /// Largest encoded size, in bytes.
    const BYTES_MAX: usize;
}

/// Encodes a message.
///
/// # Errors
///
/// [`Error::TooLarge`] if the message exceeds the size of its kind.
pub fn encode<T: Message>(message: &T) -> Result<Bytes, Error> {
    let mut bytes = vec![VERSION, T::KIND];
    rmp_serde::encode::write(&mut bytes, message)
        .map_err(|error| Error::Malformed(format_smolstr!("{error}")))?;
    if bytes.len() > T::BYTES_MAX {
        return Err(Error::TooLarge { bytes: bytes.len(), max: T::BYTES_MAX });
    }
    Ok(bytes.into())
}

/// Decodes a message from any bytes.
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
    decoder.set_max_depth(DEPTH_MAX);
    let message = T::deserialize(&mut decoder)
        .map_err(|error| Error::Malformed(format_smolstr!("{error}")))?;
    let read = usize::try_from(decoder.get_ref().position()).unwrap_or(usize::MAX);
    match body.len().saturating_sub(read) {
        0 => Ok(message),
        rest => Err(Error::Trailing(rest)),
    }
}

/// State of an instance as it states it itself.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Has no documents yet and gets no work.
    Starting,
    /// In service.
    Ready,
    /// Finishes its work and gets no more.
    Leaving,
}

/// Who an instance is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Incarnation, higher with each start.
    pub incarnation: Incarnation,
    /// State as the instance states it.
    pub state: State,
    /// Listener for other instances.
    pub address: SocketAddr,
    /// Listener for callers.
    pub caller_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: SmolStr,
    /// Region.
    pub region: SmolStr,
}

/// Queries per second that a member offers at one instance, smoothed.
pub type Demand = f32;

/// Values by service, rank and member.
pub type ByMember<T> = BTreeMap<SmolStr, BTreeMap<Rank, BTreeMap<SmolStr, T>>>;

/// Parts of a heartbeat that the node fills and takes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sections {
    /// Demand at the sender by service, rank and member.
    pub demand: ByMember<Demand>,
    /// Requests that may crash servers, by fingerprint.
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

/// Exchanged by two instances, both ways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Identity,
    /// Digest of the peers that the sender knows.
    pub peers_digest: u64,
    /// Some of these peers, if the receiver's digest is another one.
    pub peers: Vec<Identity>,
    /// Digest of the revisions of the sender's documents.
    pub documents_digest: u64,
    /// The revisions themselves, if the receiver's digest is another one.
    pub documents: BTreeMap<Key, Revision>,
    /// Number of the heartbeat, higher than that of all earlier ones of the sender's incarnation;
    /// 0 if it is no base for a later one.
    pub number: u64,
    /// Highest number that the sender took from the receiver.
    pub seen: u64,
    /// Number of the heartbeat that `patch` changes; 0 if it changes empty sections.
    pub base: u64,
    /// Changes of the parts that belong to the node.
    pub patch: Patch,
}

/// Asks for all documents above the given revisions; a key that is absent counts as revision 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Revisions that the sender has.
    pub above: BTreeMap<Key, Revision>,
}

/// One document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Key.
    pub key: Key,
    /// Revision.
    pub revision: Revision,
    /// Value.
    pub value: Blob,
}

/// Reply to [`Pull`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullReply {
    /// Documents above the revisions asked for.
    pub documents: Vec<Document>,
    /// Whether others were left out because of the size; a further pull returns them.
    pub more: bool,
}

/// A non-idempotent request on its way to the owner of its partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Partition of the request id.
    pub partition: u32,
    /// Member that sent the request.
    pub member: SmolStr,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// The request in the form that the node gives it.
    pub query: Blob,
}

/// A query on its way to another cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Member that sent the query.
    pub member: SmolStr,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// The query in the form that the node gives it.
    pub query: Blob,
}

/// Reply to [`Claim`] and [`Forward`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status for the caller.
    pub status: u16,
    /// Body for the caller.
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

/// Bytes that are encoded as a byte string rather than as a list of numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Bytestring;

        impl Visitor<'_> for Bytestring {
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

        deserializer.deserialize_byte_buf(Bytestring)
    }
}
