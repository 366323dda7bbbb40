//! Division of an upstream's slots by need.

/// Weight of an entry in the availability zone of the upstream; others weigh 1.
const LOCAL_WEIGHT: u64 = 2;
/// Factor that keeps the fractions of a division apart.
const PRECISION: u64 = 1 << 16;

/// What an entry asks of an upstream's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Ask {
    /// Slots that it has work for.
    pub(super) need: u16,
    /// Slots that it would like beyond the need.
    pub(super) ahead: u16,
    /// Whether it is in the availability zone of the upstream.
    pub(super) local: bool,
    /// Decides between entries that are equal otherwise.
    pub(super) rank: u64,
}

/// Divides `slots`: first by the square root of the need, then ahead of demand.
///
/// The nearer entries get more. The root brings the waits of the entries near each other, and
/// still leaves an entry with a short queue most of its equal share.
pub(super) fn apportion(slots: u16, asks: &[Ask]) -> Vec<u16> {
    let mut shares = vec![0_u16; asks.len()];
    let left = fill(slots, asks, &mut shares, |ask| ask.need);
    fill(left, asks, &mut shares, |ask| {
        ask.need.saturating_add(ask.ahead)
    });
    shares
}

/// Gives one slot at a time to the entry that has the least for its need.
fn fill(mut left: u16, asks: &[Ask], shares: &mut [u16], bound: impl Fn(&Ask) -> u16) -> u16 {
    while left > 0 {
        let open = (0..asks.len()).filter(|&i| shares[i] < bound(&asks[i]));
        let Some(next) = open.min_by_key(|&i| precedence(&asks[i], shares[i])) else {
            break;
        };
        shares[next] += 1;
        left -= 1;
    }
    left
}

fn precedence(ask: &Ask, share: u16) -> (u64, u64) {
    let distance = if ask.local { 1 } else { LOCAL_WEIGHT };
    let share = (u64::from(share) * 2 + 1) * distance * PRECISION;
    (
        share / u64::from(ask.need.max(1)).isqrt(),
        u64::MAX - ask.rank,
    )
}
