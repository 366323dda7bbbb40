//! Slot policies, and the shares of the static one.

use masticfield_core::ids::EntryId;

use super::rendezvous::score;

/// How entries share the slots of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SlotPolicy {
    /// Each entry owns a fixed share of every upstream's slots.
    StaticShare,
    /// Entries send without coordination, and the upstream refuses what exceeds its slots.
    TwoChoices,
    /// The home entry of the upstream grants slots for a limited time.
    #[default]
    Leased,
}

/// The share of an upstream's slots that `entry` owns under [`SlotPolicy::StaticShare`].
///
/// The remainder of the division goes to the entries with the highest rendezvous scores.
pub fn static_share(upstream: &str, slots: u16, entry: EntryId, entries: &[EntryId]) -> u16 {
    let count = u16::try_from(entries.len()).unwrap_or(u16::MAX).max(1);
    let own = (score(upstream, entry), entry);
    let ahead = entries
        .iter()
        .filter(|other| (score(upstream, **other), **other) > own)
        .count();
    let remainder = usize::from(slots % count);
    slots / count + u16::from(ahead < remainder)
}
