//! The planner and two baselines through the same story of notes, maintenance and failures.
//!
//! Time is simulated: a turn of the control loop each second against the model of the platform.
//!
//! # Examples
//!
//! ```
//! use masticfield_measure::fleet::Contender;
//!
//! assert_eq!(Contender::all().len(), 3);
//! ```

mod bounds;
mod play;
mod story;
mod tally;

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
pub struct Contender {
    /// Its name in the figures.
    pub name: &'static str,
    /// Its policies.
    pub planner: Planner,
}

impl Contender {
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
    let mut figures = serde_json::Map::new();
    for contender in Contender::all() {
        let tally = story::run(args, contender)?;
        figures.insert(contender.name.to_owned(), serde_json::to_value(tally)?);
    }
    Ok(json!({
        "experiment": "fleet",
        "fleet": format!("{:?}", args.fleet).to_lowercase(),
        "seed": args.seed,
        "contenders": figures,
    }))
}
