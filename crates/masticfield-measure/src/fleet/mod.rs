//! Simulation of the planner and two baselines in the same scenario of release notes, maintenance
//! and host failures.
//!
//! The control loop runs against a model of the platform in simulated time, one step per second
//! and one step per 30 seconds in the quiet period at the end.
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
        about: "Buffer, roll-out and moves of the planner and two baselines in one scenario",
        run,
    }
}

/// Planner with one choice of policies, for comparison with others.
#[derive(Debug, Clone, Copy)]
pub struct PlannerVariant {
    /// Key of the variant's results in the JSON output.
    pub name: &'static str,
    /// Planner with the policies of the variant.
    pub planner: Planner,
}

impl PlannerVariant {
    /// Default planner, followed by its baselines.
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
