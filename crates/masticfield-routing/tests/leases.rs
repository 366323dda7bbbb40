//! Single leases and homes, without a network.

use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_routing::guards::{Guard, Guards};
use masticfield_routing::slots::{
    Grant, GrantOutcome, Home, HomeOptions, Lease, LeaseOptions, Renewal, RenewalBase, Renewed,
};
use rstest::rstest;

const TTL: Duration = Duration::from_millis(300);
const VOTE_TTL: Duration = Duration::from_millis(150);
const RUN_LIMIT: Duration = Duration::from_millis(400);
const SLOTS: u16 = 8;

fn entry(number: u16) -> EntryId {
    EntryId::new(number)
}

/// A time on an entry's clock, after the period at its start in which it follows no home.
fn ms(ms: u64) -> Duration {
    VOTE_TTL + Duration::from_millis(ms)
}

fn home(number: u16, entries: u16, guards: Guards) -> Home {
    let options = HomeOptions {
        entry: entry(number),
        upstream: "cutter-1".into(),
        incarnation: Incarnation::new(1),
        ttl: TTL,
        vote_ttl: VOTE_TTL,
    };
    let mut home = Home::new(options, SLOTS, guards);
    home.set_entries((0..entries).map(entry).collect::<Vec<_>>());
    home.raise_run_limit(RUN_LIMIT);
    home
}

fn options() -> LeaseOptions {
    LeaseOptions {
        upstream: "cutter-1".into(),
        incarnation: Incarnation::new(1),
        sender: Incarnation::new(1),
        local: true,
        vote_ttl: VOTE_TTL,
    }
}

fn lease(guards: Guards) -> Lease {
    Lease::new(options(), guards)
}

/// Exchanges a slot request and its answer without delay; returns the grant of the requester.
fn exchange(now: Duration, number: u16, lease: &mut Lease, home: &mut Home, demand: u16) -> Grant {
    let (to, request) = lease
        .request(now, 0, demand, 0)
        .expect("a home is followed");
    let grants = home.handle_request(now, entry(number), &request);
    let own = grants.into_iter().find(|(id, _)| *id == entry(number));
    let (_, grant) = own.expect("the requester is answered");
    lease.apply(now, to, &grant);
    grant
}

/// A lease that holds all slots of home 0, in an installation of one entry.
fn sole_entry(guards: Guards) -> (Lease, Home) {
    let (mut lease, mut home) = (lease(guards), home(0, 1, guards));
    lease.follow(ms(0), Some(entry(0)));
    for at in 0..5 {
        exchange(ms(at), 0, &mut lease, &mut home, SLOTS);
    }
    (lease, home)
}

#[test]
fn a_sole_entry_gets_all_slots_after_a_few_requests() {
    let (lease, _) = sole_entry(Guards::ALL);
    assert_eq!(lease.limit(ms(5)), SLOTS);
}

#[rstest]
#[case::guarded(Guards::ALL, 0)]
#[case::defect(Guards::without(Guard::TtlFromRequest), SLOTS)]
fn a_late_grant_allows_nothing(#[case] guards: Guards, #[case] allowed: u16) {
    let (mut lease, mut home) = sole_entry(guards);
    let (to, request) = lease
        .request(ms(10), 0, SLOTS, 0)
        .expect("a home is followed");
    let (_, grant) = home.handle_request(ms(10), entry(0), &request).remove(0);
    let late = ms(110) + TTL + RUN_LIMIT;
    lease.apply(late, to, &grant);
    assert_eq!(lease.limit(late), allowed);
}

#[test]
fn a_request_may_not_outlast_the_run_limit() {
    let (lease, _) = sole_entry(Guards::ALL);
    assert!(lease.allows(ms(5), 0, ms(5) + RUN_LIMIT));
    assert!(!lease.allows(ms(5), 0, ms(6) + RUN_LIMIT));
}

#[test]
fn a_vote_binds_an_entry_to_its_home() {
    let (mut lease, _) = sole_entry(Guards::ALL);
    lease.follow(ms(3) + VOTE_TTL, Some(entry(1)));
    assert_eq!(lease.home(), Some(entry(0)));
    lease.follow(ms(4) + VOTE_TTL, Some(entry(1)));
    assert_eq!(lease.home(), Some(entry(1)));
}

#[rstest]
#[case::with_notice(true, SLOTS)]
#[case::without_notice(false, 0)]
fn a_new_home_grants_at_once_what_was_handed_over(#[case] handed_over: bool, #[case] granted: u16) {
    let mut leases = [lease(Guards::ALL), lease(Guards::ALL)];
    let mut old = home(0, 3, Guards::ALL);
    let end = 1_000;
    for now in 0..end + 5 {
        for (number, lease) in (0_u16..).zip(&mut leases) {
            lease.follow(ms(now), Some(entry(0)));
            exchange(ms(now), number, lease, &mut old, 0);
        }
    }
    let notice = old.step_down(ms(end + 5)).expect("a majority votes");
    let mut new = home(2, 3, Guards::ALL);
    for lease in &mut leases {
        lease.release(ms(end + 5), entry(0), &notice);
        lease.follow(ms(end + 5), Some(entry(2)));
    }
    if handed_over {
        new.accept_handover(notice);
    }
    for now in end + 6..end + 12 {
        for (number, lease) in (0_u16..).zip(&mut leases) {
            let demand = if number == 0 { SLOTS } else { 0 };
            exchange(ms(now), number, lease, &mut new, demand);
        }
    }
    assert_eq!(leases[0].limit(ms(end + 12)), granted);
}

#[test]
fn an_entry_that_has_just_started_follows_no_home() {
    let mut lease = lease(Guards::ALL);
    lease.follow(Duration::from_millis(149), Some(entry(0)));
    assert_eq!(lease.home(), None);
}

/// Lets two of three entries follow the home `followed` and request slots, every 10 ms.
fn follow_between(from: u64, to: u64, leases: &mut [Lease; 2], home: &mut Home, followed: u16) {
    for now in (from..to).step_by(10) {
        for (number, lease) in (0_u16..).zip(&mut *leases) {
            lease.follow(ms(now), Some(entry(followed)));
            exchange(ms(now), number, lease, home, SLOTS / 2);
        }
    }
}

#[rstest]
#[case::guarded(Guards::ALL, 0)]
#[case::defect(Guards::without(Guard::Lapse), SLOTS / 2)]
fn a_home_that_lost_its_majority_starts_a_new_term(#[case] guards: Guards, #[case] limit: u16) {
    let mut leases = [lease(Guards::ALL), lease(Guards::ALL)];
    let mut home = home(0, 3, guards);
    follow_between(0, 1_000, &mut leases, &mut home, 0);
    assert_eq!(
        leases[0].limit(ms(1_000)),
        SLOTS / 2,
        "the grants from before the term have ended"
    );
    follow_between(3_000, 3_100, &mut leases, &mut home, 0);
    assert_eq!(leases[0].limit(ms(3_100)), limit);
}

#[rstest]
#[case::guarded(Guards::ALL, false)]
#[case::defect(Guards::without(Guard::Restart), true)]
fn a_restarted_entry_does_not_elect_a_second_home(#[case] guards: Guards, #[case] elected: bool) {
    let mut leases = [lease(Guards::ALL), lease(Guards::ALL)];
    let mut old = home(0, 3, Guards::ALL);
    follow_between(0, 1_000, &mut leases, &mut old, 0);
    let mut new = home(2, 3, Guards::ALL);
    let mut restarted = [lease(guards), lease(guards)];
    for now in 0..5 {
        let since_start = Duration::from_millis(now);
        for (number, lease) in (1_u16..).zip(&mut restarted) {
            lease.follow(since_start, Some(entry(2)));
            if let Some((to, request)) = lease.request(since_start, 0, 0, 0) {
                for (_, grant) in new.handle_request(since_start, entry(number), &request) {
                    lease.apply(since_start, to, &grant);
                }
            }
        }
    }
    let both = old.is_active(ms(1_005)) && new.is_active(Duration::from_millis(5));
    assert_eq!(both, elected);
}

#[rstest]
#[case::after_a_restart(true)]
#[case::after_a_pause_longer_than_the_vote(false)]
fn an_entry_without_a_vote_gets_slots_of_a_home_in_its_term(#[case] restarted: bool) {
    let mut leases = [lease(Guards::ALL), lease(Guards::ALL), lease(Guards::ALL)];
    let mut home = home(0, 3, Guards::ALL);
    for now in (0..3_000).step_by(10) {
        for (number, lease) in (0_u16..).zip(&mut leases) {
            if number == 2 && now >= 2_000 {
                continue;
            }
            lease.follow(ms(now), Some(entry(0)));
            exchange(ms(now), number, lease, &mut home, 1);
        }
    }
    if restarted {
        leases[2] = Lease::new(
            LeaseOptions {
                sender: Incarnation::new(2),
                ..options()
            },
            Guards::ALL,
        );
    }
    for now in (3_000..3_100).step_by(10) {
        for (number, lease) in (0_u16..).zip(&mut leases) {
            lease.follow(ms(now), Some(entry(0)));
            exchange(ms(now), number, lease, &mut home, 1);
        }
    }
    assert_eq!(leases[2].limit(ms(3_100)), 1);
}

/// Repeats the latest slot request of a lease at `sent`; returns the home's extension.
fn renew(sent: Duration, number: u16, lease: &mut Lease, home: &mut Home) -> Renewed {
    let (base, echo) = lease
        .repeats(sent, 0, SLOTS, 0)
        .expect("the latest request was answered and is unchanged");
    lease.renew(sent);
    let renewal = Renewal {
        sender: Incarnation::new(1),
        seq: base + 1,
        echo,
        bases: vec![RenewalBase {
            seq: base,
            count: 1,
        }],
    };
    assert_eq!(home.repeated_base(entry(number), &renewal), Some(base));
    assert_eq!(home.handle_renewal(sent, entry(number), &renewal), []);
    Renewed {
        receiver: Incarnation::new(1),
        request_seq: renewal.seq,
        timestamp: sent,
    }
}

#[test]
fn a_renewal_extends_a_grant_from_the_time_of_its_sending() {
    let (mut lease, mut home) = sole_entry(Guards::ALL);
    let renewed = renew(ms(100), 0, &mut lease, &mut home);
    let outcome = lease.extend(ms(120), entry(0), &renewed);
    assert_eq!(outcome, GrantOutcome::Applied);
    assert_eq!(lease.limit(ms(99) + TTL), SLOTS);
    assert_eq!(lease.limit(ms(100) + TTL), 0);
}

#[rstest]
#[case::unchanged(SLOTS, true)]
#[case::other_demand(SLOTS - 1, false)]
fn only_an_unchanged_request_is_repeated(#[case] demand: u16, #[case] repeated: bool) {
    let (lease, _) = sole_entry(Guards::ALL);
    assert_eq!(lease.repeats(ms(10), 0, demand, 0).is_some(), repeated);
}

#[test]
fn an_unanswered_request_is_not_repeated() {
    let (mut lease, mut home) = sole_entry(Guards::ALL);
    renew(ms(100), 0, &mut lease, &mut home);
    assert_eq!(lease.repeats(ms(110), 0, SLOTS, 0), None);
}

#[rstest]
#[case::known(Incarnation::new(1), 5, Some(5))]
#[case::of_another_incarnation(Incarnation::new(2), 5, None)]
#[case::of_an_earlier_request(Incarnation::new(1), 4, None)]
fn a_home_extends_only_requests_that_it_knows(
    #[case] sender: Incarnation,
    #[case] seq: u64,
    #[case] base: Option<u64>,
) {
    let (_, home) = sole_entry(Guards::ALL);
    let renewal = Renewal {
        sender,
        seq: 6,
        echo: ms(4),
        bases: vec![RenewalBase { seq, count: 1 }],
    };
    assert_eq!(home.repeated_base(entry(0), &renewal), base);
}

#[test]
fn a_home_extends_nothing_once_it_has_sent_another_grant() {
    let mut leases = [lease(Guards::ALL), lease(Guards::ALL)];
    let mut home = home(0, 2, Guards::ALL);
    follow_between(0, 1_000, &mut leases, &mut home, 0);
    let (base, echo) = leases[0]
        .repeats(ms(1_000), 0, SLOTS / 2, 0)
        .expect("the latest request was answered and is unchanged");
    // More demand of the other entry lowers the grant.
    exchange(ms(1_000), 1, &mut leases[1], &mut home, 8 * SLOTS);
    let renewal = Renewal {
        sender: Incarnation::new(1),
        seq: base + 1,
        echo,
        bases: vec![RenewalBase {
            seq: base,
            count: 1,
        }],
    };
    assert_eq!(home.repeated_base(entry(0), &renewal), None);
}

/// The home has lowered the grant to what a later request reported as held.
#[rstest]
#[case::guarded(Guards::ALL, 0)]
#[case::defect(Guards::without(Guard::LateExtension), SLOTS)]
fn a_late_extension_allows_nothing(#[case] guards: Guards, #[case] allowed: u16) {
    let (mut lease, mut home) = sole_entry(guards);
    let renewed = renew(ms(100), 0, &mut lease, &mut home);
    // The grant has expired, and the next request reports no slots as held.
    let (_, request) = lease
        .request(ms(4) + TTL, 0, SLOTS, 0)
        .expect("a home is followed");
    assert_eq!(request.held, 0);
    lease.extend(ms(10) + TTL, entry(0), &renewed);
    assert_eq!(lease.limit(ms(10) + TTL), allowed);
}
