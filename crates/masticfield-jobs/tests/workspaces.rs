//! Workspaces: who may request what, and what their quotas allow to run.

use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId, StepSpec, TaskId};
use masticfield_jobs::leader::{
    Announcement, ClaimWatch, Decision, Effect, Event, HoldReport, JobRequest, JobRequestKind,
    Leader, LeaderOptions, Moment, Refusal, Reply, ReplyId, read,
};
use masticfield_jobs::queue::{
    InvalidConfig, KeyDigest, PoolConfig, QueueConfig, QueueId, QueuesConfig, WorkspaceConfig,
    WorkspaceId,
};
use masticfield_jobs::state::{
    Command, EndKind, ExecutorIncarnation, ExecutorKey, JobRecord, JobStatus, State,
};
use rstest::rstest;

const EXECUTOR: ExecutorKey = ExecutorKey(1);
const JOB: u64 = 7;
const FIRST: WorkspaceId = WorkspaceId(0);

fn key(text: &str) -> KeyDigest {
    KeyDigest::new(text).unwrap()
}

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        ..Resources::default()
    }
}

fn workspace(name: &str, keys: &[&str], quota: Resources) -> WorkspaceConfig {
    WorkspaceConfig {
        name: name.into(),
        keys: keys.iter().map(|text| key(text)).collect(),
        weight: 1.0,
        quota,
    }
}

/// Two workspaces, of which the first has two keys and the given quota.
#[expect(clippy::unnecessary_wraps, reason = "as a configuration has it")]
fn two(quota: Resources) -> Option<Vec<WorkspaceConfig>> {
    Some(vec![
        workspace("first", &["old", "new"], quota),
        workspace("second", &["other"], Resources::default()),
    ])
}

/// A configuration with the queues `q`, and `open`, which is public.
fn config(version: u64, workspaces: Option<Vec<WorkspaceConfig>>) -> QueuesConfig {
    let queue = |name: &str, public| QueueConfig {
        name: name.into(),
        authority: "a.example".into(),
        prefix: format!("/{name}/").into(),
        pool: "p".into(),
        timeout_ms: 3_000,
        target_ms: 600,
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        advice: None,
        public,
    };
    QueuesConfig {
        version,
        queues: vec![queue("q", false), queue("open", true)],
        pools: vec![PoolConfig {
            name: "p".into(),
            max_connections: 64,
            rejects_overload: false,
            standby: false,
        }],
        limits: None,
        workspaces,
    }
}

fn configure(version: u64, workspaces: Option<Vec<WorkspaceConfig>>) -> Command {
    Command::configure(config(version, workspaces), b"config"[..].into())
}

fn moment(ms: u64) -> Moment {
    Moment {
        monotonic: Duration::from_secs(100) + Duration::from_millis(ms),
        wall_ms: 1_700_000_000_000 + ms,
    }
}

fn step(count: u32, need: Resources) -> StepSpec {
    StepSpec {
        count,
        need,
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "x".into(),
        steps,
        timetable: None,
    }
}

fn one_task() -> JobSpec {
    spec(vec![step(1, cores(1))])
}

fn incarnation() -> ExecutorIncarnation {
    ExecutorIncarnation {
        id: "e1".into(),
        started_ms: 5,
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: None,
        capacity: Resources {
            cpu_milli: 32_000,
            memory_mb: 100_000,
            gpus: 0,
        },
    }
}

/// A leader with one executor, whose clock is known.
fn leader(workspaces: Option<Vec<WorkspaceConfig>>) -> Leader {
    let mut state = State::default();
    state.apply(configure(1, workspaces));
    let options = LeaderOptions::new(Duration::from_secs(5));
    let mut leader = Leader::new(state, options, ClaimWatch::default(), moment(0));
    let announcement = Announcement {
        incarnation: incarnation(),
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
    leader.decide(moment(0));
    // Until a poll is answered, nothing more starts beside the first tasks.
    leader.handle(
        moment(1),
        Event::HoldResult {
            executor: EXECUTOR,
            sent: moment(0).monotonic,
            result: Ok(HoldReport {
                clock_ms: 1_001,
                started_ms: None,
                running: Vec::new(),
                finished: Vec::new(),
            }),
        },
    );
    leader.decide(moment(1));
    leader
}

fn request(path: &str, kind: JobRequestKind, key_text: Option<&str>) -> JobRequest {
    JobRequest {
        authority: "a.example".into(),
        path: path.into(),
        kind,
        key: key_text.map(key),
    }
}

fn path(queue: &str, job: u64) -> String {
    format!("/{queue}/{}", JobId::new(job))
}

/// Handles a request and returns the reply and the decision.
fn ask(leader: &mut Leader, request: JobRequest) -> (Reply, Decision) {
    let reply_to = ReplyId(9);
    leader.handle(moment(10), Event::JobRequest { reply_to, request });
    let decision = leader.decide(moment(10));
    let replies = decision
        .after_commit
        .iter()
        .filter_map(|effect| match effect {
            Effect::Reply { reply, .. } => Some(reply.clone()),
            _ => None,
        });
    let replies: Vec<_> = replies.collect();
    assert_eq!(replies.len(), 1);
    (replies[0].clone(), decision)
}

fn submit(leader: &mut Leader, job: u64, spec: JobSpec, key_text: &str) -> (Reply, Decision) {
    let kind = JobRequestKind::Submit(spec);
    ask(leader, request(&path("q", job), kind, Some(key_text)))
}

fn started(decision: &Decision) -> Vec<RunId> {
    let runs = decision
        .commands
        .iter()
        .filter_map(|command| match command {
            Command::Start { run, .. } => Some(*run),
            _ => None,
        });
    runs.collect()
}

/// Who may submit to a queue. Guards against a request that runs without a key of the
/// configuration in force, and against keys that are demanded where none are configured.
#[rstest]
#[case::known("q", two(cores(0)), Some("old"), Reply::Done)]
#[case::unknown("q", two(cores(0)), Some("nobody's"), Reply::Unauthorized)]
#[case::missing("q", two(cores(0)), None, Reply::Unauthorized)]
#[case::public_without_key("open", two(cores(0)), None, Reply::Done)]
#[case::public_with_key("open", two(cores(0)), Some("old"), Reply::Done)]
#[case::public_with_unknown_key("open", two(cores(0)), Some("nobody's"), Reply::Done)]
#[case::no_workspaces("q", None, None, Reply::Done)]
#[case::no_workspaces_with_key("q", None, Some("any"), Reply::Done)]
#[case::empty_list("q", Some(Vec::new()), Some("old"), Reply::Unauthorized)]
#[case::empty_list_public("open", Some(Vec::new()), None, Reply::Done)]
fn a_submission_needs_a_key_of_the_configuration(
    #[case] queue: &str,
    #[case] workspaces: Option<Vec<WorkspaceConfig>>,
    #[case] key_text: Option<&str>,
    #[case] expected: Reply,
) {
    let mut leader = leader(workspaces);
    let kind = JobRequestKind::Submit(one_task());
    let (reply, decision) = ask(&mut leader, request(&path(queue, JOB), kind, key_text));
    assert_eq!(reply, expected);
    let stored = leader.state().job(JobId::new(JOB)).is_some();
    assert_eq!(stored, expected == Reply::Done);
    assert_eq!(started(&decision).len(), usize::from(stored));
}

/// Who may repeat, cancel and read a job. Guards against access to another workspace's job, also by
/// the path of a public queue, and against a rotation that locks a workspace out of its own jobs.
#[rstest]
#[case::same_key("q", Some("old"), "q", Some("old"), None)]
#[case::other_key_of_the_workspace("q", Some("old"), "q", Some("new"), None)]
#[case::other_workspace("q", Some("old"), "q", Some("other"), Some(Reply::Forbidden))]
#[case::unknown_key("q", Some("old"), "q", Some("x"), Some(Reply::Unauthorized))]
#[case::no_key("q", Some("old"), "q", None, Some(Reply::Unauthorized))]
#[case::no_key_by_public_path("q", Some("old"), "open", None, Some(Reply::Unauthorized))]
#[case::other_by_public_path("q", Some("old"), "open", Some("other"), Some(Reply::Forbidden))]
#[case::public_job("open", None, "open", None, None)]
#[case::public_job_with_any_key("open", None, "open", Some("other"), None)]
#[case::public_job_with_owner("open", Some("old"), "open", None, Some(Reply::Unauthorized))]
#[case::public_job_of_another("open", Some("old"), "open", Some("other"), Some(Reply::Forbidden))]
#[case::public_job_by_other_path("open", None, "q", None, Some(Reply::Unauthorized))]
fn a_job_is_accessible_to_its_workspace(
    #[case] submitted_to: &str,
    #[case] submitted_with: Option<&str>,
    #[case] queue: &str,
    #[case] key_text: Option<&str>,
    #[case] refused: Option<Reply>,
    #[values("submit", "cancel", "read")] operation: &str,
) {
    let mut leader = leader(two(cores(0)));
    let kind = JobRequestKind::Submit(one_task());
    ask(
        &mut leader,
        request(&path(submitted_to, JOB), kind, submitted_with),
    );
    let kind = match operation {
        "submit" => JobRequestKind::Submit(one_task()),
        "cancel" => JobRequestKind::Cancel,
        _ => JobRequestKind::Read,
    };
    let reads = kind == JobRequestKind::Read;
    let request = request(&path(queue, JOB), kind, key_text);
    let reply = if reads {
        let state = leader.state();
        let routes = state.route_table(&state.config().unwrap().config);
        read(state, &routes, &request)
    } else {
        ask(&mut leader, request).0
    };
    let allowed = if reads {
        Reply::Status(JobStatus::Queued)
    } else {
        Reply::Done
    };
    assert_eq!(reply, refused.clone().unwrap_or(allowed));
    if refused.is_some() {
        let status = leader.state().job(JobId::new(JOB)).map(JobRecord::status);
        assert_eq!(status, Some(JobStatus::Queued), "the job is unchanged");
    }
}

/// The number of pending jobs is a read of the queue, which needs a key as well.
#[rstest]
#[case::known(Some("old"), Reply::Pending(0))]
#[case::missing(None, Reply::Unauthorized)]
fn the_number_of_pending_jobs_needs_a_key(#[case] key_text: Option<&str>, #[case] expected: Reply) {
    let leader = leader(two(cores(0)));
    let state = leader.state();
    let routes = state.route_table(&state.config().unwrap().config);
    let request = request("/q/", JobRequestKind::Read, key_text);
    assert_eq!(read(state, &routes, &request), expected);
}

/// A key that a configuration withdraws is refused with the next request, also about a job that was
/// submitted with it, and a new key is accepted. Guards against a list of keys that is out of date.
#[rstest]
#[case::withdrawn("old", Reply::Unauthorized)]
#[case::kept("new", Reply::Done)]
#[case::added("newest", Reply::Done)]
fn a_configuration_applies_to_the_next_request(
    #[case] key_text: &str,
    #[case] expected: Reply,
    #[values(JOB, JOB + 1)] job: u64,
) {
    let mut leader = leader(two(cores(0)));
    submit(&mut leader, JOB, one_task(), "old");
    let workspaces = Some(vec![workspace("first", &["new", "newest"], cores(0))]);
    leader.handle(
        moment(9),
        Event::Configure {
            reply_to: ReplyId(1),
            config: config(2, workspaces),
            content: b"2"[..].into(),
        },
    );
    leader.decide(moment(9));
    assert_eq!(submit(&mut leader, job, one_task(), key_text).0, expected);
}

/// Guards against a key that stands for two workspaces, so that one reads the other's jobs.
#[rstest]
#[case::valid(two(cores(1)).unwrap(), None)]
#[case::no_keys(vec![workspace("a", &[], cores(0))], None)]
#[case::shared_key(
    vec![workspace("a", &["k"], cores(0)), workspace("b", &["k"], cores(0))],
    Some("a key of workspace b is also a key of workspace a")
)]
#[case::same_key_twice(
    vec![workspace("a", &["k", "k"], cores(0))],
    Some("a key of workspace a is also a key of workspace a")
)]
#[case::same_name(
    vec![workspace("a", &["k"], cores(0)), workspace("a", &["l"], cores(0))],
    Some("the name a is used by two workspaces")
)]
#[case::empty_name(
    vec![workspace("", &["k"], cores(0))],
    Some("the name of workspace 0 is empty")
)]
#[case::negative_weight(
    vec![WorkspaceConfig { weight: -1.0, ..workspace("a", &["k"], cores(0)) }],
    Some("workspace a has an invalid weight")
)]
fn a_configuration_is_checked(
    #[case] workspaces: Vec<WorkspaceConfig>,
    #[case] error: Option<&str>,
) {
    let checked: Result<(), InvalidConfig> = config(1, Some(workspaces)).check();
    let text = checked.err().map(|error| error.to_string());
    assert_eq!(text.as_deref(), error);
}

#[rstest]
#[case::empty("")]
#[case::space("a b")]
#[case::control("a\n")]
#[case::not_ascii("clé")]
fn a_text_that_cannot_be_a_header_is_no_key(#[case] text: &str) {
    assert!(KeyDigest::new(text).is_err());
}

/// Guards against keys in logs and traces by way of `Debug`: neither the key, nor its digest, nor
/// the configuration as it was sent is part of it.
#[test]
fn debug_output_has_no_key() {
    let secret = "s3cr3t-key";
    let workspaces = Some(vec![workspace("w", &[secret], cores(0))]);
    let sent: Arc<[u8]> = format!("{{\"key\":\"{secret}\"}}").into_bytes().into();
    let command = Command::configure(config(1, workspaces.clone()), Arc::clone(&sent).into());
    let event = Event::Configure {
        reply_to: ReplyId(1),
        config: config(1, workspaces),
        content: sent.into(),
    };
    let mut state = State::default();
    state.apply(command.clone());
    let request = request("/q/1", JobRequestKind::Read, Some(secret));
    let bytes = postcard::to_stdvec(&key(secret)).unwrap();
    let digest = format!("{bytes:?}");
    let digest = digest.trim_matches(['[', ']']);
    // The first bytes of the content, as a list of numbers.
    let content = "123, 34, 107";
    for text in [
        format!("{command:?}"),
        format!("{event:?}"),
        format!("{state:?}"),
        format!("{request:?}"),
    ] {
        assert!(!text.contains(secret) && !text.contains(digest) && !text.contains(content));
    }
}

/// Applies commands to a state with an executor and jobs of workspaces.
fn state_with_runs() -> State {
    let mut state = State::default();
    state.apply(configure(1, two(cores(8))));
    state.apply(Command::Enlist {
        executor: EXECUTOR,
        incarnation: incarnation(),
    });
    let long_running = StepSpec {
        long_running: true,
        ..step(2, cores(3))
    };
    let best_effort = StepSpec {
        best_effort: true,
        ..step(2, cores(2))
    };
    let steps = vec![step(2, cores(1)), long_running, best_effort];
    for (job, workspace) in [(1, Some(FIRST)), (2, Some(WorkspaceId(1))), (3, None)] {
        let spec = spec(steps.clone());
        let job = JobId::new(job);
        state.apply(Command::submit(workspace, job, QueueId(0), spec, 1));
        for step in 0..3 {
            let run = TaskId::new(job, 0, step, 0).run(1);
            let executor = EXECUTOR;
            assert!(state.apply(Command::Start { run, executor }));
        }
    }
    state
}

/// Each run counts with what it needs until it has ended, whatever happens to its job. Guards
/// against sums below what runs, which would let a workspace exceed its quota.
#[rstest]
#[case::running(vec![], 6)]
#[case::cancelled(vec![Command::Cancel { job: JobId::new(1), at_ms: 2 }], 6)]
#[case::ended(vec![end(0, EndKind::Done)], 5)]
#[case::lapsed(vec![end(0, EndKind::Lapsed)], 5)]
#[case::ended_twice(vec![end(0, EndKind::Done), end(0, EndKind::Done)], 5)]
#[case::cancelled_then_ended(
    vec![
        Command::Cancel { job: JobId::new(1), at_ms: 2 },
        end(0, EndKind::Stopped),
        end(1, EndKind::Stopped),
        end(2, EndKind::Stopped),
    ],
    0
)]
#[case::retired(vec![Command::Retire { executor: EXECUTOR, at_ms: 2 }], 0)]
#[case::workspace_removed(vec![configure(2, Some(Vec::new()))], 6)]
#[case::no_workspaces(vec![configure(2, None)], 6)]
fn runs_count_until_they_have_ended(#[case] commands: Vec<Command>, #[case] expected: u64) {
    let mut state = state_with_runs();
    for command in commands {
        state.apply(command);
    }
    assert_eq!(state.running_of(FIRST), cores(expected));
    assert!(state.counts_are_exact());
}

fn end(step: u16, kind: EndKind) -> Command {
    Command::End {
        run: TaskId::new(JobId::new(1), 0, step, 0).run(1),
        executor: EXECUTOR,
        kind,
        saved: None,
        at_ms: 3,
    }
}

/// A replica that starts from a snapshot must decide like one that has applied the log.
#[rstest]
#[case::with_workspaces(two(cores(8)))]
#[case::removed(Some(vec![workspace("third", &["k"], cores(1))]))]
#[case::none(None)]
fn a_snapshot_has_workspaces_keys_and_counts(#[case] last: Option<Vec<WorkspaceConfig>>) {
    let mut state = state_with_runs();
    state.apply(configure(2, last));
    let restored = State::from_snapshot(&state.to_snapshot()).unwrap();
    assert_eq!(restored, state);
}

/// Encoded by the version before workspaces: configuration 3 with a queue and a pool, an executor
/// and a job. Guards against fields in types that older logs and snapshots contain.
#[test]
fn logs_and_snapshots_without_workspaces_are_readable() {
    let log = include_bytes!("data/log-before-workspaces.bin");
    let snapshot = include_bytes!("data/snapshot-before-workspaces.bin");
    let mut state = State::default();
    for command in postcard::from_bytes::<Vec<Command>>(log).unwrap() {
        assert!(state.apply(command));
    }
    assert_eq!(state.jobs().count(), 1);
    assert_eq!(state.version(), 3);
    assert!(!state.has_workspaces());
    assert_eq!(State::from_snapshot(snapshot).unwrap(), state);
}

/// Guards against starts that take a workspace above its quota in any resource.
#[rstest]
#[case::cores(cores(3), vec![step(5, cores(1))], 3)]
#[case::memory(
    Resources { memory_mb: 25, ..cores(0) },
    vec![step(5, Resources { memory_mb: 10, ..cores(1) })],
    2
)]
#[case::no_limit(cores(0), vec![step(5, cores(1))], 5)]
#[case::two_steps(cores(3), vec![step(2, cores(1)), step(2, cores(1))], 3)]
#[case::long_running(
    cores(3),
    vec![StepSpec { long_running: true, ..step(5, cores(1)) }],
    3
)]
#[case::best_effort(
    cores(3),
    vec![StepSpec { best_effort: true, ..step(5, cores(1)) }],
    3
)]
#[case::gang(cores(3), vec![StepSpec { gang: true, ..step(3, cores(1)) }], 3)]
fn starts_stay_within_the_quota(
    #[case] quota: Resources,
    #[case] steps: Vec<StepSpec>,
    #[case] expected: usize,
) {
    let mut leader = leader(two(quota));
    let (reply, decision) = submit(&mut leader, JOB, spec(steps), "old");
    assert_eq!(reply, Reply::Done);
    assert_eq!(started(&decision).len(), expected);
}

/// A gang starts as a whole: with the quota partly in use, no part of it may start.
#[test]
fn a_gang_waits_until_the_quota_has_room_for_all_of_it() {
    let mut leader = leader(two(cores(3)));
    submit(&mut leader, JOB, one_task(), "old");
    let gang = StepSpec {
        gang: true,
        ..step(3, cores(1))
    };
    let (reply, decision) = submit(&mut leader, JOB + 1, spec(vec![gang.clone()]), "old");
    assert_eq!((reply, started(&decision).len()), (Reply::Done, 0));
    let (_, decision) = submit(&mut leader, JOB + 2, spec(vec![gang]), "other");
    assert_eq!(
        started(&decision).len(),
        3,
        "another workspace's gang starts"
    );
}

/// Guards against a workspace over its quota that holds back others in the same pool.
#[test]
fn a_workspace_at_its_quota_does_not_hold_back_others() {
    let mut leader = leader(two(cores(2)));
    let wide = spec(vec![step(6, cores(1))]);
    assert_eq!(started(&submit(&mut leader, JOB, wide, "old").1).len(), 2);
    let (reply, decision) = submit(&mut leader, JOB + 1, one_task(), "other");
    assert_eq!((reply, started(&decision).len()), (Reply::Done, 1));
}

/// A lower quota stops nothing; the next task starts once the sum is below it.
#[test]
fn a_lower_quota_applies_to_the_next_start() {
    let mut leader = leader(two(cores(4)));
    let wide = spec(vec![step(6, cores(1))]);
    let (_, decision) = submit(&mut leader, JOB, wide, "old");
    assert_eq!(started(&decision).len(), 4);
    leader.handle(
        moment(20),
        Event::Configure {
            reply_to: ReplyId(1),
            config: config(2, two(cores(2))),
            content: b"2"[..].into(),
        },
    );
    let decision = leader.decide(moment(200));
    assert_eq!(started(&decision), []);
    assert_eq!(leader.state().running_of(FIRST), cores(4));
}

/// Guards against the acceptance of a job for whose tasks the quota never has room, as long-running
/// tasks hold all of it and no other job waits.
#[test]
fn a_job_is_refused_while_long_running_tasks_hold_the_whole_quota() {
    let mut leader = leader(two(cores(4)));
    let held = StepSpec {
        long_running: true,
        ..step(1, cores(4))
    };
    let (_, decision) = submit(&mut leader, 100, spec(vec![held]), "old");
    assert_eq!(started(&decision).len(), 1);
    let (reply, _) = submit(&mut leader, JOB, one_task(), "old");
    assert!(
        matches!(reply, Reply::Refused(Refusal::Busy { .. })),
        "{reply:?}"
    );
}

/// Guards against jobs that are accepted although their quota lets them end too late, or never.
/// A job of one task of a second is of use for 6.6 s.
#[rstest]
#[case::within(1, step(1, cores(2)), false)]
#[case::task_above_the_quota(0, step(1, cores(5)), true)]
#[case::gang_above_the_quota(0, StepSpec { gang: true, ..step(5, cores(1)) }, true)]
#[case::long_running_above_the_quota(
    0,
    StepSpec { long_running: true, ..step(1, cores(5)) },
    true
)]
#[case::own_work_too_long(0, step(100, cores(1)), true)]
#[case::too_much_waits(12, step(1, cores(2)), true)]
#[case::long_running_is_never_late(
    12,
    StepSpec { long_running: true, ..step(1, cores(2)) },
    false
)]
fn a_job_that_its_quota_cannot_serve_is_refused_at_once(
    #[case] earlier: u64,
    #[case] step: StepSpec,
    #[case] refused: bool,
) {
    let mut leader = leader(two(cores(4)));
    for job in 0..earlier {
        let spec = spec(vec![StepSpec {
            estimate_ms: 1_000,
            ..self::step(6, cores(1))
        }]);
        submit(&mut leader, 100 + job, spec, "old");
    }
    let step = StepSpec {
        estimate_ms: 1_000,
        ..step
    };
    let (reply, _) = submit(&mut leader, JOB, spec(vec![step]), "new");
    let busy =
        matches!(reply, Reply::Refused(Refusal::Busy { retry_after_ms }) if retry_after_ms > 0);
    assert_eq!(busy, refused, "{reply:?}");
    assert_eq!(leader.state().job(JobId::new(JOB)).is_some(), !refused);
}

/// Work that waits for a quota is not ahead of other workspaces' jobs: they are accepted.
#[test]
fn work_that_waits_for_a_quota_does_not_refuse_other_workspaces() {
    let mut leader = leader(two(cores(1)));
    for job in 0..200 {
        let steps = vec![StepSpec {
            long_running: false,
            ..step(10, cores(1))
        }];
        let timetable = masticfield_jobs::job::Timetable {
            occurrences: 1,
            start_at_ms: 0,
            interval_ms: 0,
        };
        // A job with a timetable is never refused as late.
        let spec = JobSpec {
            timetable: Some(timetable),
            ..spec(steps)
        };
        assert_eq!(submit(&mut leader, 100 + job, spec, "old").0, Reply::Done);
    }
    assert_eq!(submit(&mut leader, JOB, one_task(), "other").0, Reply::Done);
}

#[test]
fn statistics_show_what_runs_waits_and_was_refused() {
    let mut leader = leader(two(cores(2)));
    submit(&mut leader, JOB, spec(vec![step(3, cores(1))]), "old");
    submit(&mut leader, JOB + 1, spec(vec![step(1, cores(3))]), "old");
    let stats = leader.workspace_stats();
    let first = stats["first"];
    assert_eq!(
        (
            first.running,
            first.quota,
            first.jobs_waiting,
            first.jobs_refused
        ),
        (cores(2), cores(2), 1, 1)
    );
}
