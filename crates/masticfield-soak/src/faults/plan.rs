//! Plans of faults.

use std::fmt;
use std::ops::Range;

use clap::ValueEnum;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Direction, Fault, Link, Program};

/// Time before the first fault, in milliseconds.
const FIRST_AT_MS: u64 = 3_000;

/// Time that a fault lasts, in milliseconds.
const DURATION_MS: Range<u64> = 100..5_000;

/// Time before and after the loss of data in which no other control program is disturbed. After a
/// loss, the replica must be a voter again before another fault may count against the tolerance.
const AROUND_DATA_LOSS_MS: (u64, u64) = (8_000, 20_000);

/// Interval between two losses of data, in milliseconds.
const LOSS_INTERVAL_MS: Range<u64> = 35_000..120_000;

/// Time for which a replica is down that loses data, in milliseconds: long enough for the others to
/// commit what it had acknowledged.
const LOSS_DURATION_MS: Range<u64> = 2_000..7_000;

/// Share of the losses in which the whole folder is emptied.
const EMPTIED_SHARE: f64 = 0.6;

/// Share of the faults that come as a series on one target.
const SERIES_SHARE: f64 = 0.2;

/// Number of faults in a series.
const SERIES: Range<u64> = 2..5;

/// Interval between the faults of a series, in milliseconds.
const SERIES_INTERVAL_MS: Range<u64> = 50..1_500;

/// Interval between the beginnings of two series of crashes, in milliseconds.
const CRASH_SERIES_INTERVAL_MS: Range<u64> = 5_000..25_000;

/// Number of crashes in such a series.
const CRASHES: Range<u8> = 6..10;

/// Time until an executor of such a series is back, in milliseconds.
const CRASH_DURATION_MS: Range<u64> = 1_000..4_000;

/// The faults that a plan may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FaultSet {
    /// No faults.
    None,
    /// Signals, short interruptions of links, and executors that come and go.
    Basic,
    /// All faults.
    All,
}

/// Options of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanOptions {
    /// Seed of the plan.
    pub seed: u64,
    /// Time in which faults begin, in milliseconds.
    pub length_ms: u64,
    /// Average time between two faults, in milliseconds.
    pub interval_ms: u64,
    /// Number of control programs.
    pub controls: usize,
    /// Number of entry programs.
    pub entries: usize,
    /// Number of executors.
    pub executors: usize,
    /// The faults that may be in the plan.
    pub faults: FaultSet,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time since the start of the soak, in milliseconds.
    pub at_ms: u64,
    /// Time until the fault ends, in milliseconds.
    pub duration_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Faults in the order in which they begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
    /// Faults that begin together, right after a configuration was acknowledged, once the others
    /// have ended.
    pub last: Vec<PlannedFault>,
}

impl Plan {
    /// Draws a plan; equal options give equal plans.
    pub fn draw(options: &PlanOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
        let losses = draw_losses(&mut rng, options);
        let mut faults = losses.clone();
        let mut at_ms = FIRST_AT_MS;
        while options.faults != FaultSet::None && at_ms < options.length_ms {
            let fault = draw_fault(&mut rng, options);
            let series = if rng.random_bool(SERIES_SHARE) {
                rng.random_range(SERIES)
            } else {
                1
            };
            let mut next = at_ms;
            for _ in 0..series {
                let planned = PlannedFault {
                    at_ms: next,
                    duration_ms: rng.random_range(DURATION_MS),
                    fault,
                };
                if !is_near_loss(&losses, &planned) {
                    faults.push(planned);
                }
                next += rng.random_range(SERIES_INTERVAL_MS);
            }
            at_ms += rng.random_range(options.interval_ms / 4..=options.interval_ms * 7 / 4);
        }
        faults.extend(draw_crash_series(options));
        faults.sort_by_key(|planned| planned.at_ms);
        let last = draw_last(&mut rng, options, &losses);
        Self { faults, last }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for planned in self.faults.iter().chain(&self.last) {
            let PlannedFault {
                at_ms,
                duration_ms,
                fault,
            } = planned;
            writeln!(f, "{at_ms:>7} ms for {duration_ms:>5} ms: {fault}")?;
        }
        Ok(())
    }
}

/// Draws losses of data, which are far apart.
fn draw_losses(rng: &mut ChaCha8Rng, options: &PlanOptions) -> Vec<PlannedFault> {
    let mut losses = Vec::new();
    let mut at_ms = rng.random_range(LOSS_INTERVAL_MS) / 2;
    while options.faults == FaultSet::All && at_ms < options.length_ms {
        let control = rng.random_range(0..options.controls);
        let fault = if rng.random_bool(EMPTIED_SHARE) {
            Fault::EmptyData(control)
        } else {
            Fault::TruncateData(control)
        };
        losses.push(PlannedFault {
            at_ms,
            duration_ms: rng.random_range(LOSS_DURATION_MS),
            fault,
        });
        at_ms += rng.random_range(LOSS_INTERVAL_MS);
    }
    losses
}

/// Draws series of crashes, from numbers of their own: the other faults of a seed do not depend on them.
fn draw_crash_series(options: &PlanOptions) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    rng.set_stream(1);
    let mut series = Vec::new();
    let mut at_ms = FIRST_AT_MS;
    while options.faults != FaultSet::None && at_ms < options.length_ms {
        series.push(PlannedFault {
            at_ms,
            duration_ms: rng.random_range(CRASH_DURATION_MS),
            fault: Fault::CrashSeries {
                crashes: rng.random_range(CRASHES),
                same_id: rng.random_bool(0.5),
            },
        });
        at_ms += rng.random_range(CRASH_SERIES_INTERVAL_MS);
    }
    series
}

/// Draws the faults at the end: all programs are killed, and one of the disks may be lost as well.
fn draw_last(
    rng: &mut ChaCha8Rng,
    options: &PlanOptions,
    losses: &[PlannedFault],
) -> Vec<PlannedFault> {
    if options.faults != FaultSet::All {
        return Vec::new();
    }
    let control = rng.random_range(0..options.controls);
    let mut planned = |fault| PlannedFault {
        at_ms: options.length_ms,
        duration_ms: rng.random_range(LOSS_DURATION_MS),
        fault,
    };
    let mut last = vec![planned(Fault::KillAll)];
    let emptied = planned(Fault::EmptyData(control));
    if options.seed.is_multiple_of(2) && !is_near_loss(losses, &emptied) {
        last.push(emptied);
    }
    last
}

/// Whether a fault would leave a loss of data without the replicas that have the data, or that the
/// replica needs to catch up.
fn is_near_loss(losses: &[PlannedFault], planned: &PlannedFault) -> bool {
    let (before, after) = AROUND_DATA_LOSS_MS;
    planned.fault.hits_control()
        && losses.iter().any(|loss| {
            let end = loss.at_ms + loss.duration_ms;
            planned.at_ms + before >= loss.at_ms && planned.at_ms < end + after
        })
}

fn draw_fault(rng: &mut ChaCha8Rng, options: &PlanOptions) -> Fault {
    let all = options.faults == FaultSet::All;
    let control = rng.random_range(0..options.controls);
    let executor = rng.random_range(0..options.executors);
    let program = if rng.random_bool(0.5) {
        Program::Control(control)
    } else {
        Program::Entry(rng.random_range(0..options.entries))
    };
    let link = match rng.random_range(0..4) {
        0 => Link::Callers(rng.random_range(0..options.entries)),
        1 => Link::Control(control),
        _ => Link::Executor(executor),
    };
    let direction = if rng.random_bool(0.5) {
        Direction::Forward
    } else {
        Direction::Backward
    };
    match rng.random_range(0..if all { 26 } else { 19 }) {
        0..3 => Fault::Pause(program),
        3..6 => Fault::Kill(program),
        6..8 => Fault::Terminate(program),
        8 => Fault::Reload(program),
        9..11 => Fault::Delay(link),
        11..13 => Fault::Reset(link),
        13..15 => Fault::Cut(link, direction),
        15..17 => Fault::CrashExecutor {
            executor,
            same_id: rng.random_bool(0.5),
        },
        17..19 => Fault::DrainExecutor(executor),
        19..21 => Fault::Silence(link),
        21..23 => Fault::SilenceOpen(link),
        23 => Fault::KillAll,
        24 => Fault::KillAllControl,
        _ => Fault::FullDisk(control),
    }
}
