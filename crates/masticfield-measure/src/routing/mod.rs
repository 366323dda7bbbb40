//! Experiment `routing`: the routers of eight entries with simulated executors.
//!
//! The load of each service surges in turn, on a virtual clock with fixed network delays. For each
//! slot policy and each queue order, the simulation runs once without faults, and once with the
//! loss of an entry and of an availability zone of upstreams during the first surge.
//!
//! # Examples
//!
//! ```
//! use masticfield_measure::fleet_name::FleetName;
//! use masticfield_measure::routing::Scenario;
//!
//! let scenario = Scenario::new(FleetName::Vitoria, 7);
//! assert_eq!(scenario.entries(), 8);
//! ```

mod event;
mod executor;
mod ledger;
mod load;
mod report;
mod scenario;
mod simulation;

use masticfield_routing::options::{QueueOrder, RouterOptions};
use masticfield_routing::slots::SlotPolicy;
use serde_json::{Value, json};

use crate::experiment::{Experiment, ExperimentArgs, ExperimentError};

pub use report::Report;
pub use scenario::Scenario;
pub use simulation::Simulation;

inventory::submit! {
    Experiment {
        name: "routing",
        about: "Goodput, waits and violated properties of the request path in surges",
        run,
    }
}

/// Slot policies and their names in the report; the first is the default.
const POLICIES: [(&str, SlotPolicy); 3] = [
    ("leased", SlotPolicy::Leased),
    ("static-share", SlotPolicy::StaticShare),
    ("two-choices", SlotPolicy::TwoChoices),
];

/// Queue orders and their names in the report.
const ORDERS: [(&str, QueueOrder); 3] = [
    ("fifo", QueueOrder::Fifo),
    ("lifo", QueueOrder::Lifo),
    ("earliest-deadline", QueueOrder::EarliestDeadline),
];

fn run(args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let scenario = Scenario::new(args.fleet, args.seed);
    let defaults = RouterOptions::default();
    let mut policy_reports = Vec::new();
    for (name, policy) in POLICIES {
        let options = RouterOptions {
            policy,
            ..defaults.clone()
        };
        policy_reports.push(run_with_and_without_faults(name, &scenario, &options)?);
    }
    let mut order_reports = Vec::new();
    for (name, order) in ORDERS {
        let options = RouterOptions {
            queue_order: order,
            ..defaults.clone()
        };
        order_reports.push(run_with_and_without_faults(name, &scenario, &options)?);
    }
    let default_policy = policy_reports.remove(0);
    Ok(json!({
        "experiment": "routing",
        "fleet": format!("{:?}", args.fleet).to_lowercase(),
        "seed": args.seed,
        "policy": default_policy,
        "baselines": policy_reports,
        "orders": order_reports,
    }))
}

/// Runs the scenario without and with faults, and returns both reports as one JSON object.
fn run_with_and_without_faults(
    name: &str,
    scenario: &Scenario,
    options: &RouterOptions,
) -> Result<Value, ExperimentError> {
    let without_faults = Simulation::new(scenario.clone(), options).run();
    let with_faults = Simulation::new(scenario.clone().with_faults(), options).run();
    let mut value = serde_json::to_value(without_faults)?;
    value["name"] = name.into();
    value["with_faults"] = serde_json::to_value(with_faults)?;
    Ok(value)
}
