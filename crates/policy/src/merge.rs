//! Merge of the parts of a gathered answer.

/// Size of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts, greatest first, compared byte by byte.
///
/// Duplicate records are kept. Trailing bytes of a part that are shorter than a record are ignored.
///
/// ```
/// use jaycrank_policy::merge::greatest;
///
/// assert_eq!(greatest([[7_u8; 16].as_slice(), &[9_u8; 20]], 1), [9_u8; 16]);
/// ```
pub fn greatest<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> =
        parts.into_iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}
