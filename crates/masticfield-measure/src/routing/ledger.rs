//! What became of each request.

use std::time::Duration;

use hdrhistogram::Histogram;
use masticfield_core::ids::EntryId;
use masticfield_core::outcome::Outcome;

use super::load::{Arrival, CALLERS};
use super::{Figures, Scenario};

/// Largest wait that the histograms tell apart, in microseconds.
const MAX_WAIT_US: u64 = 120_000_000;
/// Time after which a refusal counts as late.
const LATE: Duration = Duration::from_millis(50);

/// What became of one request.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) service: usize,
    pub(super) arrived: Duration,
    pub(super) arrival: Arrival,
    pub(super) starts: u32,
    pub(super) outcome: Option<Outcome>,
    pub(super) ended: Duration,
    pub(super) ran: (Duration, Duration),
    pub(super) lost: bool,
}

/// The records of one run, and the counts that are made as it goes.
#[derive(Debug)]
pub(super) struct Ledger {
    pub(super) records: Vec<Record>,
    pub(super) figures: Figures,
    /// The latest time at which an entry learnt that a service has less capacity.
    setbacks: Vec<Vec<Duration>>,
}

impl Ledger {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let services = vec![Duration::ZERO; scenario.services().len()];
        Self {
            records: Vec::new(),
            figures: Figures::default(),
            setbacks: vec![services; usize::from(scenario.entries())],
        }
    }

    pub(super) fn open(&mut self, now: Duration, service: usize, arrival: Arrival) -> usize {
        self.records.push(Record {
            service,
            arrived: now,
            arrival,
            starts: 0,
            outcome: None,
            ended: now,
            ran: (now, now),
            lost: false,
        });
        self.records.len() - 1
    }

    /// Notes that an entry learnt of lost capacity of a service.
    pub(super) fn set_back(&mut self, now: Duration, entry: EntryId, service: usize) {
        self.setbacks[usize::from(entry.number())][service] = now;
    }

    /// Notes the outcome of a request.
    pub(super) fn close(&mut self, now: Duration, request: usize, outcome: Outcome) {
        let record = &mut self.records[request];
        if record.outcome.replace(outcome).is_some() {
            self.figures.not_one_outcome += 1;
        }
        record.ended = now;
        match outcome {
            Outcome::Answered => self.figures.answered += 1,
            Outcome::Unknown { .. } => self.figures.unknown += 1,
            Outcome::NotRun { .. } => {
                self.figures.refused += 1;
                self.figures.not_run_but_ran += u64::from(record.starts > 0);
                let entry = usize::from(record.arrival.entry.number());
                let possible = record.arrived.max(self.setbacks[entry][record.service]);
                let late = now.saturating_sub(possible) > LATE;
                self.figures.late_refusals += u64::from(late);
            }
        }
    }

    /// Notes that an executor starts a request.
    pub(super) fn start(&mut self, request: usize) {
        let record = &mut self.records[request];
        record.starts += 1;
        let twice = record.starts > 1 && !record.arrival.idempotent;
        self.figures.twice_run += u64::from(twice);
    }

    /// The figures, given the slots' time of each surge.
    pub(super) fn finish(mut self, scenario: &Scenario, capacity: &[Duration]) -> Figures {
        let (mut surge, mut quiet) = (histogram(), histogram());
        for record in self.records.iter().filter(|r| is_answered(r)) {
            let (start, end) = scenario.surge(record.service);
            let drained = end + scenario.services()[record.service].deadline;
            let wait = wait_us(record, scenario);
            if (start..end).contains(&record.arrived) {
                surge.saturating_record(wait);
            } else if record.arrived < start || record.arrived >= drained {
                quiet.saturating_record(wait);
            }
        }
        self.add_goodput(scenario, capacity);
        self.add_unfairness(scenario);
        let open = self
            .records
            .iter()
            .filter(|r| r.outcome.is_none() && !r.lost);
        self.figures.not_one_outcome += open.count() as u64;
        self.figures.lost_with_entry = self.records.iter().filter(|r| r.lost).count() as u64;
        self.figures.requests = self.records.len() as u64;
        self.figures.p50_wait_ms = quantile_ms(&surge, 0.5);
        self.figures.p99_wait_ms = quantile_ms(&surge, 0.99);
        self.figures.quiet_p99_wait_ms = quantile_ms(&quiet, 0.99);
        self.figures
    }

    fn add_goodput(&mut self, scenario: &Scenario, capacity: &[Duration]) {
        let mut useful = vec![Duration::ZERO; capacity.len()];
        for record in self.records.iter().filter(|r| is_answered(r)) {
            useful[record.service] += overlap(record.ran, scenario.surge(record.service));
        }
        let whole: Duration = capacity.iter().sum();
        let all: Duration = useful.iter().sum();
        let shares = useful
            .iter()
            .zip(capacity)
            .map(|(u, c)| u.div_duration_f64(*c));
        self.figures.goodput_of_capacity = all.div_duration_f64(whole);
        self.figures.worst_goodput = shares.fold(f64::INFINITY, f64::min);
    }

    fn add_unfairness(&mut self, scenario: &Scenario) {
        for service in 0..scenario.services().len() {
            let mut answers = [0_u32; CALLERS];
            let (start, end) = scenario.surge(service);
            let within = |r: &&Record| r.service == service && (start..end).contains(&r.arrived);
            for record in self
                .records
                .iter()
                .filter(within)
                .filter(|r| is_answered(r))
            {
                answers[record.arrival.caller] += 1;
            }
            let callers = u32::try_from(CALLERS).unwrap_or(u32::MAX);
            let fair = f64::from(answers.iter().sum::<u32>()) / f64::from(callers);
            let highest = answers.iter().max().copied().unwrap_or(0);
            let share = f64::from(highest) / fair;
            self.figures.unfairness = self.figures.unfairness.max(share);
        }
    }
}

const fn is_answered(record: &Record) -> bool {
    matches!(record.outcome, Some(Outcome::Answered))
}

/// Time beyond the direct way, in microseconds.
fn wait_us(record: &Record, scenario: &Scenario) -> u64 {
    let whole = record.ended.saturating_sub(record.arrived);
    let direct = record.arrival.run + scenario.direct_round_trip();
    u64::try_from(whole.saturating_sub(direct).as_micros()).unwrap_or(u64::MAX)
}

/// The part of a run that lies in a surge.
pub(super) fn overlap(ran: (Duration, Duration), surge: (Duration, Duration)) -> Duration {
    let end = ran.1.min(surge.1);
    end.saturating_sub(ran.0.max(surge.0))
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_WAIT_US, 3).expect("the bounds are valid")
}

fn quantile_ms(waits: &Histogram<u64>, quantile: f64) -> f64 {
    Duration::from_micros(waits.value_at_quantile(quantile)).as_secs_f64() * 1_000.0
}
