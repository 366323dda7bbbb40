//! A single router: admission, retries, outliers and availability zones.

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
use world::{SLOTS, announcement, id, spec};

/// Run time of a request.
const RUN: Duration = Duration::from_millis(20);

/// Slots of both upstreams together.
const ALL_SLOTS: u16 = 2 * SLOTS;

/// A router that is the only user of two upstreams, and the present time.
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
        router.upsert_upstream(Duration::ZERO, &announcement(number, false));
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
        other => panic!("expected a dispatch, as a slot is free: {other:?}"),
    }
}

/// Lets the router measure the run time, then fills all slots.
fn fill_slots(router: &mut Router, now: &mut Duration) -> Vec<Dispatch> {
    let first = run(router, *now, true);
    *now += RUN;
    router.finish(*now, first.key, DispatchOutcome::Answered { faulty: false });
    (0..ALL_SLOTS).map(|_| run(router, *now, true)).collect()
}

#[test]
fn a_near_upstream_is_preferred_until_it_is_full() {
    let (mut router, now) = router();
    let ids: Vec<_> = (0..ALL_SLOTS)
        .map(|_| run(&mut router, now, true).id)
        .collect();
    let near = ids.iter().take(4).all(|id| **id == *"cutter-0");
    let far = ids.iter().skip(4).all(|id| **id == *"cutter-1");
    assert!(near && far, "{ids:?}");
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_on_arrival() {
    let (mut router, mut now) = router();
    fill_slots(&mut router, &mut now);
    let late = Request {
        deadline: Some(RUN),
        ..request("salon-1", true)
    };
    let refused = router.admit(now, late);
    assert_matches!(refused, Admission::Refuse(r) if r.reason == NotRunReason::Overloaded);
}

#[test]
fn refused_callers_get_different_retry_after_times() {
    let (mut router, now) = router();
    router.stop(now);
    let mut retry_after = Vec::new();
    for _ in 0..20 {
        match router.admit(now, request("salon-1", true)) {
            Admission::Refuse(refusal) => retry_after.push(refusal.retry_after),
            other => panic!("expected a refusal, as the router has stopped: {other:?}"),
        }
    }
    retry_after.sort_unstable();
    retry_after.dedup();
    assert_eq!(retry_after.len(), 20);
}

#[test]
fn a_waiting_request_is_refused_once_it_cannot_meet_its_deadline() {
    let (mut router, mut now) = router();
    fill_slots(&mut router, &mut now);
    let admitted = router.admit(now, request("salon-1", true));
    let Admission::Wait(waiter) = admitted else {
        panic!("expected a wait, as all slots are taken: {admitted:?}");
    };
    drop(router.take_actions());
    router.tick(now + Duration::from_millis(390));
    let actions = router.take_actions();
    let refused = |action: &RouterAction| matches!(action, RouterAction::Done(w, Outcome::NotRun { .. }) if *w == waiter);
    assert!(actions.iter().any(refused), "{actions:?}");
}

#[test]
fn a_flood_of_one_caller_leaves_the_others_their_share() {
    let (mut router, mut now) = router();
    let mut running = fill_slots(&mut router, &mut now);
    let mut admitted = BTreeMap::new();
    for round in 0..2_000_u32 {
        let callers = (0..20).map(|_| 0).chain([1 + round % 4]);
        for caller in callers {
            let req = request(&format!("salon-{caller}"), true);
            let is_admitted = !matches!(router.admit(now, req), Admission::Refuse(_));
            *admitted.entry(caller).or_insert(0_u32) += u32::from(is_admitted);
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
    let least = (1..5).map(|caller| admitted[&caller]).min();
    assert!(admitted[&0] < 2 * least.unwrap_or(0), "{admitted:?}");
}

#[rstest]
#[case::idempotent_lost(true, DispatchOutcome::Lost(UnknownReason::ConnectionLost), true)]
#[case::not_idempotent_lost(false, DispatchOutcome::Lost(UnknownReason::ConnectionLost), false)]
#[case::not_idempotent_refused(false, DispatchOutcome::Refused, true)]
#[case::not_idempotent_not_sent(false, DispatchOutcome::NotSent, true)]
fn only_requests_that_may_run_again_are_retried(
    #[case] idempotent: bool,
    #[case] outcome: DispatchOutcome,
    #[case] retried: bool,
) {
    let (mut router, now) = router();
    let dispatch = run(&mut router, now, idempotent);
    let next = router.finish(now + RUN, dispatch.key, outcome);
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
    let second = second.expect("a retry after the pause");
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
        "the initial balance, and a tenth of the requests after the first"
    );
}

#[test]
fn an_outlier_gets_fewer_requests_then_none_then_a_probe() {
    let (mut router, now) = router();
    let faulty = DispatchOutcome::Answered { faulty: true };
    let send_and_count = |router: &mut Router, now| {
        let all: Vec<_> = (0..SLOTS).map(|_| run(router, now, false)).collect();
        let count = all.iter().filter(|d| *d.id == *"cutter-0").count();
        for dispatch in all {
            let is_outlier = *dispatch.id == *"cutter-0";
            let outcome = if is_outlier {
                faulty
            } else {
                DispatchOutcome::Answered { faulty: false }
            };
            router.finish(now, dispatch.key, outcome);
        }
        count
    };
    let counts: Vec<_> = (0..3).map(|_| send_and_count(&mut router, now)).collect();
    assert_eq!(counts, [4, 1, 0]);
    let later = now + Duration::from_millis(1_100);
    for ms in (0..=1_100).step_by(5) {
        router.tick(now + Duration::from_millis(ms));
    }
    assert_eq!(send_and_count(&mut router, later), 1, "a probe");
    assert_eq!(
        send_and_count(&mut router, later),
        0,
        "set aside again after the failed probe"
    );
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
