//! Input of the planner: configuration, durable records and observations.
//!
//! # Examples
//!
//! ```
//! use masticfield_fleet::view::HostRecord;
//!
//! let record = HostRecord::owned("counter", 1);
//! assert_eq!(record.ownership.generation().number(), 1);
//! ```

mod fleet_view;
mod host_record;
mod task_record;

pub use fleet_view::FleetView;
pub use host_record::{HostRecord, HostRecords, RebootOrder};
pub use task_record::{JobRecord, JobRecords, TaskKey, TaskOrderKind, TaskRecord};
