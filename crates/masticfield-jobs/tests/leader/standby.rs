//! Hosts that move between pools and standby.

use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::job::{JobId, RunId, TaskId};
use masticfield_jobs::leader::{
    Call, ClaimWatch, Effect, Event, HoldReport, JobRequestKind, Leader, ListedEnd, ListedHost,
    ListedRun,
};
use masticfield_jobs::state::{Command, EndKind, ExecutorKey, HostClaim, State};

use crate::support::{announce, config, host, incarnation, moment, options, state, submit};

/// Between two surges a host is released to standby and needed again. The list that was made while it
/// moved showed it as not up, so that it was not used until the next list, up to 10 s later.
#[test]
fn a_host_is_moved_from_standby_again_as_soon_as_it_has_arrived_there() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    let names = ["h1", "h2", "h3", "h4", "h5"];
    let listed = |moved: Option<&str>| {
        let hosts = names.iter().map(|name| match *name {
            name if Some(name) == moved => ListedHost {
                up: false,
                ..host(name, "standby", None)
            },
            name => host(name, "p", (name == "h1").then_some("e1")),
        });
        let hosts = Some(hosts.collect());
        Event::HostList { hosts }
    };
    leader.handle(moment(0), listed(None));
    // The host of this executor is unknown, so that the list is requested again and again.
    announce(&mut leader, 0, "e9", 5);
    let standby = HostClaim::Move {
        pool: "standby".into(),
    };
    let order = |leader: &mut Leader, ms: u64, to: &HostClaim| {
        let effects = leader.decide(moment(ms)).after_commit;
        let lists = effects.contains(&Effect::ListHosts);
        let ordered = effects.into_iter().find_map(|effect| match effect {
            Effect::OrderHost { host, claim, .. } if claim == *to => Some(host),
            _ => None,
        });
        (lists, ordered)
    };
    let mut ticks = (0..100).map(|tick| tick * 100);
    let released = ticks.find_map(|ms| {
        let (lists, ordered) = order(&mut leader, ms, &standby);
        if lists {
            leader.handle(moment(ms), listed(None));
        }
        Some((ms, ordered?))
    });
    let (released_ms, name) = released.expect("the pool has more hosts than it needs");
    let taken_ms = released_ms + 20;
    let answer = Event::HostOrderResult {
        host: Arc::clone(&name),
        claim: standby.clone(),
        result: Ok(()),
    };
    leader.handle(moment(taken_ms), answer);
    let mut ticks = (1..15).map(|tick| released_ms + tick * 100);
    let listed_ms = ticks.find(|ms| order(&mut leader, *ms, &standby).0);
    let listed_ms = listed_ms.expect("a list is requested while the host moves");
    leader.handle(moment(listed_ms + 10), listed(Some(&name)));
    let back = HostClaim::Move { pool: "p".into() };
    let arrived_ms = taken_ms + 1_500 + 400;
    for job in 1..=400 {
        leader.handle(moment(arrived_ms), submit(job));
    }
    let mut ticks = (0..40).map(|tick| arrived_ms + tick * 100);
    let moved_ms = ticks.find(|ms| order(&mut leader, *ms, &back).1.as_ref() == Some(&name));
    let moved_ms = moved_ms.expect("the pool is short of hosts");
    assert!(moved_ms <= arrived_ms + 200, "moved after {moved_ms} ms");
}

/// Two pools, and a former leader's job of which each executor of the first pool runs a task.
fn state_with_two_pools(executors: u32) -> (State, Vec<RunId>) {
    let mut config = config();
    let mut queue = config.queues[0].clone();
    queue.name = "r".into();
    queue.prefix = "/r/".into();
    queue.pool = "r".into();
    config.queues.push(queue);
    let mut pool = config.pools[0].clone();
    pool.name = "r".into();
    config.pools.push(pool);
    let mut state = State::default();
    let content = b"config"[..].into();
    state.apply(Command::Configure { config, content });
    let Event::JobRequest { request, .. } = submit(1_000) else {
        unreachable!("a submission is a request");
    };
    let JobRequestKind::Submit(mut spec) = request.kind else {
        unreachable!("the request submits a job");
    };
    spec.steps[0].count = executors;
    let job = JobId::new(1_000);
    let queue = state.queue_id("a.example", "/q/");
    let queue = queue.expect("the queue is configured");
    let wall_ms = moment(0).wall_ms;
    state.apply(Command::submit(None, job, queue, spec, wall_ms));
    let runs = (1..=executors).map(|number| {
        let executor = ExecutorKey(number);
        let incarnation = incarnation(&format!("e{number}"), 5);
        state.apply(Command::Enlist {
            executor,
            incarnation,
        });
        let run = TaskId::new(job, 0, 0, number - 1).run(1);
        state.apply(Command::Start { run, executor });
        run
    });
    let runs = runs.collect();
    (state, runs)
}

/// Lists a host of each executor, and three hosts that the second pool has at first.
fn list_hosts_of_two_pools(leader: &mut Leader) {
    let names = ["h1", "h2", "h3", "h4", "h5", "h6"];
    let hosts = (1..).zip(names).map(|(number, name)| {
        let executor = format!("e{number}");
        host(name, "p", Some(executor.as_str()))
    });
    let enough = ["r1", "r2", "r3"].map(|name| host(name, "r", None));
    let hosts = Some(hosts.chain(enough).collect());
    leader.handle(moment(0), Event::HostList { hosts });
}

/// Submits 20 jobs to the second pool.
fn submit_to_second_pool(leader: &mut Leader, ms: u64) {
    for job in ms..ms + 20 {
        let Event::JobRequest {
            reply_to,
            mut request,
        } = submit(job)
        else {
            unreachable!("a submission is a request");
        };
        request.path = request.path.replace("/q/", "/r/");
        leader.handle(moment(ms), Event::JobRequest { reply_to, request });
    }
}

/// The answer of an executor to a poll: its run goes on, or has ended.
fn report(run: RunId, ms: u64, ended: bool) -> HoldReport {
    let finished = ListedEnd {
        number: 1,
        run,
        kind: EndKind::Done,
        saved: None,
    };
    let running = ListedRun {
        run,
        saved: None,
        percent: 0,
        load: None,
    };
    HoldReport {
        clock_ms: ms,
        started_ms: Some(5),
        running: if ended { Vec::new() } else { vec![running] },
        finished: if ended { vec![finished] } else { Vec::new() },
    }
}

/// Decides once and answers the polls; returns what hosts are claimed for.
fn decide(leader: &mut Leader, ms: u64, runs: &[RunId]) -> Vec<HostClaim> {
    let mut claims = Vec::new();
    for effect in leader.decide(moment(ms)).after_commit {
        match effect {
            Effect::OrderHost { claim, .. } => claims.push(claim),
            Effect::Call {
                executor,
                call: Call::Hold { sent, .. },
                ..
            } => {
                let run = runs[executor.0 as usize - 1];
                let held = Event::HoldResult {
                    executor,
                    sent,
                    result: Ok(report(run, ms, ms >= 3_400)),
                };
                leader.handle(moment(ms), held);
            }
            _ => {}
        }
    }
    claims
}

/// One pool releases hosts when the surge of another begins. A host that had to go to standby first
/// would come to the other pool after two moves.
#[test]
fn a_host_that_drains_for_standby_goes_to_the_pool_that_lacks_one() {
    let (state, runs) = state_with_two_pools(6);
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options(), watch, moment(0));
    list_hosts_of_two_pools(&mut leader);
    let mut claims = Vec::new();
    for ms in (0..8_000).step_by(50) {
        // Released after 3 s, hosts drain until their tasks have ended.
        if (3_200..3_600).contains(&ms) {
            submit_to_second_pool(&mut leader, ms);
        }
        claims.extend(decide(&mut leader, ms, &runs));
    }
    let first = claims.first().expect("hosts are moved");
    assert_eq!(*first, HostClaim::Move { pool: "r".into() }, "{claims:?}");
}
