//! The encoding of records: length of the body (4 bytes), checksum (4), sequence number (8), first sequence number of the
//! record's batch (8), body. A batch is the records that are synced together. All numbers are little-endian; the checksum
//! (CRC-32) covers all other fields.

use crate::MAX_RECORD_BYTES;

/// The size of the header before the body (bytes).
pub(crate) const HEADER_BYTES: usize = 24;
// Offsets of the header's fields (bytes); the body's length is at 0.
const CHECKSUM_OFFSET: usize = 4;
const SEQUENCE_OFFSET: usize = 8;
const BATCH_OFFSET: usize = 16;

/// A decoded record.
pub(crate) struct Record<'a> {
    pub(crate) sequence: u64,
    /// The first sequence number of the record's batch.
    pub(crate) batch: u64,
    pub(crate) body: &'a [u8],
}

impl Record<'_> {
    /// Returns the length including the header (bytes).
    pub(crate) fn encoded_bytes(&self) -> usize {
        HEADER_BYTES + self.body.len()
    }
}

/// Appends an encoded record to `out`. `batch` is the first sequence number of the record's batch.
pub(crate) fn encode(out: &mut Vec<u8>, sequence: u64, batch: u64, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(sequence, batch, body).to_le_bytes());
    out.extend_from_slice(&sequence.to_le_bytes());
    out.extend_from_slice(&batch.to_le_bytes());
    out.extend_from_slice(body);
}

/// Decodes the record at the start of `bytes`; `None` if it is incomplete, its length exceeds [`MAX_RECORD_BYTES`], or its
/// checksum does not match.
pub(crate) fn decode(bytes: &[u8]) -> Option<Record<'_>> {
    let length = read_u32(bytes, 0)? as usize;
    if length > MAX_RECORD_BYTES {
        return None;
    }
    let sequence = read_u64(bytes, SEQUENCE_OFFSET)?;
    let batch = read_u64(bytes, BATCH_OFFSET)?;
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    let is_valid = checksum(sequence, batch, body) == read_u32(bytes, CHECKSUM_OFFSET)?;
    is_valid.then_some(Record { sequence, batch, body })
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn read_u64(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

fn checksum(sequence: u64, batch: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&batch.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
