//! Events of a simulated cluster.

use proptest::collection::vec;
use proptest::prelude::*;

/// One event; numbers choose a replica or message modulo how many there are.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// Time passes in steps of 10 ms in which all is synced and delivered.
    Run(u64),
    /// Every message under way arrives.
    DeliverAll,
    /// One message arrives before those sent earlier.
    Deliver(usize),
    /// One message is doubled.
    Double(usize),
    /// One message is lost.
    Lose(usize),
    /// Every replica's writes become durable.
    SyncAll,
    /// One replica's writes become durable.
    Sync(usize),
    /// A replica loses its unsynced writes and starts again.
    Crash(usize),
    /// A replica stops, or starts again.
    Toggle(usize),
    /// A replica's disk is lost.
    LoseDisk(usize),
    /// A replica stands still for some milliseconds.
    Freeze(usize, u64),
    /// Messages from one replica to another are lost from now on.
    Cut(usize, usize),
    /// Every cut ends.
    Heal,
    /// Every leader gets a payload.
    Propose,
    /// A replica's application hands up its state.
    Compact(usize),
    /// Operators replace a replica that lost its disk, one change further.
    Repair,
}

/// Sequences of events.
pub fn actions() -> impl Strategy<Value = Vec<Action>> {
    let any = || 0..64_usize;
    let action = prop_oneof![
        20 => (5..100_u64).prop_map(Action::Pass),
        10 => (2..40_u64).prop_map(Action::Run),
        20 => Just(Action::DeliverAll),
        16 => Just(Action::SyncAll),
        6 => any().prop_map(Action::Sync),
        8 => any().prop_map(Action::Deliver),
        3 => any().prop_map(Action::Double),
        3 => any().prop_map(Action::Lose),
        3 => any().prop_map(Action::Crash),
        1 => any().prop_map(Action::Toggle),
        2 => any().prop_map(Action::LoseDisk),
        1 => (any(), 50..1_500_u64).prop_map(|(at, ms)| Action::Freeze(at, ms)),
        4 => (any(), any()).prop_map(|(from, to)| Action::Cut(from, to)),
        3 => Just(Action::Heal),
        10 => Just(Action::Propose),
        2 => any().prop_map(Action::Compact),
        6 => Just(Action::Repair),
    ];
    vec(action, 150..300)
}
