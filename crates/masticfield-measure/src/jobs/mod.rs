//! The scheduling of jobs and three baselines through the same day of the emulator.
//!
//! Queues surge by turns, and each asks for more than its pool holds. Credit of a job grows with
//! its work, is whole within its objective and 7% of that within three times it.
//!
//! # Examples
//!
//! ```
//! use masticfield_emulator::Fleet;
//! use masticfield_measure::jobs::compare;
//!
//! let figures = compare(&Fleet::small(), 1, 3_000);
//! assert_eq!(figures.ours.run_twice, 0);
//! ```

mod figures;

use masticfield_emulator::{Fleet, Scenario, Simulation};
use masticfield_jobs::schedule::JobOrder;
use serde_json::{Value, json};

use crate::experiment::{Experiment, ExperimentArgs, ExperimentError};
use crate::fleet_name::FleetName;

pub use figures::{Figures, OrderFigures};

/// Length of the load, in milliseconds: each of four queues has its turn.
const LENGTH_MS: u64 = 40_000;

/// Times as many hosts as the sample fleet, for the cost of decisions: about 349.
const GROWN: u32 = 7;

/// Length of the load on the grown fleet, in milliseconds.
const GROWN_LENGTH_MS: u64 = 8_000;

inventory::submit! {
    Experiment {
        name: "jobs",
        about: "Jobs on time under the scheduler and three baselines, in the emulator",
        run,
    }
}

/// Plays the same day under the scheduler and each baseline.
pub fn compare(fleet: &Fleet, seed: u64, length_ms: u64) -> Figures {
    let play = |order| {
        let day = Scenario::new(fleet.clone()).load_ms(length_ms);
        let day = day.fixed_load().order(order);
        let (report, decided) = Simulation::new(day, seed).run_timed();
        OrderFigures::new(order, &report, decided)
    };
    Figures {
        ours: play(JobOrder::OnTimeFirst),
        baselines: [
            JobOrder::FirstComeFirstServed,
            JobOrder::EarliestDeadline,
            JobOrder::ShortestFirst,
        ]
        .map(play)
        .into(),
    }
}

fn run(args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let fleet = match args.fleet {
        FleetName::Vitoria => Fleet::vitoria(),
        FleetName::Vulpescu => Fleet::vulpescu(),
    };
    let figures = compare(&fleet, args.seed, LENGTH_MS);
    let grown = Scenario::new(fleet.scaled(GROWN)).load_ms(GROWN_LENGTH_MS);
    let (report, decided) = Simulation::new(grown, args.seed).run_timed();
    let grown = OrderFigures::new(JobOrder::OnTimeFirst, &report, decided);
    let pages = procfs::process::Process::myself()?.statm()?.resident;
    let ours = &figures.ours;
    #[expect(clippy::cast_precision_loss, reason = "megabytes")]
    let rss_mb = (pages * procfs::page_size()) as f64 / 1e6;
    Ok(json!({
        "experiment": "jobs",
        "fleet": format!("{:?}", args.fleet).to_lowercase(),
        "seed": args.seed,
        "worth": ours.worth,
        "asked": ours.asked,
        "on_time": ours.on_time,
        "late": ours.late,
        "refused": ours.refused,
        "over_room": ours.over_room,
        "run_twice": ours.run_twice,
        "lost": ours.lost,
        "baselines": figures.baselines,
        "ahead_of_baselines": figures.is_ahead(),
        "leader_us_per_task": grown.leader_us_per_task,
        "rss_mb": rss_mb.round(),
    }))
}
