//! Actions on a simulated cluster.

use proptest::collection::vec;
use proptest::prelude::*;

/// One action; numbers select a replica or message, modulo their count.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// Advances the clock by some milliseconds.
    Advance(u64),
    /// Runs so many steps of 10 ms without failures, in which all is synced and delivered.
    Run(u64),
    /// Delivers all messages in flight.
    DeliverAll,
    /// Delivers one message, possibly before others that were sent earlier.
    Deliver(usize),
    /// Duplicates one message.
    Duplicate(usize),
    /// Drops one message.
    Drop(usize),
    /// Makes the writes of every replica durable.
    SyncAll,
    /// Makes the writes of one replica durable.
    Sync(usize),
    /// Restarts a replica without its unsynced writes.
    Crash(usize),
    /// Stops a replica, or starts one that is stopped.
    Toggle(usize),
    /// Loses the disk of a replica, which restarts under a new identity.
    LoseDisk(usize),
    /// Suspends a replica for some milliseconds.
    Freeze(usize, u64),
    /// Drops messages from one replica to another from now on.
    Cut(usize, usize),
    /// Ends all cuts.
    Heal,
    /// Proposes a payload to every replica that leads.
    Propose,
    /// Compacts the log of a replica by a snapshot of its application.
    Compact(usize),
    /// Makes the next change by which a replica that lost its disk rejoins.
    Repair,
    /// Fills the disk of a replica, which refuses all writes until it is freed.
    FillDisk(usize),
    /// Frees the disk of a replica.
    FreeDisk(usize),
}

/// Random sequences of actions that include full disks.
pub fn actions_with_full_disks() -> impl Strategy<Value = Vec<Action>> {
    let number = || 0..64_usize;
    let action = prop_oneof![
        20 => (5..100_u64).prop_map(Action::Advance),
        12 => (2..40_u64).prop_map(Action::Run),
        20 => Just(Action::DeliverAll),
        16 => Just(Action::SyncAll),
        6 => number().prop_map(Action::Sync),
        8 => number().prop_map(Action::Deliver),
        3 => number().prop_map(Action::Drop),
        4 => number().prop_map(Action::Crash),
        1 => (number(), 50..1_500_u64).prop_map(|(replica, ms)| Action::Freeze(replica, ms)),
        3 => (number(), number()).prop_map(|(from, to)| Action::Cut(from, to)),
        3 => Just(Action::Heal),
        14 => Just(Action::Propose),
        3 => number().prop_map(Action::Compact),
        6 => number().prop_map(Action::FillDisk),
        7 => number().prop_map(Action::FreeDisk),
    ];
    vec(action, 150..300)
}

/// Random sequences of actions without full disks.
pub fn actions() -> impl Strategy<Value = Vec<Action>> {
    let number = || 0..64_usize;
    let action = prop_oneof![
        20 => (5..100_u64).prop_map(Action::Advance),
        10 => (2..40_u64).prop_map(Action::Run),
        20 => Just(Action::DeliverAll),
        16 => Just(Action::SyncAll),
        6 => number().prop_map(Action::Sync),
        8 => number().prop_map(Action::Deliver),
        3 => number().prop_map(Action::Duplicate),
        3 => number().prop_map(Action::Drop),
        3 => number().prop_map(Action::Crash),
        1 => number().prop_map(Action::Toggle),
        2 => number().prop_map(Action::LoseDisk),
        1 => (number(), 50..1_500_u64).prop_map(|(replica, ms)| Action::Freeze(replica, ms)),
        4 => (number(), number()).prop_map(|(from, to)| Action::Cut(from, to)),
        3 => Just(Action::Heal),
        10 => Just(Action::Propose),
        2 => number().prop_map(Action::Compact),
        6 => Just(Action::Repair),
    ];
    vec(action, 150..300)
}
