//! Records of all requests, from which the report is calculated.

use std::time::Duration;

use hdrhistogram::Histogram;
use masticfield_core::ids::EntryId;
use masticfield_core::outcome::Outcome;

use super::load::{Arrival, CALLERS};
use super::{Report, Scenario};

/// Longest wait that the histograms can represent, in microseconds.
const MAX_WAIT_US: u64 = 120_000_000;
/// Delay beyond which a refusal counts as late, from the time at which it could be decided.
const LATE_REFUSAL: Duration = Duration::from_millis(50);

/// History of one request.
#[derive(Debug, Clone)]
pub(super) struct RequestRecord {
    pub(super) service: usize,
    pub(super) arrived_at: Duration,
    pub(super) arrival: Arrival,
    pub(super) starts: u32,
    pub(super) outcome: Option<Outcome>,
    pub(super) ended_at: Duration,
    /// Start and end of the last run.
    pub(super) run: (Duration, Duration),
    /// Whether the request was lost in the failure of its entry.
    pub(super) lost: bool,
}

/// Records of one simulation, and the report with the counts so far.
#[derive(Debug)]
pub(super) struct Ledger {
    pub(super) records: Vec<RequestRecord>,
    pub(super) report: Report,
    /// Last time at which each entry learned that each service has lost capacity.
    capacity_losses: Vec<Vec<Duration>>,
}

impl Ledger {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let no_loss = vec![Duration::ZERO; scenario.services().len()];
        Self {
            records: Vec::new(),
            report: Report::default(),
            capacity_losses: vec![no_loss; usize::from(scenario.entries())],
        }
    }

    /// Adds a request and returns its index in `records`.
    pub(super) fn record_arrival(
        &mut self,
        now: Duration,
        service: usize,
        arrival: Arrival,
    ) -> usize {
        self.records.push(RequestRecord {
            service,
            arrived_at: now,
            arrival,
            starts: 0,
            outcome: None,
            ended_at: now,
            run: (now, now),
            lost: false,
        });
        self.records.len() - 1
    }

    /// Records that an entry learned of lost capacity of a service.
    pub(super) fn record_capacity_loss(&mut self, now: Duration, entry: EntryId, service: usize) {
        self.capacity_losses[usize::from(entry.number())][service] = now;
    }

    /// Records the outcome of a request.
    pub(super) fn record_outcome(&mut self, now: Duration, request: usize, outcome: Outcome) {
        let record = &mut self.records[request];
        if record.outcome.replace(outcome).is_some() {
            self.report.not_one_outcome += 1;
        }
        record.ended_at = now;
        match outcome {
            Outcome::Answered => self.report.answered += 1,
            Outcome::Unknown { .. } => self.report.unknown += 1,
            Outcome::NotRun { .. } => {
                self.report.refused += 1;
                self.report.not_run_but_ran += u64::from(record.starts > 0);
                let entry = usize::from(record.arrival.entry.number());
                let decidable_since = record
                    .arrived_at
                    .max(self.capacity_losses[entry][record.service]);
                let late = now.saturating_sub(decidable_since) > LATE_REFUSAL;
                self.report.late_refusals += u64::from(late);
            }
        }
    }

    /// Records that an executor starts a request.
    pub(super) fn record_start(&mut self, request: usize) {
        let record = &mut self.records[request];
        record.starts += 1;
        let twice = record.starts > 1 && !record.arrival.idempotent;
        self.report.duplicate_runs += u64::from(twice);
    }

    /// Completes the report; `capacity` is the slot time available in the surge of each service.
    pub(super) fn finish(mut self, scenario: &Scenario, capacity: &[Duration]) -> Report {
        let (mut surge_waits, mut quiet_waits) = (histogram(), histogram());
        for record in self.records.iter().filter(|record| is_answered(record)) {
            let (start, end) = scenario.surge(record.service);
            let settled = end + scenario.services()[record.service].deadline;
            let wait = wait_us(record, scenario);
            if (start..end).contains(&record.arrived_at) {
                surge_waits.saturating_record(wait);
            } else if record.arrived_at < start || record.arrived_at >= settled {
                quiet_waits.saturating_record(wait);
            }
        }
        self.add_goodput(scenario, capacity);
        self.add_unfairness(scenario);
        let unfinished = self
            .records
            .iter()
            .filter(|record| record.outcome.is_none() && !record.lost);
        self.report.not_one_outcome += unfinished.count() as u64;
        self.report.lost_with_entry =
            self.records.iter().filter(|record| record.lost).count() as u64;
        self.report.requests = self.records.len() as u64;
        self.report.p50_wait_ms = quantile_ms(&surge_waits, 0.5);
        self.report.p99_wait_ms = quantile_ms(&surge_waits, 0.99);
        self.report.quiet_p99_wait_ms = quantile_ms(&quiet_waits, 0.99);
        self.report
    }

    fn add_goodput(&mut self, scenario: &Scenario, capacity: &[Duration]) {
        let mut useful = vec![Duration::ZERO; capacity.len()];
        for record in self.records.iter().filter(|record| is_answered(record)) {
            useful[record.service] += overlap(record.run, scenario.surge(record.service));
        }
        let available: Duration = capacity.iter().sum();
        let used: Duration = useful.iter().sum();
        let shares = useful
            .iter()
            .zip(capacity)
            .map(|(useful, capacity)| useful.div_duration_f64(*capacity));
        self.report.goodput_of_capacity = used.div_duration_f64(available);
        self.report.worst_goodput = shares.fold(f64::INFINITY, f64::min);
    }

    fn add_unfairness(&mut self, scenario: &Scenario) {
        for service in 0..scenario.services().len() {
            let mut answers = [0_u32; CALLERS];
            let (start, end) = scenario.surge(service);
            let in_surge = |record: &&RequestRecord| {
                record.service == service && (start..end).contains(&record.arrived_at)
            };
            for record in self
                .records
                .iter()
                .filter(in_surge)
                .filter(|record| is_answered(record))
            {
                answers[record.arrival.caller] += 1;
            }
            let callers = u32::try_from(CALLERS).unwrap_or(u32::MAX);
            let fair_share = f64::from(answers.iter().sum::<u32>()) / f64::from(callers);
            let highest = answers.iter().max().copied().unwrap_or(0);
            let unfairness = f64::from(highest) / fair_share;
            self.report.unfairness = self.report.unfairness.max(unfairness);
        }
    }
}

const fn is_answered(record: &RequestRecord) -> bool {
    matches!(record.outcome, Some(Outcome::Answered))
}

/// Time beyond the run time and the direct round trip, in microseconds.
fn wait_us(record: &RequestRecord, scenario: &Scenario) -> u64 {
    let elapsed = record.ended_at.saturating_sub(record.arrived_at);
    let direct = record.arrival.run_time + scenario.direct_round_trip();
    u64::try_from(elapsed.saturating_sub(direct).as_micros()).unwrap_or(u64::MAX)
}

/// Length of the part of a run that lies within a surge.
pub(super) fn overlap(run: (Duration, Duration), surge: (Duration, Duration)) -> Duration {
    let end = run.1.min(surge.1);
    end.saturating_sub(run.0.max(surge.0))
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_WAIT_US, 3).expect("the bounds are valid")
}

fn quantile_ms(waits: &Histogram<u64>, quantile: f64) -> f64 {
    Duration::from_micros(waits.value_at_quantile(quantile)).as_secs_f64() * 1_000.0
}
