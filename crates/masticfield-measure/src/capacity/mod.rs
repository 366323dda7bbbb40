//! Cost of each role at a given installation size, and how the cost grows with the size.
//!
//! # Examples
//!
//! ```
//! use masticfield_measure::capacity::Slope;
//!
//! let slope = Slope::fit([(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
//! assert!((slope.per_unit - 2.0).abs() < 1e-9 && (slope.at_zero - 1.0).abs() < 1e-9);
//! ```

mod leader_cost;
mod messages;
mod roles;
mod slope;
mod synthetic;

use masticfield_core::config::FleetConfig;
use serde_json::{Value, json};

use crate::experiment::{Experiment, ExperimentArgs, ExperimentError};

pub use leader_cost::LeaderCost;
pub use slope::Slope;
pub use synthetic::Size;

inventory::submit! {
    Experiment {
        name: "capacity",
        about: "Cost of each role, and its growth with workers, pools, changes, entries and regions",
        run,
    }
}

/// Limit of the planning time at the target size, in milliseconds.
const MAX_PLAN_MS: f64 = 100.0;

/// Name of a dimension of [`Size`], its setter and the values to measure.
type Axis = (&'static str, fn(&mut Size, u32), &'static [u32]);

const AXES: [Axis; 5] = [
    (
        "workers",
        |size, value| size.workers = value,
        &[50, 500, 1_150, 2_300],
    ),
    ("pools", |size, value| size.pools = value, &[5, 15, 30, 44]),
    (
        "changes_a_day",
        |size, value| size.changes_a_day = value,
        &[100, 900, 1_800, 2_700],
    ),
    (
        "entries",
        |size, value| size.entries = value,
        &[4, 7, 14, 28],
    ),
    ("regions", |size, value| size.regions = value, &[1, 2, 3, 4]),
];

fn run(_args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let target = Size::target();
    let at_target = LeaderCost::measure(target)?;
    let mut axes = serde_json::Map::new();
    for (name, set, values) in AXES {
        axes.insert(name.to_owned(), measure_axis(set, values)?);
    }
    let config = FleetConfig::default().apply(&synthetic::release_note(target))?;
    Ok(json!({
        "experiment": "capacity",
        "target": target,
        "at_target": at_target,
        "plan_limit_ms": MAX_PLAN_MS,
        "plan_within_limit": at_target.plan_ms <= MAX_PLAN_MS,
        "axes": axes,
        "roles": roles::rows(target, &config, &at_target)?,
    }))
}

fn measure_axis(set: fn(&mut Size, u32), values: &[u32]) -> Result<Value, ExperimentError> {
    let mut rows = Vec::new();
    for value in values {
        let mut size = Size::target();
        set(&mut size, *value);
        rows.push((f64::from(*value), LeaderCost::measure(size)?));
    }
    let slope =
        |cost: fn(&LeaderCost) -> f64| Slope::fit(rows.iter().map(|(x, row)| (*x, cost(row))));
    let slopes = json!({
        "plan_ms": slope(|row| row.plan_ms),
        "rss_mb": slope(|row| row.rss_mb),
        "bytes_per_s": slope(|row| row.bytes_per_s),
        "cpu_percent": slope(|row| row.cpu_percent),
    });
    let rows: Vec<_> = rows
        .iter()
        .map(|(x, row)| json!({ "size": x, "figures": row }))
        .collect();
    Ok(json!({ "rows": rows, "slopes": slopes }))
}
