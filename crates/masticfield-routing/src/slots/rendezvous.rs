//! Rendezvous hashing of upstreams to entries.

use masticfield_core::ids::EntryId;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The entry among `live` that should be the home of an upstream; `None` if `live` is empty.
pub fn preferred_home(upstream: &str, live: &[EntryId]) -> Option<EntryId> {
    live.iter()
        .copied()
        .max_by_key(|entry| (score(upstream, *entry), *entry))
}

/// Rendezvous score of an entry for an upstream, which is the same in every process.
pub(super) fn score(upstream: &str, entry: EntryId) -> u64 {
    let bytes = upstream.bytes().chain(entry.number().to_le_bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Finalizer of the hash, after which similar inputs also differ in the high bits.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
