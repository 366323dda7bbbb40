//! The planner and two baselines through the same story of notes, maintenance and failures.
//!
//! Time is simulated: a turn of the control loop each second against the model of the platform.
//!
//! # Examples
//!
//! ```
//! use masticfield_measure::fleet::PlannerVariant;
//!
//! assert_eq!(PlannerVariant::all().len(), 3);
//! ```

mod bounds;
mod report;
mod scenario;
mod simulation;

use masticfield_fleet::Planner;
use masticfield_fleet::plan::MovePolicy;
use masticfield_fleet::reserve::ReservePolicy;
use serde_json::{Value, json};

use crate::experiment::{Experiment, ExperimentArgs, ExperimentError};

inventory::submit! {
    Experiment {
        name: "fleet",
        about: "Buffer, roll-out and moves of the planner and two baselines through one story",
        run,
    }
}

/// A planner that is compared.
#[derive(Debug, Clone, Copy)]
pub struct PlannerVariant {
    /// Its name in the figures.
    pub name: &'static str,
    /// Its policies.
    pub planner: Planner,
}

impl PlannerVariant {
    /// The planner and its baselines.
    pub fn all() -> [Self; 3] {
        [
            Self {
                name: "planner",
                planner: Planner::new(),
            },
            Self {
                name: "per_pool_reserve",
                planner: Planner::new().reserve(ReservePolicy::PerPool),
            },
            Self {
                name: "first_fit",
                planner: Planner::new().moves(MovePolicy::FirstFit),
            },
        ]
    }
}

fn run(args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let mut variants = serde_json::Map::new();
    for variant in PlannerVariant::all() {
        let report = scenario::run(args, variant)?;
        variants.insert(variant.name.to_owned(), serde_json::to_value(report)?);
    }
    Ok(json!({
        "experiment": "fleet",
        "fleet": format!("{:?}", args.fleet).to_lowercase(),
        "seed": args.seed,
        "contenders": variants,
    }))
}
