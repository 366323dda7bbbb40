//! Upkeep that the platform orders in waves.

use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::leader::{ClaimWatch, Effect, Event, HostError, Leader, ListedHost};
use masticfield_jobs::state::{Command, HostClaim, State, WaveOrder};
use rstest::rstest;

use crate::support::{announce, config, host, incarnation, moment, options, state};

/// A host that a former leader sent to upkeep may still be away, and counts towards the cap.
#[test]
fn a_new_leader_begins_no_upkeep_while_a_former_leaders_may_be_running() {
    let mut state = state();
    let order = WaveOrder {
        number: 1,
        hosts: vec!["h1".into(), "h2".into()],
        duration_ms: 5_000,
        cap: 1,
    };
    state.apply(Command::Wave {
        order,
        at_ms: moment(0).wall_ms,
    });
    state.apply(Command::UpkeepBegun {
        wave: 1,
        host: "h1".into(),
    });
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options(), watch, moment(0));
    let away = ListedHost {
        up: false,
        ..host("h1", "p", None)
    };
    let hosts = Some(vec![away, host("h2", "p", Some("e1"))]);
    leader.handle(moment(0), Event::HostList { hosts });
    let upkeep = HostClaim::Upkeep { wave: 1 };
    let ordered = (0..60).map(|tick| tick * 100).find(|ms| {
        let effects = leader.decide(moment(*ms)).after_commit;
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::OrderHost { claim, .. } if *claim == upkeep))
    });
    let ordered = ordered.expect("the wave continues");
    // The former leader's upkeep may last for 2 s.
    assert!(ordered >= 2_000, "ordered after {ordered} ms");
}

/// Two hosts of a pool with executors `e1` and `e2`, and a wave that takes one at a time.
fn state_with_wave_of_two() -> State {
    let mut state = State::default();
    state.apply(Command::Configure {
        config: config(),
        content: b"config"[..].into(),
    });
    for id in ["e1", "e2"] {
        state.apply(Command::Enlist {
            executor: state.next_executor_key(),
            incarnation: incarnation(id, 5),
        });
    }
    let order = WaveOrder {
        number: 1,
        hosts: vec!["h1".into(), "h2".into()],
        duration_ms: 20_000,
        cap: 1,
    };
    state.apply(Command::Wave {
        order,
        at_ms: moment(0).wall_ms,
    });
    state
}

/// An executor ends and comes back between two requests for the upkeep of its host. The platform
/// carries out the second one, so that the host is away and counts towards the cap, also if the
/// first one got no answer and may have been carried out, and if a list that was made before the
/// upkeep arrives after it has begun.
#[rstest]
#[case::refused(HostError::NotUp)]
#[case::unanswered(HostError::Unknown)]
fn an_upkeep_of_a_host_that_came_back_counts_towards_the_cap(#[case] first: HostError) {
    let mut leader = Leader::new(
        state_with_wave_of_two(),
        options(),
        ClaimWatch::new(Duration::ZERO),
        moment(0),
    );
    let list = |leader: &mut Leader, ms| {
        let hosts = vec![host("h1", "p", Some("e1")), host("h2", "p", Some("e2"))];
        let hosts = Some(hosts);
        leader.handle(moment(ms), Event::HostList { hosts });
    };
    // Returns the host that an upkeep is ordered for, and when, if that is before `until`.
    let next_order = |leader: &mut Leader, from: u64, until: u64| {
        (from..until).step_by(100).find_map(|ms| {
            let effects = leader.decide(moment(ms)).after_commit;
            if effects.contains(&Effect::ListHosts) {
                list(leader, ms);
            }
            effects.into_iter().find_map(|effect| match effect {
                Effect::OrderHost {
                    host,
                    claim: HostClaim::Upkeep { .. },
                    ..
                } => Some((host, ms)),
                _ => None,
            })
        })
    };
    let answer = |leader: &mut Leader, ms, host: &Arc<str>, result| {
        let answer = Event::HostOrderResult {
            host: Arc::clone(host),
            claim: HostClaim::Upkeep { wave: 1 },
            result,
        };
        leader.handle(moment(ms), answer);
    };
    list(&mut leader, 0);
    let (taken, ms) = next_order(&mut leader, 0, 10_000).expect("the wave begins");
    answer(&mut leader, ms + 10, &taken, Err(first));
    let id: Arc<str> = if *taken == *"h1" {
        "e1".into()
    } else {
        "e2".into()
    };
    announce(&mut leader, ms + 50, &id, 50_000);
    let (again, ms) = next_order(&mut leader, ms + 100, ms + 5_000).expect("the order is repeated");
    assert_eq!(again, taken);
    answer(&mut leader, ms + 10, &taken, Ok(()));
    list(&mut leader, ms + 20);
    let other = next_order(&mut leader, ms + 100, ms + 5_000).expect("the wave goes on");
    assert_ne!(other.0, taken);
    assert!(other.1 >= ms + 2_000, "{} ms after the first", other.1 - ms);
}

/// Guards against a wave that is shown as completed without the upkeep of one of its hosts.
#[rstest]
#[case::not_of_the_wave(HostError::OtherWave, &[2])]
#[case::no_such_host(HostError::Unsuitable, &[])]
fn a_host_is_not_removed_from_every_wave_when_the_platform_refuses_one(
    #[case] refusal: HostError,
    #[case] expected: &[u64],
) {
    let mut state = state();
    for number in [1, 2] {
        let order = WaveOrder {
            number,
            hosts: vec!["h1".into()],
            duration_ms: 20_000,
            cap: 1,
        };
        state.apply(Command::Wave {
            order,
            at_ms: moment(0).wall_ms,
        });
    }
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options(), watch, moment(0));
    let hosts = Some(vec![host("h1", "p", Some("e1"))]);
    leader.handle(moment(0), Event::HostList { hosts });
    let upkeep = HostClaim::Upkeep { wave: 1 };
    let ordered = (0..60).map(|tick| tick * 100).find(|ms| {
        let effects = leader.decide(moment(*ms)).after_commit;
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::OrderHost { claim, .. } if *claim == upkeep))
    });
    let answer = Event::HostOrderResult {
        host: "h1".into(),
        claim: upkeep,
        result: Err(refusal),
    };
    leader.handle(moment(ordered.expect("the wave begins") + 10), answer);
    let waves = leader.state().waves().iter();
    let remaining = waves.filter(|(_, wave)| wave.remaining.contains("h1"));
    let remaining: Vec<_> = remaining.map(|(number, _)| *number).collect();
    assert_eq!(remaining, expected);
}
