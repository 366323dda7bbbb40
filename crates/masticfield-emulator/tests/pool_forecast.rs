//! Forecast of pools' load: its effect on jobs, hosts and moves, with and without a pattern.

use masticfield_emulator::{Fleet, LoadShape, Report, Scenario, Simulation};
use rstest::rstest;

/// Number of seeds in CI; `MASTICFIELD_SEEDS` overrides it.
const SEEDS: u64 = 3;

/// Length of the load in milliseconds: four cycles of 18 s.
const LOAD_MS: u64 = 72_000;

/// Length of a cycle in which each of four queues surges once, in milliseconds.
const CYCLE_MS: u64 = 18_000;

/// Sums of the reports of several seeds.
#[derive(Debug, Default)]
struct Totals {
    submitted: u32,
    on_time: u32,
    late: u32,
    refused: u32,
    moves: u32,
    busy_orders: u32,
    host_seconds: f64,
    worth: f64,
    violations: usize,
}

impl Totals {
    fn add(&mut self, report: &Report) {
        self.submitted += report.submitted;
        self.on_time += report.on_time;
        self.late += report.late;
        self.refused += report.refused;
        self.moves += report.moves;
        self.busy_orders += report.busy_orders;
        self.host_seconds += report.host_seconds;
        self.worth += report.worth;
        self.violations += report.violations.len();
    }

    fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.submitted.max(1))
    }
}

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("MASTICFIELD_SEEDS").ok();
    0..count.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

/// Returns the fleet, scaled by `MASTICFIELD_SCALE`, and the platform's limit of requests.
fn fleet() -> (Fleet, u32) {
    let scale = std::env::var("MASTICFIELD_SCALE").ok();
    let scale = scale.and_then(|scale| scale.parse().ok()).unwrap_or(1);
    // 64 for 336 hosts, and in proportion.
    (Fleet::vitoria().scaled(scale), (64 * scale).div_ceil(7))
}

fn simulate(shape: LoadShape, forecast: bool) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds() {
        let (fleet, limit) = fleet();
        let scenario = Scenario::new(fleet).load_ms(LOAD_MS).shape(shape);
        let scenario = scenario.orders_per_s(limit).pool_forecast(forecast);
        let report = Simulation::new(scenario.fixed_load(), seed).run();
        totals.add(&report);
    }
    totals
}

/// Hosts that are moved for surges that do not come cost host time and moves; hosts that are
/// released too early make jobs late.
#[rstest]
#[case::turns(LoadShape::Turns(CYCLE_MS))]
#[case::single(LoadShape::Once)]
#[case::random(LoadShape::Random)]
#[case::steady(LoadShape::Steady)]
fn the_forecast_of_pools_does_no_harm(#[case] shape: LoadShape) {
    let (before, after) = (simulate(shape, false), simulate(shape, true));
    println!("{shape:?}\n  before {before:?}\n  after  {after:?}");
    let figures = format!("{before:?} {after:?}");
    assert_eq!(after.violations, 0, "{figures}");
    assert!(
        after.on_time_share() >= before.on_time_share() - 0.01,
        "{figures}"
    );
    // More jobs on time may take more host time, but no more for each of them.
    let cost = |totals: &Totals| totals.host_seconds / f64::from(totals.on_time.max(1));
    assert!(cost(&after) <= cost(&before) * 1.03, "{figures}");
    assert!(after.worth >= before.worth * 0.99, "{figures}");
    assert!(
        f64::from(after.moves) <= f64::from(before.moves) * 1.25,
        "{figures}"
    );
}
