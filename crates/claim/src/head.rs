//! Head object of a partition: its epoch, its owner and the extent of its segments.

use bytes::Bytes;
use jaycrank_platform::Store;
use jaycrank_platform::Version;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::DecodeError;
use crate::error::Error;
use crate::error::Result;
use crate::record::decode_frame;
use crate::record::encode_frame;
use crate::segment::Number;
use crate::submission::Partition;
use crate::submission::UnixMs;

/// Number of an ownership. Each takeover raises it by one and fences the earlier epochs.
pub type Epoch = u64;

/// Version of the encoding.
const FORMAT: u8 = 1;

/// Identity of the takeover that writes an object. It is unique, so that a process that reads a
/// stale head does not mistake the write of an earlier takeover for its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Name of the instance.
    pub name: SmolStr,
    /// Incarnation of the instance, which distinguishes processes of the same name.
    pub incarnation: u64,
    /// Number of the takeover within the process.
    pub takeover: u64,
}

/// Content of the head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub(crate) format: u8,
    /// Current epoch.
    pub epoch: Epoch,
    /// Owner of the current epoch.
    pub owner: Writer,
    /// Whether the owner handed the partition over, so that no instance owns it.
    pub free: bool,
    /// Segment that the owner opened to complete its takeover, or `None` before that.
    pub opened: Option<Number>,
    /// First segment that still exists.
    pub first: Number,
    /// Requests whose expiry is at or below this are refused.
    pub watermark: UnixMs,
}

impl Head {
    /// Returns the head that starts the next epoch, with `owner` as its owner.
    pub fn next_epoch(&self, owner: Writer) -> Self {
        Self {
            format: FORMAT,
            epoch: self.epoch + 1,
            owner,
            free: false,
            opened: None,
            first: self.first,
            watermark: self.watermark,
        }
    }

    /// Encodes the head.
    pub fn encode(&self) -> Bytes {
        let mut buffer = Vec::new();
        encode_frame(self, &mut buffer);
        buffer.into()
    }

    /// Decodes a head.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the data is not exactly one head of a known format.
    pub fn decode(mut data: &[u8]) -> std::result::Result<Self, DecodeError> {
        let head: Self = decode_frame(&mut data)?;
        match (head.format, data.len()) {
            (FORMAT, 0) => Ok(head),
            (FORMAT, size) => Err(DecodeError::Trailing(size)),
            (format, _) => Err(DecodeError::Format(format)),
        }
    }
}

/// Returns the key of the head of a partition.
pub fn key(partition: Partition) -> SmolStr {
    format_smolstr!("claims/{partition}/head")
}

/// Reads the head of a partition and its version. Returns `None` if the partition was never owned.
///
/// An instance that should own the partition takes it over at once if the head is
/// [`free`](Head::free), and otherwise waits until the failure detector suspects the owner.
///
/// # Errors
///
/// [`Error::Store`] if the store can't be read, [`Error::Decode`] for an invalid object.
pub async fn read(store: &dyn Store, partition: Partition) -> Result<Option<(Head, Version)>> {
    let key = key(partition);
    let Some(object) = store.get(&key).await.map_err(Error::Store)? else { return Ok(None) };
    let head = Head::decode(&object.value).map_err(|cause| Error::Decode(key, cause))?;
    Ok(Some((head, object.version)))
}
