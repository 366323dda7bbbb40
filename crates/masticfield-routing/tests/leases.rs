//! One lease and its homes, step by step.

use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_routing::guards::{Guard, Guards};
use masticfield_routing::slots::{Grant, Home, HomeOptions, Lease, LeaseOptions};
use rstest::rstest;

const TTL: Duration = Duration::from_millis(300);
const PLEDGE: Duration = Duration::from_millis(150);
const RUN_LIMIT: Duration = Duration::from_millis(400);
const SLOTS: u16 = 8;

fn entry(number: u16) -> EntryId {
    EntryId::new(number)
}

/// A time after the first moments, in which an entry follows no home.
fn ms(ms: u64) -> Duration {
    PLEDGE + Duration::from_millis(ms)
}

fn home(me: u16, entries: u16, guards: Guards) -> Home {
    let options = HomeOptions {
        me: entry(me),
        upstream: "cutter-1".into(),
        incarnation: Incarnation::new(1),
        ttl: TTL,
        pledge: PLEDGE,
    };
    let mut home = Home::new(options, SLOTS, guards);
    home.set_entries((0..entries).map(entry).collect::<Vec<_>>());
    home.raise_run_limit(RUN_LIMIT);
    home
}

fn lease(guards: Guards) -> Lease {
    let options = LeaseOptions {
        upstream: "cutter-1".into(),
        incarnation: Incarnation::new(1),
        sender: Incarnation::new(1),
        local: true,
        pledge: PLEDGE,
    };
    Lease::new(options, guards)
}

/// One wish and its answers, without delay; returns the grant for the wisher.
fn exchange(now: Duration, me: u16, lease: &mut Lease, home: &mut Home, need: u16) -> Grant {
    let (to, wish) = lease.wish(now, 0, need, 0).expect("a home is followed");
    let grants = home.wish(now, entry(me), &wish);
    let mine = grants.into_iter().find(|(id, _)| *id == entry(me));
    let (_, grant) = mine.expect("the wisher is answered");
    lease.accept(now, to, &grant);
    grant
}

/// A lease that holds all slots of home 0, both in an installation of one entry.
fn held(guards: Guards) -> (Lease, Home) {
    let (mut lease, mut home) = (lease(guards), home(0, 1, guards));
    lease.follow(ms(0), Some(entry(0)));
    for at in 0..5 {
        exchange(ms(at), 0, &mut lease, &mut home, SLOTS);
    }
    (lease, home)
}

#[test]
fn a_sole_entry_gets_all_slots_after_a_few_wishes() {
    let (lease, _) = held(Guards::ALL);
    assert_eq!(lease.limit(ms(5)), SLOTS);
}

#[rstest]
#[case::guarded(Guards::ALL, 0)]
#[case::defect(Guards::without(Guard::TtlFromWish), SLOTS)]
fn a_late_grant_allows_nothing(#[case] guards: Guards, #[case] allowed: u16) {
    let (mut lease, mut home) = held(guards);
    let (to, wish) = lease.wish(ms(10), 0, SLOTS, 0).expect("a home is followed");
    let (_, grant) = home.wish(ms(10), entry(0), &wish).remove(0);
    let late = ms(110) + TTL + RUN_LIMIT;
    lease.accept(late, to, &grant);
    assert_eq!(lease.limit(late), allowed);
}

#[test]
fn a_request_may_not_outlast_the_run_limit() {
    let (lease, _) = held(Guards::ALL);
    assert!(lease.allows(ms(5), 0, ms(5) + RUN_LIMIT));
    assert!(!lease.allows(ms(5), 0, ms(6) + RUN_LIMIT));
}

#[test]
fn an_entry_keeps_its_pledge() {
    let (mut lease, _) = held(Guards::ALL);
    lease.follow(ms(3) + PLEDGE, Some(entry(1)));
    assert_eq!(lease.home(), Some(entry(0)));
    lease.follow(ms(4) + PLEDGE, Some(entry(1)));
    assert_eq!(lease.home(), Some(entry(1)));
}

#[rstest]
#[case::handed_over(true, SLOTS)]
#[case::unheard(false, 0)]
fn a_new_home_grants_what_it_was_handed(#[case] handed: bool, #[case] granted: u16) {
    let mut leases = [lease(Guards::ALL), lease(Guards::ALL)];
    let mut old = home(0, 3, Guards::ALL);
    let at = 1_000;
    for now in 0..at + 5 {
        for (me, lease) in (0_u16..).zip(&mut leases) {
            lease.follow(ms(now), Some(entry(0)));
            exchange(ms(now), me, lease, &mut old, 0);
        }
    }
    let resigned = old.resign(ms(at + 5)).expect("a majority follows");
    let mut new = home(2, 3, Guards::ALL);
    for lease in &mut leases {
        lease.release(ms(at + 5), entry(0), &resigned);
        lease.follow(ms(at + 5), Some(entry(2)));
    }
    if handed {
        new.take_over(resigned);
    }
    for now in at + 6..at + 12 {
        for (me, lease) in (0_u16..).zip(&mut leases) {
            let need = if me == 0 { SLOTS } else { 0 };
            exchange(ms(now), me, lease, &mut new, need);
        }
    }
    assert_eq!(leases[0].limit(ms(at + 12)), granted);
}

#[test]
fn an_entry_that_has_just_started_follows_no_home() {
    let mut lease = lease(Guards::ALL);
    lease.follow(Duration::from_millis(149), Some(entry(0)));
    assert_eq!(lease.home(), None);
}

/// Two of three entries wish at a home for a while.
fn follow_for(from: u64, to: u64, leases: &mut [Lease; 2], home: &mut Home, me: u16) {
    for now in (from..to).step_by(10) {
        for (number, lease) in (0_u16..).zip(&mut *leases) {
            lease.follow(ms(now), Some(entry(me)));
            exchange(ms(now), number, lease, home, SLOTS / 2);
        }
    }
}

#[rstest]
#[case::guarded(Guards::ALL, 0)]
#[case::defect(Guards::without(Guard::Lapse), SLOTS / 2)]
fn a_home_that_lost_its_majority_begins_anew(#[case] guards: Guards, #[case] limit: u16) {
    let mut leases = [lease(Guards::ALL), lease(Guards::ALL)];
    let mut home = home(0, 3, guards);
    follow_for(0, 1_000, &mut leases, &mut home, 0);
    assert_eq!(
        leases[0].limit(ms(1_000)),
        SLOTS / 2,
        "the old grants have ended"
    );
    follow_for(3_000, 3_100, &mut leases, &mut home, 0);
    assert_eq!(leases[0].limit(ms(3_100)), limit);
}

#[rstest]
#[case::guarded(Guards::ALL, false)]
#[case::defect(Guards::without(Guard::Restart), true)]
fn a_restarted_entry_makes_no_second_home(#[case] guards: Guards, #[case] second: bool) {
    let mut leases = [lease(Guards::ALL), lease(Guards::ALL)];
    let mut old = home(0, 3, Guards::ALL);
    follow_for(0, 1_000, &mut leases, &mut old, 0);
    let mut new = home(2, 3, Guards::ALL);
    let mut restarted = [lease(guards), lease(guards)];
    for now in 0..5 {
        let started = Duration::from_millis(now);
        for (me, lease) in (1_u16..).zip(&mut restarted) {
            lease.follow(started, Some(entry(2)));
            if let Some((to, wish)) = lease.wish(started, 0, 0, 0) {
                for (_, grant) in new.wish(started, entry(me), &wish) {
                    lease.accept(started, to, &grant);
                }
            }
        }
    }
    let both = old.is_in_office(ms(1_005)) && new.is_in_office(Duration::from_millis(5));
    assert_eq!(both, second);
}
