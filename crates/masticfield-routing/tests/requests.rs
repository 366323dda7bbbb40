//! One router on its own: admission, retries, outliers and availability zones.

#[path = "common/world.rs"]
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use assert_matches::assert_matches;
use masticfield_core::ids::Incarnation;
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use masticfield_routing::options::RouterOptions;
use masticfield_routing::request::{
    Admission, Dispatch, DispatchOutcome, NextStep, Request, RouterAction,
};
use masticfield_routing::router::{Router, RouterIdentity};
use masticfield_routing::slots::SlotPolicy;
use rstest::rstest;
use world::{SLOTS, id, news, spec};

const RUN: Duration = Duration::from_millis(20);

/// Slots of both upstreams.
const ALL_SLOTS: u16 = 2 * SLOTS;

/// A router that has two upstreams for itself.
fn router() -> (Router, Duration) {
    let options = RouterOptions {
        policy: SlotPolicy::StaticShare,
        ..RouterOptions::default()
    };
    let identity = RouterIdentity {
        entry: id(0),
        incarnation: Incarnation::new(1),
        zone: "zone-0".into(),
    };
    let mut router = Router::new(identity, options, 7);
    router.configure(&[spec()]);
    router.set_entries(Duration::ZERO, &[id(0)], &[id(0)]);
    for number in 0..2 {
        router.upsert_upstream(Duration::ZERO, &news(number, false));
    }
    (router, Duration::from_secs(1))
}

fn request(caller: &str, idempotent: bool) -> Request {
    Request {
        service: "cutting".into(),
        caller: caller.into(),
        zone: None,
        deadline: None,
        idempotent,
    }
}

fn run(router: &mut Router, now: Duration, idempotent: bool) -> Dispatch {
    match router.admit(now, request("salon-1", idempotent)) {
        Admission::Run(dispatch) => dispatch,
        other => panic!("a slot is free: {other:?}"),
    }
}

/// Fills the slots and teaches the router the run time.
fn busy(router: &mut Router, now: &mut Duration) -> Vec<Dispatch> {
    let first = run(router, *now, true);
    *now += RUN;
    router.finish(*now, first.key, DispatchOutcome::Answered { faulty: false });
    (0..ALL_SLOTS).map(|_| run(router, *now, true)).collect()
}

#[test]
fn a_near_upstream_is_preferred_until_it_is_full() {
    let (mut router, now) = router();
    let zones: Vec<_> = (0..ALL_SLOTS)
        .map(|_| run(&mut router, now, true).id)
        .collect();
    let near = zones.iter().take(4).all(|id| **id == *"cutter-0");
    let far = zones.iter().skip(4).all(|id| **id == *"cutter-1");
    assert!(near && far, "{zones:?}");
}

#[test]
fn what_cannot_finish_in_time_is_refused_at_once() {
    let (mut router, mut now) = router();
    busy(&mut router, &mut now);
    let late = Request {
        deadline: Some(RUN),
        ..request("salon-1", true)
    };
    let refused = router.admit(now, late);
    assert_matches!(refused, Admission::Refuse(r) if r.reason == NotRunReason::Overloaded);
}

#[test]
fn refused_callers_come_back_at_different_times() {
    let (mut router, now) = router();
    router.stop(now);
    let mut after = Vec::new();
    for _ in 0..20 {
        match router.admit(now, request("salon-1", true)) {
            Admission::Refuse(refusal) => after.push(refusal.retry_after),
            other => panic!("the router has stopped: {other:?}"),
        }
    }
    after.sort_unstable();
    after.dedup();
    assert_eq!(after.len(), 20);
}

#[test]
fn a_waiting_request_is_refused_as_soon_as_it_cannot_be_answered() {
    let (mut router, mut now) = router();
    busy(&mut router, &mut now);
    let admitted = router.admit(now, request("salon-1", true));
    let Admission::Wait(waiter) = admitted else {
        panic!("all slots are taken: {admitted:?}");
    };
    drop(router.take_actions());
    router.tick(now + Duration::from_millis(390));
    let done = router.take_actions();
    let refused = |action: &RouterAction| matches!(action, RouterAction::Done(w, Outcome::NotRun { .. }) if *w == waiter);
    assert!(done.iter().any(refused), "{done:?}");
}

#[test]
fn a_flood_leaves_the_other_callers_their_share() {
    let (mut router, mut now) = router();
    let mut running = busy(&mut router, &mut now);
    let mut answered = BTreeMap::new();
    for round in 0..2_000_u32 {
        let callers = (0..20).map(|_| 0).chain([1 + round % 4]);
        for caller in callers {
            let req = request(&format!("salon-{caller}"), true);
            let admitted = !matches!(router.admit(now, req), Admission::Refuse(_));
            *answered.entry(caller).or_insert(0_u32) += u32::from(admitted);
        }
        now += RUN / u32::from(ALL_SLOTS);
        router.finish(
            now,
            running.remove(0).key,
            DispatchOutcome::Answered { faulty: false },
        );
        for action in router.take_actions() {
            if let RouterAction::Run(_, dispatch) = action {
                running.push(dispatch);
            }
        }
    }
    let least = (1..5).map(|caller| answered[&caller]).min();
    assert!(answered[&0] < 2 * least.unwrap_or(0), "{answered:?}");
}

#[rstest]
#[case::lost_idempotent(true, DispatchOutcome::Lost(UnknownReason::ConnectionLost), true)]
#[case::lost_other(false, DispatchOutcome::Lost(UnknownReason::ConnectionLost), false)]
#[case::refused_other(false, DispatchOutcome::Refused, true)]
#[case::not_sent_other(false, DispatchOutcome::NotSent, true)]
fn only_what_may_run_again_is_retried(
    #[case] idempotent: bool,
    #[case] ending: DispatchOutcome,
    #[case] retried: bool,
) {
    let (mut router, now) = router();
    let dispatch = run(&mut router, now, idempotent);
    let next = router.finish(now + RUN, dispatch.key, ending);
    assert_eq!(matches!(next, Some(NextStep::Wait(_))), retried, "{next:?}");
}

#[test]
fn a_retry_goes_to_another_upstream() {
    let (mut router, now) = router();
    let first = run(&mut router, now, true);
    router.finish(now, first.key, DispatchOutcome::NotSent);
    drop(router.take_actions());
    router.tick(now + Duration::from_millis(50));
    let second = router
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            RouterAction::Run(_, dispatch) => Some(dispatch),
            _ => None,
        });
    let second = second.expect("the pause is over");
    assert_eq!((second.attempt, second.id != first.id), (2, true));
}

#[test]
fn retries_stay_within_their_budget() {
    let (mut router, now) = router();
    let mut retried = 0;
    for _ in 0..200 {
        let dispatch = run(&mut router, now, true);
        let next = router.finish(now, dispatch.key, DispatchOutcome::Refused);
        if let Some(NextStep::Wait(waiter)) = next {
            retried += 1;
            router.cancel(waiter);
        }
    }
    assert_eq!(
        retried,
        10 + 19,
        "what was saved, and a tenth of the requests after the first"
    );
}

#[test]
fn an_outlier_gets_fewer_requests_then_none_then_a_trial() {
    let (mut router, now) = router();
    let faulty = DispatchOutcome::Answered { faulty: true };
    let sent = |router: &mut Router, now| {
        let all: Vec<_> = (0..SLOTS).map(|_| run(router, now, false)).collect();
        let bad = all.iter().filter(|d| *d.id == *"cutter-0").count();
        for dispatch in all {
            let is_bad = *dispatch.id == *"cutter-0";
            let ending = if is_bad {
                faulty
            } else {
                DispatchOutcome::Answered { faulty: false }
            };
            router.finish(now, dispatch.key, ending);
        }
        bad
    };
    let counts: Vec<_> = (0..3).map(|_| sent(&mut router, now)).collect();
    assert_eq!(counts, [4, 1, 0]);
    let later = now + Duration::from_millis(1_100);
    for ms in (0..=1_100).step_by(5) {
        router.tick(now + Duration::from_millis(ms));
    }
    assert_eq!(sent(&mut router, later), 1, "one trial");
    assert_eq!(sent(&mut router, later), 0, "the trial failed");
}

#[test]
fn the_last_upstreams_are_not_set_aside() {
    let (mut router, mut now) = router();
    for _ in 0..40 {
        let dispatch = run(&mut router, now, false);
        now += Duration::from_millis(1);
        router.finish(
            now,
            dispatch.key,
            DispatchOutcome::Answered { faulty: true },
        );
        router.tick(now);
    }
    assert_eq!(router.counters().set_aside, 1);
}
