//! Surges of the pools' load, and when the next ones are expected.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Time constant of the current rate, as in [`OfferedLoad`](super::OfferedLoad).
const SHORT: Duration = Duration::from_millis(500);

/// Time constant of the mean that a surge stands out from; about the length of a cycle.
const MEAN: Duration = Duration::from_secs(12);

/// Ratio of the current rate to the mean from which on a pool surges.
const SURGE_RATIO: f64 = 1.8;

/// Ratio of the current rate to the mean below which a surge is over.
const CALM_RATIO: f64 = 0.7;

/// Number of jobs, decaying over [`SHORT`], that a surge needs at least.
const MIN_SURGE_JOBS: f64 = 4.0;

/// Share of a surge's level below which the load has fallen.
const FALLEN_SHARE: f64 = 0.4;

/// Standard deviations of a Poisson rate by which the load must be lower to have fallen.
const FALLEN_SIGMA: f64 = 3.0;

/// Maximum difference of two intervals that count as equal: this share of them, or [`JITTER`].
const INTERVAL_TOLERANCE: f64 = 0.05;

/// Difference of two intervals that the detection of a surge may cause.
const JITTER: Duration = Duration::from_millis(500);

/// Number of equal gaps between the surges of different pools that show that they take turns.
const EQUAL_GAPS: usize = 4;

/// Number of equal intervals between the surges of one pool that show its period.
const EQUAL_INTERVALS: usize = 2;

/// Time after the expected begin of a surge at which it counts as missed.
const MISSED_AFTER: Duration = Duration::from_millis(800);

/// Score after a missed surge; each one that came as expected adds 1, and none is acted on below 0.
const MISSED_SCORE: i32 = -2;

/// Time for which a surge counts as just ended.
const JUST_ENDED: Duration = Duration::from_secs(2);

/// Maximum score.
const MAX_SCORE: i32 = 2;

/// Surges that are kept of a pool, and of all pools.
const KEPT: usize = 8;

/// A surge that is expected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedSurge {
    /// When the surge is expected to begin.
    pub begins: Duration,
    /// Rate of work to expect, in cores.
    pub cores: f64,
}

/// Surges of all pools, from the work of submitted jobs.
///
/// A surge is expected where surges recur: those of one pool at equal intervals, or those of several
/// pools that take turns at equal intervals. Loads without such a pattern, and patterns that have
/// just been missed, yield no expectation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SurgePattern {
    pools: BTreeMap<Arc<str>, PoolSurges>,
    /// Begins of the latest surges, with their pools, in order.
    begins: VecDeque<(Duration, Arc<str>)>,
}

/// Load and surges of one pool.
#[derive(Debug, Clone, Default, PartialEq)]
struct PoolSurges {
    /// Average over [`SHORT`], in cores.
    short: f64,
    /// Average over [`MEAN`], in cores.
    mean: f64,
    /// Number of jobs, decaying over [`SHORT`].
    jobs: f64,
    updated: Duration,
    surge: Option<Surge>,
    /// When the end of the latest surge was noticed.
    ended: Option<Duration>,
    /// Begins and levels of the latest surges, in order.
    past: VecDeque<(Duration, f64)>,
    /// The expectation that is to be compared with the next surge.
    expected: Option<ExpectedSurge>,
    score: i32,
}

/// A surge that is under way.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Surge {
    begun: Duration,
    /// Work of the jobs so far, in core-seconds.
    work: f64,
    jobs: f64,
}

impl SurgePattern {
    /// Records a submitted job with `work` core-seconds.
    pub fn add(&mut self, now: Duration, pool: &Arc<str>, work: f64) {
        let history = self.pools.entry(Arc::clone(pool)).or_default();
        history.decay(now);
        history.short += work / SHORT.as_secs_f64();
        history.mean += work / MEAN.as_secs_f64();
        history.jobs += 1.0;
        if let Some(surge) = &mut history.surge {
            surge.work += work;
            surge.jobs += 1.0;
        } else if history.jobs >= MIN_SURGE_JOBS && history.short > history.mean * SURGE_RATIO {
            history.begin(now);
            self.begins.push_back((now, Arc::clone(pool)));
            if self.begins.len() > KEPT {
                self.begins.pop_front();
            }
        }
    }

    /// Records the passing of time; due about every 100 ms.
    pub fn observe(&mut self, now: Duration) {
        let pools: Vec<_> = self.pools.keys().cloned().collect();
        for pool in pools {
            let next = self.predict(&pool);
            let Some(history) = self.pools.get_mut(&pool) else {
                continue;
            };
            history.decay(now);
            if history.surge.is_some() && history.short < history.mean * CALM_RATIO {
                history.end(now);
            }
            match history.expected {
                Some(expected) if now > expected.begins + MISSED_AFTER => {
                    history.score = MISSED_SCORE;
                    history.expected = None;
                }
                Some(_) => {}
                None => history.expected = next.filter(|next| next.begins > now),
            }
        }
    }

    /// Returns the next surge of a pool if one is expected with enough confidence.
    pub fn expected(&self, pool: &str) -> Option<ExpectedSurge> {
        let history = self.pools.get(pool)?;
        history.expected.filter(|_| history.score >= 0)
    }

    /// Returns whether the surge of a pool has just ended: far fewer jobs come than chance allows.
    pub fn has_fallen(&self, pool: &str, now: Duration) -> bool {
        let history = self.pools.get(pool);
        history.is_some_and(|history| match (history.surge, history.ended) {
            (Some(surge), _) => history.is_below(surge, now),
            (None, ended) => ended.is_some_and(|ended| now < ended + JUST_ENDED),
        })
    }

    /// Returns the next surge that the pattern so far lets expect.
    fn predict(&self, pool: &Arc<str>) -> Option<ExpectedSurge> {
        let history = self.pools.get(pool)?;
        let begins = history.next_turn().or_else(|| self.next_turn(pool))?;
        // The lower of two levels: too many hosts cost more than a few that come late.
        let levels = history.past.iter().rev().take(2).map(|(_, level)| *level);
        let cores = levels.min_by(f64::total_cmp)?;
        (cores > 0.0).then_some(ExpectedSurge { begins, cores })
    }

    /// Returns when a pool surges next that takes turns with others.
    fn next_turn(&self, pool: &Arc<str>) -> Option<Duration> {
        let begins: Vec<_> = self.begins.iter().map(|(begun, _)| *begun).collect();
        let next = next_after(&begins, EQUAL_GAPS)?;
        let (_, latest) = self.begins.back()?;
        // The pool that came after the latest one in the former turn.
        let turns = self.begins.iter().zip(self.begins.iter().skip(1));
        let mut turns = turns.rev();
        let former = turns.find(|((_, former), _)| former == latest);
        let (_, (_, follower)) = former?;
        (follower == pool).then_some(next)
    }
}

impl PoolSurges {
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let short = (-elapsed / SHORT.as_secs_f64()).exp();
        self.short *= short;
        self.jobs *= short;
        self.mean *= (-elapsed / MEAN.as_secs_f64()).exp();
        self.updated = self.updated.max(now);
    }

    /// Returns when the pool surges next if it surges at equal intervals.
    fn next_turn(&self) -> Option<Duration> {
        let begins: Vec<_> = self.past.iter().map(|(begun, _)| *begun).collect();
        next_after(&begins, EQUAL_INTERVALS)
    }

    fn begin(&mut self, now: Duration) {
        let work = self.short * SHORT.as_secs_f64();
        self.surge = Some(Surge {
            begun: now,
            work,
            jobs: self.jobs,
        });
        if let Some(expected) = self.expected.take() {
            let came = now + MISSED_AFTER >= expected.begins;
            self.score = if came {
                (self.score + 1).min(MAX_SCORE)
            } else {
                MISSED_SCORE
            };
        }
        self.past.push_back((now, 0.0));
        if self.past.len() > KEPT {
            self.past.pop_front();
        }
    }

    fn end(&mut self, now: Duration) {
        let Some(surge) = self.surge.take() else {
            return;
        };
        self.ended = Some(now);
        // The end is noticed about one time constant late.
        let lasted = now.saturating_sub(surge.begun).saturating_sub(SHORT);
        if let Some((_, level)) = self.past.back_mut() {
            *level = surge.work / lasted.max(SHORT).as_secs_f64();
        }
    }

    /// Returns whether the current rate is far below the level of a surge.
    fn is_below(&self, surge: Surge, now: Duration) -> bool {
        let lasted = now.saturating_sub(surge.begun).max(SHORT).as_secs_f64();
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let jobs = self.jobs * (-elapsed / SHORT.as_secs_f64()).exp();
        // In a steady surge, the decaying number is that of one time constant, with the deviation of
        // a Poisson variable of twice that number.
        let usual = surge.jobs / lasted * SHORT.as_secs_f64();
        let by_chance = 1.0 - FALLEN_SIGMA / (2.0 * usual).sqrt();
        jobs < usual * by_chance.min(FALLEN_SHARE)
    }
}

/// Returns the next of a series of times whose latest `count` intervals are equal.
fn next_after(times: &[Duration], count: usize) -> Option<Duration> {
    let latest = *times.last()?;
    let first = times.len().checked_sub(count + 1)?;
    let intervals: Vec<_> = times[first..]
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]))
        .collect();
    let (shortest, longest) = (intervals.iter().min()?, intervals.iter().max()?);
    let tolerance = shortest.mul_f64(INTERVAL_TOLERANCE).max(JITTER);
    let total = latest.saturating_sub(times[first]);
    (longest.saturating_sub(*shortest) <= tolerance)
        .then(|| latest + total / u32::try_from(intervals.len()).unwrap_or(u32::MAX))
}
