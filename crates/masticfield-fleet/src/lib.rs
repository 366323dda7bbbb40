//! Fleet planner of masticfield: pool membership, job placement and host maintenance.
//!
//! The planner is a pure function of the configuration, the durable records, the latest
//! observation and the time. It returns a bounded list of actions, each with its reason; the
//! list is empty once the fleet matches its configuration. Actions are idempotent and fenced by
//! the generation of the host that they concern.
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
