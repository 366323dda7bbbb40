//! Records of a segment.
//!
//! A record is the length of the body (4 bytes), a checksum (4), a sequence number (8) and the
//! `postcard` encoding of a [`Write`]. Numbers are little-endian.

use crate::Write;

/// Size of the header before the body of a record, in bytes.
pub(super) const HEADER_BYTES: usize = 16;

/// Maximum size of the body of a record, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Result of parsing at an offset of a segment.
#[derive(Debug)]
pub(super) enum Parsed {
    /// A valid record and its length in bytes.
    Record(Box<Write>, usize),
    /// The end of the segment.
    End,
    /// Bytes that are not a valid record with the expected sequence number.
    Invalid,
}

/// Appends a record to a buffer.
pub(super) fn encode(buf: &mut Vec<u8>, sequence: u64, write: &Write) -> postcard::Result<()> {
    let start = buf.len();
    buf.resize(start + HEADER_BYTES, 0);
    let taken = std::mem::take(buf);
    *buf = postcard::to_extend(write, taken)?;
    let body = buf.len() - start - HEADER_BYTES;
    let length = u32::try_from(body).map_err(|_too_long| postcard::Error::SerializeBufferFull)?;
    buf[start..start + 4].copy_from_slice(&length.to_le_bytes());
    buf[start + 8..start + 16].copy_from_slice(&sequence.to_le_bytes());
    let sum = checksum(&buf[start..]);
    buf[start + 4..start + 8].copy_from_slice(&sum.to_le_bytes());
    Ok(())
}

/// Parses the record at the start of `bytes`, which must have the given sequence number.
pub(super) fn parse(bytes: &[u8], sequence: u64) -> Parsed {
    if bytes.is_empty() {
        return Parsed::End;
    }
    match split_record(bytes) {
        Some((number, body)) if number == sequence => match postcard::from_bytes(body) {
            Ok(write) => Parsed::Record(Box::new(write), HEADER_BYTES + body.len()),
            Err(_undecodable) => Parsed::Invalid,
        },
        _ => Parsed::Invalid,
    }
}

/// Whether a valid record with a sequence number above `sequence` starts anywhere in `bytes`.
pub(super) fn contains_later_record(bytes: &[u8], sequence: u64) -> bool {
    let windows = bytes.windows(HEADER_BYTES).enumerate();
    // The sequence number rules out nearly every offset before a checksum is computed.
    let mut candidates = windows.filter(|(_, window)| {
        let number = u64_at(window, 8);
        number > sequence && number - sequence <= bytes.len() as u64
    });
    candidates.any(|(offset, _)| split_record(&bytes[offset..]).is_some())
}

/// Sequence number and body of the record at the start of `bytes`, if its checksum matches.
fn split_record(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let header = bytes.get(..HEADER_BYTES)?;
    let length = u32_at(header, 0) as usize;
    if length > MAX_BODY_BYTES {
        return None;
    }
    let record = bytes.get(..HEADER_BYTES + length)?;
    let valid = checksum(record) == u32_at(header, 4);
    valid.then(|| (u64_at(header, 8), &record[HEADER_BYTES..]))
}

/// Checksum of a record's length, sequence number and body.
fn checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[..4]);
    hasher.update(&record[8..]);
    hasher.finalize()
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([
        bytes[offset],
        bytes[offset + 1],
        bytes[offset + 2],
        bytes[offset + 3],
    ])
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from(u32_at(bytes, offset)) | u64::from(u32_at(bytes, offset + 4)) << 32
}
