//! Leases over time: entries serve through failovers, and notes come into force within a bound.

use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_state::in_force::{
    GranterAction, GranterEvent, HolderAction, HolderEvent, LeaseGranter, LeaseHolder, LeaseTiming,
};
use rstest::rstest;

const ENTRY: EntryId = EntryId::new(1);
const INCARNATION: Incarnation = Incarnation::new(1);
const STEP: Duration = Duration::from_millis(100);
/// Maximum time until a note is in force everywhere.
const TARGET: Duration = Duration::from_secs(13);
/// Maximum duration of an election.
const ELECTION: Duration = Duration::from_millis(1_500);

/// One entry and the current leader, if there is one, on a virtual clock.
struct Installation {
    now: Duration,
    holder: LeaseHolder,
    granter: Option<LeaseGranter>,
    version: u64,
    in_force: u64,
}

impl Installation {
    fn started() -> Self {
        let timing = LeaseTiming::default();
        let mut installation = Self {
            now: Duration::from_secs(50),
            holder: LeaseHolder::new(timing),
            granter: None,
            version: 1,
            in_force: 0,
        };
        installation.elect();
        for _ in 0..20 {
            installation.advance();
        }
        installation
    }

    /// Elects a new leader, to which the entry connects.
    fn elect(&mut self) {
        let roster = [(ENTRY, INCARNATION)];
        let timing = LeaseTiming::default();
        self.granter = Some(LeaseGranter::new(self.now, timing, self.version, roster));
        self.handle_at_entry(HolderEvent::Connected);
    }

    fn lose_leader(&mut self) {
        self.granter = None;
        self.handle_at_entry(HolderEvent::Disconnected);
    }

    fn accept(&mut self, version: u64) {
        self.version = version;
        self.handle_at_leader(GranterEvent::Committed { version });
    }

    /// Advances the clock by one step.
    fn advance(&mut self) {
        self.now += STEP;
        self.handle_at_leader(GranterEvent::LeadershipLease {
            until: self.now + STEP,
        });
        self.handle_at_leader(GranterEvent::Tick);
        self.handle_at_entry(HolderEvent::Tick);
    }

    /// Handles an event at the entry.
    fn handle_at_entry(&mut self, event: HolderEvent) {
        for action in self.holder.step(self.now, event) {
            if let HolderAction::Renew { sequence, version } = action {
                let (entry, incarnation) = (ENTRY, INCARNATION);
                self.handle_at_leader(GranterEvent::Renew {
                    entry,
                    incarnation,
                    sequence,
                    version,
                });
            }
        }
    }

    /// Handles an event at the leader; ignored without a leader.
    fn handle_at_leader(&mut self, event: GranterEvent) {
        let Some(granter) = &mut self.granter else {
            return;
        };
        let version = granter.version();
        for action in granter.step(self.now, event) {
            match action {
                GranterAction::SendConfig { .. } => self.handle_at_entry(HolderEvent::Config {
                    version: self.version.max(version),
                }),
                GranterAction::Grant {
                    sequence,
                    version,
                    ttl,
                    ..
                } => {
                    self.handle_at_entry(HolderEvent::Lease {
                        sequence,
                        version,
                        ttl,
                    });
                }
                GranterAction::InForce { version } => self.in_force = version,
                GranterAction::Register { .. } | GranterAction::Remove { .. } => {}
            }
        }
    }

    /// Advances the clock until `done`, and returns the elapsed time.
    fn advance_until(&mut self, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            self.advance();
            assert!(
                self.now < start + Duration::from_mins(1),
                "condition not met within a minute"
            );
        }
        self.now.saturating_sub(start)
    }
}

#[rstest]
#[case::one_election(ELECTION)]
#[case::three_elections(ELECTION * 3)]
fn losing_the_leader_alone_refuses_nobody(#[case] without_leader: Duration) {
    let mut installation = Installation::started();
    // The worst case is the loss of the leader just before the next renewal.
    installation.advance_until(|state| {
        state.holder.expires_at() == Some(state.now + Duration::from_millis(5_100))
    });
    installation.lose_leader();
    let lost_at = installation.now;
    while installation.now < lost_at + without_leader {
        installation.advance();
        assert_eq!(installation.holder.serving(installation.now), Some(1));
    }
    installation.elect();
    assert_eq!(installation.holder.serving(installation.now), Some(1));
}

#[test]
fn a_connected_entry_adopts_a_note_immediately() {
    let mut installation = Installation::started();
    installation.accept(2);
    assert_eq!(installation.in_force, 2);
    assert_eq!(installation.holder.serving(installation.now), Some(2));
}

#[rstest]
#[case::entry_disconnected(0)]
#[case::leader_lost(1)]
#[case::two_leaders_lost(2)]
fn a_note_is_in_force_within_the_target(#[case] leaders_lost: u32) {
    let mut installation = Installation::started();
    let accepted_at = installation.now;
    // The entry is disconnected when the note is accepted.
    installation.handle_at_entry(HolderEvent::Disconnected);
    installation.version = 2;
    for _ in 0..leaders_lost {
        installation.granter = None;
        installation.advance_until(|state| state.now >= accepted_at + ELECTION * leaders_lost);
    }
    let timing = LeaseTiming::default();
    if leaders_lost == 0 {
        let granter = installation.granter.as_mut().unwrap();
        granter.step(accepted_at, GranterEvent::Committed { version: 2 });
    } else {
        let roster = [(ENTRY, INCARNATION)];
        installation.granter = Some(LeaseGranter::new(installation.now, timing, 2, roster));
    }
    installation.advance_until(|state| state.in_force == 2);
    let elapsed = installation.now.saturating_sub(accepted_at);
    println!("{leaders_lost} leaders lost: in force after {elapsed:?}");
    assert!(elapsed <= TARGET, "in force after {elapsed:?}");
    assert_eq!(installation.holder.serving(installation.now), None);
}

#[test]
fn an_entry_without_a_lease_does_not_serve() {
    let mut holder = LeaseHolder::new(LeaseTiming::default());
    let now = Duration::from_secs(1);
    holder.step(now, HolderEvent::Connected);
    holder.step(now, HolderEvent::Config { version: 5 });
    assert_eq!(holder.serving(now), None);
    let lease = |sequence| HolderEvent::Lease {
        sequence,
        version: 5,
        ttl: LeaseTiming::default().lease,
    };
    holder.step(now, lease(99));
    assert_eq!(holder.serving(now), None, "a lease for an unknown renewal");
    holder.step(now, lease(2));
    assert_eq!(holder.serving(now), Some(5));
    assert_eq!(holder.serving(now + LeaseTiming::default().lease), None);
}

#[test]
fn an_expired_entry_gets_no_lease_until_its_removal_is_committed() {
    let (entry, incarnation) = (ENTRY, INCARNATION);
    let mut granter = LeaseGranter::new(
        Duration::ZERO,
        LeaseTiming::default(),
        1,
        [(entry, incarnation)],
    );
    let now = LeaseTiming::default().upper_bound();
    granter.step(now, GranterEvent::LeadershipLease { until: now * 2 });
    let next = granter.step(now, GranterEvent::Tick);
    assert!(next.contains(&GranterAction::Remove { entry, incarnation }));
    let renew = GranterEvent::Renew {
        entry,
        incarnation,
        sequence: 1,
        version: 1,
    };
    assert_eq!(granter.step(now, renew), []);
    granter.step(now, GranterEvent::Removed { entry, incarnation });
    let register = GranterAction::Register { entry, incarnation };
    assert_eq!(granter.step(now, renew), [register]);
}
