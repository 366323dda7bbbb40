//! Planner of pools, placement and maintenance for masticfield.
//!
//! The planner is a pure function of the configuration, the durable records, the observations
//! and the time. It returns a short list of actions, each with its reason; none on a fleet that
//! matches. Actions are fenced by generation and idempotent.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::fleet::Action;
//! use masticfield_fleet::{plan, sample};
//!
//! let fleet = sample::small();
//! let planned = plan(&fleet.view(), Duration::ZERO);
//! assert!(planned.iter().any(|planned| matches!(planned.action, Action::Own { .. })));
//! ```

mod control_loop;
pub mod health;
pub mod index;
pub mod orders;
pub mod placement;
pub mod plan;
pub mod preview;
pub mod reserve;
pub mod sample;
pub mod view;

pub use control_loop::{ControlLoop, StepOutput, service_shortages};
pub use plan::{Planner, plan};
pub use preview::preview;
pub use view::FleetView;
