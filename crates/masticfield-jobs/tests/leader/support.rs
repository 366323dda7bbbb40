//! A state with one executor, and events for its leader.

use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId, StepSpec};
use masticfield_jobs::leader::{
    Announcement, Event, HoldReport, HostOptions, JobRequest, JobRequestKind, Leader,
    LeaderOptions, ListedHost, ListedRun, Moment, ReplyId,
};
use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use masticfield_jobs::state::{Command, ExecutorIncarnation, ExecutorKey, State};

pub const EXECUTOR: ExecutorKey = ExecutorKey(1);

pub const HOST: Resources = Resources {
    cpu_milli: 32_000,
    memory_mb: 131_072,
    gpus: 0,
};

/// Monotonic time at which the leadership begins.
pub const LEADING_SINCE: Duration = Duration::from_secs(100);

pub fn moment(elapsed_ms: u64) -> Moment {
    Moment {
        monotonic: LEADING_SINCE + Duration::from_millis(elapsed_ms),
        wall_ms: 1_700_000_000_000 + elapsed_ms,
    }
}

pub fn config() -> QueuesConfig {
    let pool = |name: &str, standby| PoolConfig {
        name: name.into(),
        max_connections: 64,
        rejects_overload: false,
        standby,
    };
    QueuesConfig {
        version: 1,
        queues: vec![QueueConfig {
            name: "q".into(),
            authority: "a.example".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout_ms: 3_000,
            target_ms: 600,
            priority: 0,
            max_attempts: 2,
            stretch: 1.6,
            advice: None,
            public: false,
        }],
        pools: vec![pool("p", false), pool("standby", true)],
        limits: None,
        workspaces: None,
    }
}

pub fn state() -> State {
    let mut state = State::default();
    state.apply(Command::Configure {
        config: config(),
        content: b"config"[..].into(),
    });
    state.apply(Command::Enlist {
        executor: EXECUTOR,
        incarnation: ExecutorIncarnation {
            id: "e1".into(),
            started_ms: 5,
            pool: "p".into(),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            labels: Vec::new(),
            rack: None,
            capacity: HOST,
        },
    });
    state
}

pub fn options() -> LeaderOptions {
    LeaderOptions::new(Duration::from_secs(5)).hosts(HostOptions {
        move_time: Duration::from_millis(1_500),
        upkeep_time: Duration::from_secs(2),
        handover: Duration::from_secs(3),
        orders_per_s: None,
    })
}

pub fn submit(job: u64) -> Event {
    let spec = JobSpec {
        payload: "".into(),
        steps: vec![StepSpec {
            count: 1,
            need: Resources {
                cpu_milli: 1_000,
                memory_mb: 10,
                gpus: 0,
            },
            estimate_ms: 500,
            ..StepSpec::default()
        }],
        timetable: None,
    };
    Event::JobRequest {
        reply_to: ReplyId(job),
        request: JobRequest {
            authority: "a.example".into(),
            path: format!("/q/{}", JobId::new(job)),
            kind: JobRequestKind::Submit(spec),
            key: None,
        },
    }
}

pub fn host(name: &str, pool: &str, executor: Option<&str>) -> ListedHost {
    ListedHost {
        name: name.into(),
        pool: pool.into(),
        up: true,
        kind: None,
        capacity: HOST,
        executor: executor.map(Into::into),
    }
}

pub fn incarnation(id: &str, started_ms: u64) -> ExecutorIncarnation {
    ExecutorIncarnation {
        id: id.into(),
        started_ms,
        pool: "p".into(),
        address: format!("127.0.0.1:{id}").into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: None,
        capacity: HOST,
    }
}

pub fn announce(leader: &mut Leader, ms: u64, id: &str, started_ms: u64) {
    let announcement = Announcement {
        incarnation: incarnation(id, started_ms),
        sequence: 1,
        clock_ms: 10,
        leaving: false,
    };
    let announced = Event::Announced {
        reply_to: ReplyId(ms),
        announcement,
    };
    leader.handle(moment(ms), announced);
}

pub fn held(sent: Moment, clock_ms: u64, running: &[RunId]) -> Event {
    let running = running.iter().map(|run| ListedRun {
        run: *run,
        saved: None,
        percent: 0,
        load: None,
    });
    Event::HoldResult {
        executor: EXECUTOR,
        sent: sent.monotonic,
        result: Ok(HoldReport {
            clock_ms,
            started_ms: Some(5),
            running: running.collect(),
            finished: Vec::new(),
        }),
    }
}

pub fn started_runs(commands: &[Command]) -> Vec<RunId> {
    let starts = commands.iter().filter_map(|command| match command {
        Command::Start { run, .. } => Some(*run),
        _ => None,
    });
    starts.collect()
}

/// Announces the executor of [`state`] with an amount of processor time.
pub fn announce_capacity(leader: &mut Leader, ms: u64, cpu_milli: u64) {
    let state = state();
    let record = state.executor(EXECUTOR).expect("in the state");
    let mut incarnation = record.incarnation.clone();
    incarnation.capacity.cpu_milli = cpu_milli;
    let announcement = Announcement {
        incarnation,
        sequence: ms + 1,
        clock_ms: ms,
        leaving: false,
    };
    let reply_to = ReplyId(ms);
    leader.handle(
        moment(ms),
        Event::Announced {
            reply_to,
            announcement,
        },
    );
}
