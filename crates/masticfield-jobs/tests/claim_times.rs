//! Times at which hosts were last claimed.

use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::state::{Command, HostClaim, State};
use proptest::prelude::*;

const HOSTS: [&str; 3] = ["h1", "h2", "h3"];

/// What happens to a host or to the time of the leaders.
#[derive(Debug, Clone, Copy)]
enum Step {
    Claim(usize),
    Unclaim(usize),
    /// Real time passes.
    Pass(u64),
    /// The leader commits how much time has passed since it began or last did so.
    Measure,
    /// Another leader begins, some time after the former one ended.
    Restart(u64),
    Snapshot,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..HOSTS.len()).prop_map(Step::Claim),
        (0..HOSTS.len()).prop_map(Step::Unclaim),
        (0_u64..40_000).prop_map(Step::Pass),
        Just(Step::Measure),
        (0_u64..5_000).prop_map(Step::Restart),
        Just(Step::Snapshot),
    ]
}

proptest! {
    /// An age above the real one would let a new leader act on a host while the former leader's
    /// requests are in effect.
    #[test]
    fn an_age_is_never_above_the_real_one(steps in prop::collection::vec(step(), 1..60)) {
        let mut state = State::default();
        let (mut now, mut measured) = (0_u64, 0_u64);
        // Every host may have been claimed when the history begins.
        let mut claimed_at = [0_u64; HOSTS.len()];
        for step in steps {
            match step {
                Step::Claim(index) => {
                    let claim = HostClaim::Move { pool: "p".into() };
                    let host = Arc::from(HOSTS[index]);
                    let command = Command::Claim {
                        host,
                        claim,
                        executor: None,
                    };
                    if state.apply(command) {
                        claimed_at[index] = now;
                    }
                }
                Step::Unclaim(index) => {
                    let host = Arc::from(HOSTS[index]);
                    if state.apply(Command::Unclaim { host }) {
                        claimed_at[index] = now;
                    }
                }
                Step::Pass(ms) => now += ms,
                Step::Measure => {
                    state.apply(Command::Elapsed { ms: now - measured });
                    measured = now;
                }
                Step::Restart(ms) => {
                    now += ms;
                    measured = now;
                }
                Step::Snapshot => {
                    let bytes = state.to_snapshot();
                    let decoded = State::from_snapshot(&bytes);
                    prop_assert_eq!(decoded.as_ref(), Ok(&state));
                }
            }
            for (host, claimed_at) in HOSTS.iter().zip(claimed_at) {
                let age = state.claim_times().least_age(&Arc::from(*host));
                prop_assert!(age <= Duration::from_millis(now - claimed_at), "{host}: {age:?}");
            }
        }
    }
}

/// A snapshot of an earlier version says nothing about claims: each host may have been claimed
/// just before.
#[test]
fn a_snapshot_without_claim_times_is_read() {
    let mut state = State::default();
    state.apply(Command::Elapsed { ms: 9_000 });
    let with = state.to_snapshot();
    // Earlier versions end after the crashes and the overdue announcements: three empty collections.
    let without = [
        postcard::to_stdvec(&State::default()).expect("plain data"),
        vec![0; 3],
    ]
    .concat();
    let decoded = State::from_snapshot(&without).expect("a snapshot");
    assert_eq!(
        decoded.claim_times().least_age(&"h1".into()),
        Duration::ZERO
    );
    let decoded = State::from_snapshot(&with).expect("a snapshot");
    assert_eq!(
        decoded.claim_times().least_age(&"h1".into()),
        Duration::from_secs(9)
    );
}
