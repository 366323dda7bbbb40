//! Relays of calls to executors: which calls may be sent, and what becomes of lost ones.

use std::time::Duration;

use assert_matches::assert_matches;
use masticfield_jobs::job::{JobId, Resources, RunId, TaskId};
use masticfield_jobs::leader::{Announcement, Call, CallError, Event};
use masticfield_jobs::relay::{
    CALL_VALIDITY, CallResult, ClockBound, ConfirmedAnnouncements, ExecutorCall, RelayGate,
    RelayKey, RelayOffer, RelayOptions, RelayVerdict, RelayedCall, Relays, Route,
};
use masticfield_jobs::state::{ExecutorIncarnation, ExecutorKey};
use proptest::prelude::*;
use rstest::rstest;

/// Enough executors for relays to be used.
const MANY: usize = 500;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(number: u64) -> RunId {
    TaskId::new(JobId::new(number), 0, 0, 0).run(1)
}

fn stop(executor: u32, at: Duration) -> ExecutorCall {
    ExecutorCall {
        executor: ExecutorKey(executor),
        id: format!("e{executor}").into(),
        address: "127.0.0.1:1".into(),
        term: 3,
        decided: at,
        call: Call::Stop { run: run(7) },
    }
}

fn offer(zone: &str, number: u64) -> RelayOffer {
    RelayOffer {
        zone: zone.into(),
        announce_address: format!("10.0.0.{number}:7062").into(),
    }
}

/// Relays 1 to 4 in zone a, 5 and 6 in zone b, all connected at 10 s.
fn relays() -> Relays {
    let mut relays = Relays::new(RelayOptions::new());
    for number in 1..=6 {
        let zone = if number <= 4 { "a" } else { "b" };
        relays.connect(ms(10_000), RelayKey(number), offer(zone, number));
    }
    relays
}

fn relay_of(relays: &mut Relays, now: Duration, executor: u32, zone: &str) -> Option<RelayKey> {
    match relays.route(now, stop(executor, now), zone, MANY) {
        Route::Direct(_) => None,
        Route::Relay(relay, _) => Some(relay),
    }
}

/// Guards against a call for a former incarnation, or of a former leader, that the executor carries out
/// after a later one.
#[rstest]
#[case::later_incarnation((3, 7), (3, 8))]
#[case::later_leader((3, 7), (4, 7))]
#[case::later_leader_and_the_highest_key((3, u32::MAX), (4, 1))]
fn a_later_call_has_a_higher_fence(#[case] former: (u64, u32), #[case] later: (u64, u32)) {
    let fence = |(term, executor)| {
        let call = ExecutorCall {
            term,
            ..stop(executor, ms(0))
        };
        call.fence()
    };
    assert!(fence(former) < fence(later));
}

#[rstest]
#[case::few_executors(100, false)]
#[case::many_executors(MANY, true)]
fn calls_go_through_relays_if_there_are_many_executors(
    #[case] executors: usize,
    #[case] expected: bool,
) {
    let mut relays = relays();
    let route = relays.route(ms(10_000), stop(1, ms(10_000)), "a", executors);
    assert_eq!(matches!(route, Route::Relay(..)), expected);
    assert_eq!(
        relays.announce_address("e1", "a", executors).is_some(),
        expected
    );
    let none = Relays::new(RelayOptions::new()).route(ms(0), stop(1, ms(0)), "a", executors);
    assert_matches!(none, Route::Direct(_));
}

#[test]
fn executors_get_relays_of_their_zone_and_share_them() {
    let mut relays = relays();
    let mut load = [0; 7];
    for executor in 0..200 {
        let relay = relay_of(&mut relays, ms(10_000), executor, "a").unwrap();
        assert!(relay.0 <= 4, "{relay:?} is in another zone");
        load[usize::try_from(relay.0).unwrap()] += 1;
    }
    assert!(
        load[1..=4].iter().all(|count| (25..=80).contains(count)),
        "{load:?}"
    );
    assert!(
        relay_of(&mut relays, ms(10_000), 1, "c").is_some(),
        "no zone of its own"
    );
}

#[test]
fn only_executors_of_a_lost_relay_change_theirs() {
    let mut relays = relays();
    let before: Vec<_> = (0..100)
        .map(|executor| relay_of(&mut relays, ms(10_000), executor, "a"))
        .collect();
    relays.disconnect(RelayKey(2));
    for (executor, relay) in (0..).zip(before) {
        let after = relay_of(&mut relays, ms(10_010), executor, "a");
        if relay == Some(RelayKey(2)) {
            assert_ne!(after, relay);
        } else {
            assert_eq!(after, relay);
        }
    }
}

/// A call may have reached its executor although the relay that carried it is lost.
#[test]
fn calls_of_a_lost_relay_have_unknown_results() {
    let mut relays = relays();
    let Route::Relay(relay, call) = relays.route(ms(10_000), stop(1, ms(10_000)), "a", MANY) else {
        panic!("no relay");
    };
    let events = relays.disconnect(relay);
    assert_matches!(
        events.as_slice(),
        [Event::StopResult {
            executor: ExecutorKey(1),
            result: Err(CallError::Unknown),
            ..
        }]
    );
    let late = relays.resolve(call.number, CallResult::Order(Ok(5)));
    assert!(late.is_none(), "a result after the call was given up");
}

#[test]
fn a_silent_relay_is_given_up_and_gets_calls_again_once_it_is_heard() {
    let mut relays = relays();
    let relay = relay_of(&mut relays, ms(10_000), 1, "a").unwrap();
    for number in (1..=6).filter(|number| *number != relay.0) {
        relays.record_contact(ms(11_200), RelayKey(number));
    }
    assert!(relays.expire(ms(11_000)).is_empty());
    assert_eq!(relays.expire(ms(11_400)).len(), 1, "the call is given up");
    assert_ne!(relay_of(&mut relays, ms(11_500), 1, "a"), Some(relay));
    for now in (11_600..17_000).step_by(100) {
        (1..=6).for_each(|number| relays.record_contact(ms(now), RelayKey(number)));
        relays.expire(ms(now));
    }
    assert_eq!(relay_of(&mut relays, ms(17_000), 1, "a"), Some(relay));
}

#[test]
fn a_call_without_a_result_is_given_up() {
    let mut relays = relays();
    assert!(relay_of(&mut relays, ms(10_000), 1, "a").is_some());
    let mut given_up = None;
    for now in (10_000..12_000).step_by(50) {
        (1..=6).for_each(|number| relays.record_contact(ms(now), RelayKey(number)));
        if !relays.expire(ms(now)).is_empty() {
            given_up = Some(now);
            break;
        }
    }
    let given_up = given_up.expect("the call is given up");
    // Neither before the executor's answer may have arrived, nor much later.
    assert!((10_900..=11_300).contains(&given_up), "{given_up}");
}

/// A gate whose leader's clock is 100 s ahead, and a ticket of a call decided at 10 s local time.
fn gate_with_call() -> (RelayGate, masticfield_jobs::relay::CallTicket) {
    let mut gate = RelayGate::default();
    let connection = gate.connect();
    gate.record_leader_clock(ms(9_990), ms(109_995));
    let ticket = gate.ticket(connection, 3, ms(110_000));
    (gate, ticket)
}

#[test]
fn a_call_is_sent_as_long_as_it_is_valid() {
    let (gate, ticket) = gate_with_call();
    assert_eq!(gate.check(ticket, ms(10_001)), RelayVerdict::Send);
    assert_eq!(gate.check(ticket, ms(10_390)), RelayVerdict::Send);
    // Also if the process was paused meanwhile.
    assert_eq!(gate.check(ticket, ms(10_410)), RelayVerdict::Expired);
}

#[test]
fn a_call_of_unknown_age_is_not_sent() {
    let mut gate = RelayGate::default();
    let connection = gate.connect();
    let ticket = gate.ticket(connection, 3, ms(110_000));
    assert_eq!(gate.check(ticket, ms(10_000)), RelayVerdict::Expired);
}

#[test]
fn a_call_of_an_ended_connection_is_not_sent() {
    let (mut gate, ticket) = gate_with_call();
    gate.disconnect();
    assert_eq!(gate.check(ticket, ms(10_001)), RelayVerdict::Disconnected);
    gate.connect();
    gate.record_leader_clock(ms(9_990), ms(109_995));
    assert_eq!(gate.check(ticket, ms(10_002)), RelayVerdict::Disconnected);
}

#[test]
fn a_call_of_a_deposed_leader_is_not_sent() {
    let (mut gate, ticket) = gate_with_call();
    let later = gate.connect();
    gate.record_leader_clock(ms(9_990), ms(109_995));
    gate.ticket(later, 4, ms(110_000));
    // The deposed leader still listens, and the entry has connected to it again.
    let again = gate.connect();
    gate.record_leader_clock(ms(9_990), ms(109_995));
    let stale = gate.ticket(again, 3, ms(110_000));
    assert_eq!(gate.check(stale, ms(10_001)), RelayVerdict::Deposed);
    assert_eq!(gate.check(ticket, ms(10_001)), RelayVerdict::Disconnected);
}

proptest! {
    /// However messages are delayed, no age is estimated below the true one, so that no call is
    /// sent after its time.
    #[test]
    fn ages_are_never_underestimated(
        ahead_ms in 0_u64..1_000_000,
        exchanges in prop::collection::vec((1_u64..5_000, 0_u64..3_000, 0_u64..3_000), 1..20),
        decided_after in 0_u64..1_000,
        delay in 0_u64..3_000,
    ) {
        let leader = |local: u64| ms(local + ahead_ms);
        let mut bound = ClockBound::default();
        let mut local = 50_000;
        for (pause, out, back) in exchanges {
            local += pause;
            let sent = local;
            bound.record(ms(sent), leader(sent + out));
            local = sent + out + back;
        }
        let decided = local + decided_after;
        let now = decided + delay;
        let age = bound.max_age(ms(now), leader(decided)).expect("there were exchanges");
        prop_assert!(age >= ms(delay), "{age:?} instead of {delay} ms");
        let mut gate = RelayGate::default();
        let connection = gate.connect();
        gate.record_leader_clock(ms(local), leader(local));
        let ticket = gate.ticket(connection, 1, leader(decided));
        let sent = gate.check(ticket, ms(now)) == RelayVerdict::Send;
        prop_assert_eq!(sent, ms(delay) <= CALL_VALIDITY);
    }
}

fn announcement(started_ms: u64, sequence: u64, leaving: bool) -> Announcement {
    Announcement {
        incarnation: ExecutorIncarnation {
            id: "e1".into(),
            started_ms,
            pool: "p".into(),
            address: "127.0.0.1:1".into(),
            zone: "a".into(),
            labels: Vec::new(),
            rack: None,
            capacity: Resources::default(),
        },
        sequence,
        clock_ms: 40,
        leaving,
    }
}

#[rstest]
#[case::unchanged(5, false, 2_000, true)]
#[case::leaving(5, true, 2_000, false)]
#[case::restarted(9, false, 2_000, false)]
#[case::confirmed_long_ago(5, false, 7_000, false)]
fn only_unchanged_announcements_are_shortened(
    #[case] started_ms: u64,
    #[case] leaving: bool,
    #[case] at_ms: u64,
    #[case] expected: bool,
) {
    let mut confirmed = ConfirmedAnnouncements::default();
    let later = announcement(started_ms, 2, leaving);
    assert_eq!(
        confirmed.brief(ms(at_ms), &later),
        None,
        "nothing is confirmed"
    );
    confirmed.confirm(ms(1_000), &announcement(5, 1, false));
    assert_eq!(confirmed.brief(ms(at_ms), &later).is_some(), expected);
    confirmed.clear();
    assert_eq!(
        confirmed.brief(ms(at_ms), &later),
        None,
        "the connection has ended"
    );
}

#[test]
fn an_announcement_of_another_capacity_is_passed_on_in_full() {
    let mut confirmed = ConfirmedAnnouncements::default();
    confirmed.confirm(ms(1_000), &announcement(5, 1, false));
    let mut resized = announcement(5, 2, false);
    resized.incarnation.capacity.cpu_milli = 1;
    assert_eq!(confirmed.brief(ms(2_000), &resized), None);
}

#[test]
fn a_relayed_call_survives_its_encoding() {
    let call = RelayedCall {
        number: 9,
        call: stop(1, ms(5)),
    };
    let bytes = postcard::to_stdvec(&call).unwrap();
    assert_eq!(postcard::from_bytes::<RelayedCall>(&bytes).unwrap(), call);
}
