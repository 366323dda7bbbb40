//! Comparison of the job scheduler with three baselines in the same emulator scenario.
//!
//! The load of the queues surges in turn, each time beyond the capacity of the pool. The credit of
//! a job grows with its work. It is earned in full within the objective of the job, to 7% within
//! three times the objective, and not at all after that.
//!
//! # Examples
//!
//! ```
//! use masticfield_emulator::Fleet;
//! use masticfield_measure::jobs::compare;
//!
//! let comparison = compare(&Fleet::small(), 1, 3_000);
//! assert_eq!(comparison.ours.duplicate_runs, 0);
//! ```

mod comparison;

use masticfield_emulator::{Fleet, Scenario, Simulation};
use masticfield_jobs::schedule::JobOrder;
use serde_json::{Value, json};

use crate::experiment::{Experiment, ExperimentArgs, ExperimentError};
use crate::fleet_name::FleetName;

pub use comparison::{Comparison, OrderReport};

/// Length of the load in milliseconds, in which each of four queues surges once.
const LENGTH_MS: u64 = 40_000;

/// Factor by which the sample fleet is scaled to measure the cost of decisions: to about 349 hosts.
const SCALE_FACTOR: u32 = 7;

/// Length of the load on the scaled fleet, in milliseconds.
const SCALED_LENGTH_MS: u64 = 8_000;

inventory::submit! {
    Experiment {
        name: "jobs",
        about: "Jobs on time under the scheduler and three baselines, in the emulator",
        run,
    }
}

/// Runs the same load under the scheduler's own order and under each baseline.
///
/// `length_ms` is the length of the load in simulated milliseconds.
pub fn compare(fleet: &Fleet, seed: u64, length_ms: u64) -> Comparison {
    let simulate = |order| {
        let scenario = Scenario::new(fleet.clone()).load_ms(length_ms);
        let scenario = scenario.fixed_load().order(order);
        let (report, decision_time) = Simulation::new(scenario, seed).run_timed();
        OrderReport::new(order, &report, decision_time)
    };
    Comparison {
        ours: simulate(JobOrder::OnTimeFirst),
        baselines: [
            JobOrder::FirstComeFirstServed,
            JobOrder::EarliestDeadline,
            JobOrder::ShortestFirst,
        ]
        .map(simulate)
        .into(),
    }
}

fn run(args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let fleet = match args.fleet {
        FleetName::Vitoria => Fleet::vitoria(),
        FleetName::Vulpescu => Fleet::vulpescu(),
    };
    let comparison = compare(&fleet, args.seed, LENGTH_MS);
    let scaled = Scenario::new(fleet.scaled(SCALE_FACTOR)).load_ms(SCALED_LENGTH_MS);
    let (report, decision_time) = Simulation::new(scaled, args.seed).run_timed();
    let scaled = OrderReport::new(JobOrder::OnTimeFirst, &report, decision_time);
    let pages = procfs::process::Process::myself()?.statm()?.resident;
    let ours = &comparison.ours;
    #[expect(clippy::cast_precision_loss, reason = "megabytes")]
    let rss_mb = (pages * procfs::page_size()) as f64 / 1e6;
    Ok(json!({
        "experiment": "jobs",
        "fleet": format!("{:?}", args.fleet).to_lowercase(),
        "seed": args.seed,
        "worth": ours.earned_credit,
        "asked": ours.submitted,
        "on_time": ours.on_time,
        "late": ours.late,
        "refused": ours.refused,
        "over_room": ours.over_capacity,
        "run_twice": ours.duplicate_runs,
        "lost": ours.unfinished,
        "baselines": comparison.baselines,
        "ahead_of_baselines": comparison.is_ahead_of_baselines(),
        "leader_us_per_task": scaled.leader_us_per_task,
        "rss_mb": rss_mb.round(),
    }))
}
