//! Cost of workspaces: the leader's decision in a surge, and the check of a key.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use masticfield_jobs::job::{JobId, JobSpec, Resources, StepSpec};
use masticfield_jobs::leader::{
    Announcement, ClaimWatch, Event, JobRequest, JobRequestKind, Leader, LeaderOptions, Moment,
    ReplyId,
};
use masticfield_jobs::queue::{KeyDigest, PoolConfig, QueueConfig, QueuesConfig, WorkspaceConfig};
use masticfield_jobs::state::{Command, ExecutorIncarnation, State};

const EXECUTORS: u64 = 300;

/// Jobs that wait for free capacity, one task each.
const WAITING: u64 = 500;

/// Numbers of workspaces to compare.
const WORKSPACES: [usize; 3] = [0, 20, 2_000];

const fn moment(ms: u64) -> Moment {
    Moment {
        monotonic: Duration::from_millis(100_000 + ms),
        wall_ms: 1_700_000_000_000 + ms,
    }
}

fn key(number: usize) -> KeyDigest {
    KeyDigest::new(&format!("a-key-of-usual-length-{number:010}")).unwrap()
}

fn config(workspaces: usize) -> QueuesConfig {
    let all = (0..workspaces).map(|number| WorkspaceConfig {
        name: format!("workspace-{number}").into(),
        keys: vec![key(number)],
        weight: 1.0,
        quota: Resources {
            cpu_milli: 10_000_000,
            memory_mb: 10_000_000,
            gpus: 0,
        },
    });
    QueuesConfig {
        version: 1,
        queues: vec![QueueConfig {
            name: "q".into(),
            authority: "a.example".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout_ms: 3_000,
            target_ms: 3_600_000,
            priority: 0,
            max_attempts: 2,
            stretch: 1.6,
            advice: None,
            public: false,
        }],
        pools: vec![PoolConfig {
            name: "p".into(),
            max_connections: 64,
            rejects_overload: false,
            standby: false,
        }],
        limits: None,
        workspaces: (workspaces > 0).then(|| all.collect()),
    }
}

/// A request about a job, which takes a whole executor. Each job has the key of another workspace.
fn request(job: u64, submit: bool, workspaces: usize) -> Event {
    let spec = JobSpec {
        payload: "".into(),
        steps: vec![StepSpec {
            count: 1,
            need: Resources {
                cpu_milli: 16_000,
                memory_mb: 10,
                gpus: 0,
            },
            estimate_ms: 500,
            ..StepSpec::default()
        }],
        timetable: None,
    };
    let number = usize::try_from(job).unwrap();
    Event::JobRequest {
        reply_to: ReplyId(job),
        request: JobRequest {
            authority: "a.example".into(),
            path: format!("/q/{}", JobId::new(job)),
            kind: if submit {
                JobRequestKind::Submit(spec)
            } else {
                JobRequestKind::Cancel
            },
            key: (workspaces > 0).then(|| key(number % workspaces.max(1))),
        },
    }
}

/// A leader whose executors are all in use while more jobs wait.
fn leader(workspaces: usize) -> Leader {
    let mut state = State::default();
    let config = config(workspaces);
    state.apply(Command::configure(config, b"config"[..].into()));
    let options = LeaderOptions::new(Duration::from_secs(5));
    let mut leader = Leader::new(state, options, ClaimWatch::default(), moment(0));
    for number in 0..EXECUTORS {
        let incarnation = ExecutorIncarnation {
            id: format!("e{number}").into(),
            started_ms: 5,
            pool: "p".into(),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            labels: Vec::new(),
            rack: None,
            capacity: Resources {
                cpu_milli: 16_000,
                memory_mb: 65_536,
                gpus: 0,
            },
        };
        let announcement = Announcement {
            incarnation,
            sequence: 1,
            clock_ms: 1_000,
            leaving: false,
        };
        let reply_to = ReplyId(0);
        leader.handle(
            moment(0),
            Event::Announced {
                reply_to,
                announcement,
            },
        );
    }
    for job in 0..EXECUTORS + WAITING {
        leader.handle(moment(1), request(job, true, workspaces));
    }
    leader.decide(moment(1));
    let started = leader.state().jobs().filter(|(_, job)| job.started).count();
    assert_eq!(started as u64, EXECUTORS, "all executors are in use");
    leader
}

/// A job is submitted and cancelled, with a decision after each.
fn decide(c: &mut Criterion) {
    for workspaces in WORKSPACES {
        let mut leader = leader(workspaces);
        let mut job = EXECUTORS + WAITING;
        c.bench_function(
            &format!("submit, decide, cancel, decide; {workspaces}"),
            |b| {
                b.iter(|| {
                    job += 1;
                    for submit in [true, false] {
                        leader.handle(moment(2), request(job, submit, workspaces));
                        black_box(leader.decide(moment(2)));
                    }
                });
            },
        );
    }
}

fn check_key(c: &mut Criterion) {
    for workspaces in [20, 2_000] {
        let mut state = State::default();
        state.apply(Command::configure(config(workspaces), b"c"[..].into()));
        let known = key(workspaces / 2);
        let unknown = KeyDigest::new("nobody's").unwrap();
        for (name, key) in [("known", known), ("unknown", unknown)] {
            c.bench_function(&format!("look up a key, {name}; {workspaces}"), |b| {
                b.iter(|| state.workspace_of_key(black_box(&key)));
            });
        }
    }
    let text = "a-key-of-usual-length-0000000000";
    c.bench_function("digest of a key", |b| {
        b.iter(|| KeyDigest::new(black_box(text)));
    });
}

criterion_group!(benches, decide, check_key);
criterion_main!(benches);
