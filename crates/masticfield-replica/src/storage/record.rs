//! Records of a segment.

use crate::Write;

/// Bytes before the body of a record: length, checksum and sequence number.
pub(super) const HEADER_BYTES: usize = 16;

/// Largest body of a record, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// What stands at an offset of a segment.
#[derive(Debug)]
pub(super) enum Parsed {
    /// A sound record and its length in bytes.
    Record(Box<Write>, usize),
    /// The end of the segment.
    End,
    /// No sound record.
    Unsound,
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

/// Reads the record with the given sequence number.
pub(super) fn parse(bytes: &[u8], sequence: u64) -> Parsed {
    if bytes.is_empty() {
        return Parsed::End;
    }
    match frame(bytes) {
        Some((number, body)) if number == sequence => match postcard::from_bytes(body) {
            Ok(write) => Parsed::Record(Box::new(write), HEADER_BYTES + body.len()),
            Err(_unreadable) => Parsed::Unsound,
        },
        _ => Parsed::Unsound,
    }
}

/// Whether a sound record later than `sequence` starts anywhere in `bytes`.
pub(super) fn any_after(bytes: &[u8], sequence: u64) -> bool {
    let numbers = bytes.windows(HEADER_BYTES).enumerate();
    // The sequence number rules out nearly every offset before a checksum is computed.
    let mut later = numbers.filter(|(_, window)| {
        let number = u64_at(window, 8);
        number > sequence && number - sequence <= bytes.len() as u64
    });
    later.any(|(offset, _)| frame(&bytes[offset..]).is_some())
}

/// The sequence number and body of the record at the start of `bytes`, if it is sound.
fn frame(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let header = bytes.get(..HEADER_BYTES)?;
    let length = u32_at(header, 0) as usize;
    if length > MAX_BODY_BYTES {
        return None;
    }
    let record = bytes.get(..HEADER_BYTES + length)?;
    let sound = checksum(record) == u32_at(header, 4);
    sound.then(|| (u64_at(header, 8), &record[HEADER_BYTES..]))
}

/// Checksum of the length, the sequence number and the body.
fn checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[..4]);
    hasher.update(&record[8..]);
    hasher.finalize()
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from(u32_at(bytes, at)) | u64::from(u32_at(bytes, at + 4)) << 32
}
