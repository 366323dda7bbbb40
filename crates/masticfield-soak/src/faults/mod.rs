//! Faults, and plans of them that are drawn from a seed.

mod fault;
mod plan;

pub use fault::{Direction, Fault, Link, Program};
pub use plan::{FaultSet, Plan, PlanOptions, PlannedFault};
