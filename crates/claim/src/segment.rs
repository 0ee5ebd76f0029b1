//! Segments: numbered objects that hold the records of a partition.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::DecodeError;
use crate::head::Epoch;
use crate::head::Writer;
use crate::record::Record;
use crate::record::decode_frame;
use crate::record::encode_frame;
use crate::submission::Partition;

/// Number of a segment. Numbers are consecutive and continue across epochs.
pub type Number = u64;

/// Version of the encoding.
const FORMAT: u8 = 1;

/// Largest size of an encoded segment, in bytes. The store accepts up to 1 MB, but each write sends
/// the whole segment.
pub const SEGMENT_BYTES_MAX: usize = 256 * 1000;

/// Returns the common prefix of the keys of a partition's segments.
pub fn prefix(partition: Partition) -> SmolStr {
    format_smolstr!("claims/{partition}/segment/")
}

/// Returns the key of a segment.
pub fn key(partition: Partition, number: Number) -> SmolStr {
    format_smolstr!("claims/{partition}/segment/{number:020}")
}

/// Returns the segment number in a key.
pub(crate) fn number(key: &str) -> Option<Number> {
    key.rsplit('/').next()?.parse().ok()
}

/// First frame of a segment. The sequence number makes the value of each write unique within its
/// epoch, so that a write whose reply was lost is recognized by its bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    format: u8,
    number: Number,
    epoch: Epoch,
    writer: Writer,
    sequence: u64,
    sealed_by: Option<Epoch>,
}

/// Segment with its records in encoded form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    header: Header,
    body: Vec<u8>,
}

impl Segment {
    /// Creates an empty open segment.
    pub fn new(number: Number, epoch: Epoch, writer: Writer) -> Self {
        let header = Header { format: FORMAT, number, epoch, writer, sequence: 0, sealed_by: None };
        Self { header, body: Vec::new() }
    }

    /// Returns the number of the segment.
    pub fn number(&self) -> Number {
        self.header.number
    }

    /// Returns the epoch that created the segment.
    pub fn epoch(&self) -> Epoch {
        self.header.epoch
    }

    /// Returns the number of appending writes in the epoch that created the segment.
    pub fn sequence(&self) -> u64 {
        self.header.sequence
    }

    /// Returns the epoch that sealed the segment, or `None` while it is open.
    pub fn sealed_by(&self) -> Option<Epoch> {
        self.header.sealed_by
    }

    /// Returns the size of the encoded records, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns the segment with encoded records appended and the next sequence number.
    pub fn extended(&self, records: &[u8]) -> Self {
        let mut next = self.clone();
        next.header.sequence += 1;
        next.body.extend_from_slice(records);
        next
    }

    /// Returns the segment as sealed by an epoch. A sealed segment is never written again.
    pub fn sealed(&self, by: Epoch) -> Self {
        let mut next = self.clone();
        next.header.sealed_by = Some(by);
        next
    }

    /// Encodes the segment.
    pub fn encode(&self) -> Bytes {
        let mut buffer = Vec::with_capacity(self.body.len() + 64);
        encode_frame(&self.header, &mut buffer);
        buffer.extend_from_slice(&self.body);
        buffer.into()
    }

    /// Decodes the header of a segment. [`records`](Self::records) decodes the records.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the header is truncated, malformed or of an unknown format.
    pub fn decode(mut data: &[u8]) -> Result<Self, DecodeError> {
        let header: Header = decode_frame(&mut data)?;
        if header.format != FORMAT {
            return Err(DecodeError::Format(header.format));
        }
        Ok(Self { header, body: data.to_vec() })
    }

    /// Decodes the records in the order in which they were written.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if a record is truncated or malformed.
    pub fn records(&self) -> Result<Vec<Record>, DecodeError> {
        let mut data = self.body.as_slice();
        let mut records = Vec::new();
        while !data.is_empty() {
            records.push(Record::decode(&mut data)?);
        }
        Ok(records)
    }
}
