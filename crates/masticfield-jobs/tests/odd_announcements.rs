//! Announcements of another writer under the identifier of an executor. They harm no other.

use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, StepSpec};
use masticfield_jobs::leader::{
    Announcement, Call, ClaimWatch, Effect, Event, HoldReport, JobRequest, JobRequestKind, Leader,
    LeaderOptions, Moment, ReplyId,
};
use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use masticfield_jobs::state::{Command, ExecutorIncarnation, State};
use rstest::rstest;

/// Lease of the runs on executors, in milliseconds.
const LEASE_MS: u64 = 5_000;

/// Interval between two announcements, in milliseconds.
const INTERVAL_MS: u64 = 1_500;

/// The executor's clock when the leadership begins, in milliseconds.
const CLOCK_MS: u64 = 482_113;

const DAY_MS: u64 = 24 * 3_600 * 1_000;

/// A leader and one executor, which answers each hold unless it is unreachable.
struct Fleet {
    leader: Leader,
    /// Time since the leadership began, in milliseconds.
    elapsed_ms: u64,
    sequence: u64,
    /// Ends of the leases in the orders to start, on the executor's clock, in milliseconds.
    starts: Vec<u64>,
}

impl Fleet {
    fn new() -> Self {
        let mut state = State::default();
        state.apply(Command::Configure {
            config: config(),
            content: b"config"[..].into(),
        });
        let options = LeaderOptions::new(Duration::from_millis(LEASE_MS))
            .announce_every(Duration::from_millis(INTERVAL_MS));
        let watch = ClaimWatch::new(Duration::ZERO);
        Self {
            leader: Leader::new(state, options, watch, moment(0)),
            elapsed_ms: 0,
            sequence: 0,
            starts: Vec::new(),
        }
    }

    /// The executor's clock, in milliseconds.
    const fn clock_ms(&self) -> u64 {
        CLOCK_MS + self.elapsed_ms
    }

    /// The next announcement of the executor.
    fn announcement(&mut self) -> Announcement {
        self.sequence += 1;
        Announcement {
            incarnation: ExecutorIncarnation {
                id: "e1".into(),
                started_ms: 5,
                pool: "p".into(),
                address: "127.0.0.1:1".into(),
                zone: "z".into(),
                labels: Vec::new(),
                rack: None,
                capacity: Resources {
                    cpu_milli: 4_000,
                    memory_mb: 4_096,
                    gpus: 0,
                },
            },
            sequence: self.sequence,
            clock_ms: self.clock_ms(),
            leaving: false,
        }
    }

    fn announce(&mut self, announcement: Announcement) {
        let reply_to = ReplyId(1);
        self.handle(Event::Announced {
            reply_to,
            announcement,
        });
        self.settle();
    }

    fn handle(&mut self, event: Event) {
        self.leader.handle(moment(self.elapsed_ms), event);
    }

    /// Carries out the leader's calls until it decides nothing more.
    fn settle(&mut self) {
        for _ in 0..5 {
            let now = moment(self.elapsed_ms);
            for effect in self.leader.decide(now).after_commit {
                match effect {
                    Effect::Call {
                        executor,
                        call: Call::Hold { sent, .. },
                        ..
                    } => {
                        let report = HoldReport {
                            clock_ms: self.clock_ms(),
                            started_ms: Some(5),
                            running: Vec::new(),
                            finished: Vec::new(),
                        };
                        self.handle(Event::HoldResult {
                            executor,
                            sent,
                            result: Ok(report),
                        });
                    }
                    Effect::Call {
                        call: Call::Start { deadline_ms, .. },
                        ..
                    } => self.starts.push(deadline_ms),
                    _ => {}
                }
            }
        }
    }

    /// Lets the executor announce itself for `intervals`.
    fn run(&mut self, intervals: u64) {
        for _ in 0..intervals {
            self.elapsed_ms += INTERVAL_MS;
            let announcement = self.announcement();
            self.announce(announcement);
        }
    }

    /// Submits a job of one task and returns the ends of the leases in the orders to start.
    fn submit(mut self) -> Vec<u64> {
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
        self.handle(Event::JobRequest {
            reply_to: ReplyId(2),
            request: JobRequest {
                authority: "a.example".into(),
                path: format!("/q/{}", JobId::new(7)),
                kind: JobRequestKind::Submit(spec),
                key: None,
            },
        });
        self.settle();
        self.starts
    }
}

fn moment(elapsed_ms: u64) -> Moment {
    Moment {
        monotonic: Duration::from_millis(100_000 + elapsed_ms),
        wall_ms: 1_700_000_000_000 + elapsed_ms,
    }
}

fn config() -> QueuesConfig {
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
        pools: vec![PoolConfig {
            name: "p".into(),
            max_connections: 64,
            rejects_overload: false,
            standby: false,
        }],
        limits: None,
        workspaces: None,
    }
}

/// Guards against an executor that counts as silent, as its own announcements look old, and
/// against leases by a clock that the executor does not have: the executor shortens them to its
/// maximum, and the leader takes them to be over before they are.
#[rstest]
#[case::nothing(|_: &mut Announcement| ())]
#[case::sequence(|odd: &mut Announcement| odd.sequence = 1 << 40)]
#[case::clock(|odd: &mut Announcement| odd.clock_ms += DAY_MS)]
#[case::clock_half_a_minute_ahead(|odd: &mut Announcement| odd.clock_ms += 30_000)]
#[case::clock_and_sequence(|odd: &mut Announcement| (odd.clock_ms, odd.sequence) = (odd.clock_ms + DAY_MS, 1 << 40))]
#[case::clock_behind(|odd: &mut Announcement| odd.clock_ms = 0)]
#[case::another_pool(|odd: &mut Announcement| odd.incarnation.pool = "nowhere".into())]
fn an_odd_announcement_neither_silences_an_executor_nor_shifts_its_clock(
    #[case] change: fn(&mut Announcement),
    #[values(0, 3)] announcements_before: u64,
) {
    let mut fleet = Fleet::new();
    fleet.run(announcements_before);
    let mut odd = fleet.announcement();
    change(&mut odd);
    fleet.announce(odd);
    fleet.run(4);
    let deadline_ms = fleet.clock_ms() + LEASE_MS;
    assert_eq!(fleet.submit(), [deadline_ms]);
}

/// Guards against an executor that gets new tasks although it has announced that it leaves: an
/// announcement of another writer, with a high sequence, makes its own look late.
#[test]
fn a_late_announcement_that_an_executor_leaves_is_recorded() {
    let mut fleet = Fleet::new();
    fleet.run(2);
    let mut odd = fleet.announcement();
    odd.sequence = 1 << 40;
    fleet.announce(odd);
    let mut leaves = fleet.announcement();
    leaves.leaving = true;
    fleet.announce(leaves);
    assert_eq!(fleet.submit(), []);
}
