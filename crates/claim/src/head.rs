//! The head object of a partition.

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
use crate::record::frame;
use crate::record::unframe;
use crate::segment::Number;
use crate::submission::Partition;
use crate::submission::UnixMs;

/// Number of an ownership; each takeover raises it by one.
pub type Epoch = u64;

/// Format of the encoding.
const FORMAT: u8 = 1;

/// Takeover that writes an object. It is unique, so that a process does not take the head of one
/// takeover for that of another when a read lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Name of the instance.
    pub name: SmolStr,
    /// Incarnation of the instance, which tells processes of the same name apart.
    pub incarnation: u64,
    /// Number of the takeover in the process.
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
    /// Whether the owner handed the partition over and no instance owns it.
    pub free: bool,
    /// Segment that the owner opened when it took over, or `None` before that.
    pub opened: Option<Number>,
    /// First segment that still exists.
    pub first: Number,
    /// Requests whose expiry is at or below this are refused.
    pub watermark: UnixMs,
}

impl Head {
    /// Returns the head as the next owner writes it.
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
        frame(self, &mut buffer);
        buffer.into()
    }

    /// Decodes a head.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the data is not a head of a known format.
    pub fn decode(mut data: &[u8]) -> std::result::Result<Self, DecodeError> {
        let head: Self = unframe(&mut data)?;
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

/// Reads the head of a partition with its version, or `None` if it was never owned.
///
/// An instance that should own the partition takes it over at once if the head is
/// [`free`](Head::free), and otherwise waits until the owner is suspected.
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
