//! The slot policies and the static share.

use masticfield_core::ids::EntryId;

use super::rendezvous::score;

/// How the slots of an upstream are shared among entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SlotPolicy {
    /// Each entry owns a fixed part of every upstream's slots.
    StaticShare,
    /// Entries send at will; the upstream refuses what is beyond its slots.
    TwoChoices,
    /// The home entry of the upstream grants slots for a while.
    #[default]
    Leased,
}

/// The fixed part of an upstream's slots that belongs to `me`.
///
/// The remainder of the division goes to the entries with the highest rendezvous scores.
pub fn static_share(upstream: &str, slots: u16, me: EntryId, entries: &[EntryId]) -> u16 {
    let count = u16::try_from(entries.len()).unwrap_or(u16::MAX).max(1);
    let mine = (score(upstream, me), me);
    let ahead = entries
        .iter()
        .filter(|entry| (score(upstream, **entry), **entry) > mine)
        .count();
    let remainder = usize::from(slots % count);
    slots / count + u16::from(ahead < remainder)
}
