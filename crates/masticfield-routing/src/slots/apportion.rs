//! Apportionment of an upstream's slots by demand.

/// Weight of an entry in the availability zone of the upstream; the others weigh 1.
const LOCAL_WEIGHT: u64 = 2;
/// Fixed-point factor that keeps the fractions of a quotient distinct.
const PRECISION: u64 = 1 << 16;

/// The demand of one entry for the slots of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EntryDemand {
    /// Slots that the entry has work for.
    pub(super) demand: u16,
    /// Further slots that the entry would hold in reserve.
    pub(super) headroom: u16,
    /// Whether the entry is in the availability zone of the upstream.
    pub(super) local: bool,
    /// Breaks ties between entries that are otherwise equal; the higher rank wins.
    pub(super) rank: u64,
}

/// Divides `slots` among the entries: first for their demand, then for their headroom.
///
/// Shares grow with the square root of the demand, and local entries weigh more. The square root
/// brings the waiting times of the entries close to each other, and still leaves an entry with a
/// short queue most of its equal share.
pub(super) fn apportion(slots: u16, entries: &[EntryDemand]) -> Vec<u16> {
    let mut shares = vec![0_u16; entries.len()];
    let left = fill(slots, entries, &mut shares, |entry| entry.demand);
    fill(left, entries, &mut shares, |entry| {
        entry.demand.saturating_add(entry.headroom)
    });
    shares
}

/// Gives slots one by one to the entry with the lowest quotient; returns the slots left over.
fn fill(
    mut left: u16,
    entries: &[EntryDemand],
    shares: &mut [u16],
    bound: impl Fn(&EntryDemand) -> u16,
) -> u16 {
    while left > 0 {
        let open = (0..entries.len()).filter(|&i| shares[i] < bound(&entries[i]));
        let Some(next) = open.min_by_key(|&i| quotient(&entries[i], shares[i])) else {
            break;
        };
        shares[next] += 1;
        left -= 1;
    }
    left
}

/// The share of an entry in relation to its weight, followed by its rank for ties.
fn quotient(entry: &EntryDemand, share: u16) -> (u64, u64) {
    let distance = if entry.local { 1 } else { LOCAL_WEIGHT };
    let share = (u64::from(share) * 2 + 1) * distance * PRECISION;
    (
        share / u64::from(entry.demand.max(1)).isqrt(),
        u64::MAX - entry.rank,
    )
}
