//! Decisions about the memory of request bodies.

use std::time::{Duration, Instant};

use masticfield_node::http::{BodyBudget, BodyKey, Room, SMALL_BODY_BYTES, STALL_TIME};
use rstest::rstest;

const KB: usize = 1024;

/// Total of the budgets in bytes, of which a quarter is reserved for small bodies.
const TOTAL: usize = 400 * KB;

/// A body that a test adds before the one that asks for room.
#[derive(Debug, Clone, Copy)]
struct Earlier {
    bytes: usize,
    /// Time without progress; `None` if the body is complete.
    stalled: Option<Duration>,
}

/// Result of a request for room, with the position of the body to give up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Granted,
    GiveUp(usize),
    Refused,
}

const fn arriving(bytes: usize) -> Earlier {
    stalled(bytes, 0)
}

const fn stalled(bytes: usize, seconds: u64) -> Earlier {
    Earlier {
        bytes,
        stalled: Some(Duration::from_secs(seconds)),
    }
}

const fn complete(bytes: usize) -> Earlier {
    Earlier {
        bytes,
        stalled: None,
    }
}

/// Adds bodies that hold what they are given, which the budget must grant.
fn add(budget: &mut BodyBudget, earlier: &[Earlier], now: Instant) -> Vec<BodyKey> {
    let add = |body: &Earlier| {
        let key = budget.insert(now.checked_sub(body.stalled.unwrap_or_default()).unwrap());
        assert_eq!(budget.raise(key, body.bytes, now), Room::Granted);
        if body.stalled.is_none() {
            budget.complete(key);
        }
        key
    };
    earlier.iter().map(add).collect()
}

/// An instant that is late enough to subtract times from.
fn now() -> Instant {
    Instant::now() + Duration::from_hours(1)
}

#[rstest]
#[case::empty_budget(&[], 300 * KB, Expected::Granted)]
#[case::reserved_part_is_not_for_large_bodies(&[], 301 * KB, Expected::Refused)]
#[case::large_bodies_share_their_part(&[arriving(200 * KB)], 101 * KB, Expected::Refused)]
#[case::small_body_uses_the_reserved_part(&[arriving(300 * KB)], 16 * KB, Expected::Granted)]
#[case::bodies_that_progress_are_kept(
    &[arriving(150 * KB), arriving(150 * KB)], 100 * KB, Expected::Refused
)]
#[case::complete_bodies_are_kept(&[complete(300 * KB)], 100 * KB, Expected::Refused)]
#[case::stalled_body_is_given_up(
    &[arriving(150 * KB), stalled(150 * KB, 1)], 100 * KB, Expected::GiveUp(1)
)]
#[case::of_equal_size_the_longest_stalled_is_given_up(
    &[stalled(150 * KB, 2), stalled(150 * KB, 3)], 100 * KB, Expected::GiveUp(1)
)]
#[case::size_weighs_as_much_as_time(
    &[stalled(20 * KB, 4), stalled(280 * KB, 1)], 100 * KB, Expected::GiveUp(1)
)]
#[case::none_is_given_up_in_vain(
    &[arriving(250 * KB), stalled(50 * KB, 9)], 100 * KB, Expected::Refused
)]
#[case::small_bodies_do_not_make_room_in_the_part_of_large_ones(
    &[arriving(300 * KB), stalled(16 * KB, 9)], 100 * KB, Expected::Refused
)]
#[case::nothing_fits_beyond_the_total(&[], 401 * KB, Expected::Refused)]
fn room_is_decided_by_size_and_progress(
    #[case] earlier: &[Earlier],
    #[case] bytes: usize,
    #[case] expected: Expected,
) {
    let (mut budget, now) = (BodyBudget::new(TOTAL, TOTAL / 4), now());
    let keys = add(&mut budget, earlier, now);
    let key = budget.insert(now);
    let expected = match expected {
        Expected::Granted => Room::Granted,
        Expected::GiveUp(position) => Room::GiveUp(keys[position]),
        Expected::Refused => Room::Refused,
    };
    assert_eq!(budget.raise(key, bytes, now), expected);
}

#[test]
fn a_body_that_stalled_only_briefly_is_kept() {
    let (mut budget, now) = (BodyBudget::new(TOTAL, 0), now());
    let briefly = STALL_TIME.checked_sub(Duration::from_millis(1)).unwrap();
    let earlier = Earlier {
        bytes: TOTAL,
        stalled: Some(briefly),
    };
    let [other] = add(&mut budget, &[earlier], now)[..] else {
        unreachable!("one body was added")
    };
    let key = budget.insert(now);
    assert_eq!(budget.raise(key, KB, now), Room::Refused);
    let later = now + Duration::from_millis(1);
    assert_eq!(budget.raise(key, KB, later), Room::GiveUp(other));
    budget.progressed(other, later);
    assert_eq!(budget.raise(key, KB, later), Room::Refused);
}

#[test]
fn stalled_small_bodies_do_not_use_up_the_budget() {
    let (mut budget, now) = (BodyBudget::new(TOTAL, TOTAL / 4), now());
    let crowd = vec![stalled(SMALL_BODY_BYTES, 1); TOTAL / SMALL_BODY_BYTES];
    add(&mut budget, &crowd, now);
    assert_eq!(budget.held(), TOTAL);
    let key = budget.insert(now);
    let mut given_up = 0;
    while let Room::GiveUp(other) = budget.raise(key, 100 * KB, now) {
        budget.remove(other);
        given_up += 1;
    }
    assert_eq!(
        (given_up, budget.held()),
        (7, 18 * SMALL_BODY_BYTES + 100 * KB)
    );
}

#[test]
fn a_removed_body_holds_nothing() {
    let (mut budget, now) = (BodyBudget::new(TOTAL, TOTAL / 4), now());
    let keys = add(&mut budget, &[complete(300 * KB), arriving(10 * KB)], now);
    assert_eq!(budget.held(), 310 * KB);
    assert_eq!(budget.remove(keys[0]), 300 * KB);
    assert_eq!(budget.remove(keys[0]), 0);
    assert_eq!(budget.held(), 10 * KB);
    assert_eq!(budget.raise(keys[0], KB, now), Room::Refused);
    assert_eq!(budget.raise(keys[1], 300 * KB, now), Room::Granted);
}
