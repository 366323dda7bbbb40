//! Scheduling rules: job order, load shedding, placement, pool sizes, admission and executor health.
//!
//! Functions here compute a decision from their arguments. Types that accumulate observations,
//! such as [`OfferedLoad`] and [`Reliability`], are owned by the leader.

mod admission;
mod availability;
mod job_order;
mod job_value;
mod lease;
mod load_shedding;
mod offered_load;
mod order_window;
mod placement;
mod poll_interval;
mod pool_size;
mod progress;
mod rank;
mod reliability;
mod shares;
mod surge_pattern;
mod upkeep;

pub use admission::{Admission, Backlog, admit};
pub use availability::may_interrupt;
pub use job_order::JobOrder;
pub use job_value::{JobValues, ServiceHistory, value};
pub use lease::{ClockReading, lease_end};
pub use load_shedding::{
    NewJob, PoolCapacity, RefusalBasis, Turn, WaitingJob, admit_new, shed_order,
};
pub use offered_load::OfferedLoad;
pub use order_window::OrderWindow;
pub(crate) use placement::fits;
pub use placement::{Candidate, PlacementRequest, choose};
pub use poll_interval::poll_interval;
pub use pool_size::{PoolLoad, required_hosts, residual_demand};
pub use progress::{Progress, assess_progress, expected_end};
pub use rank::{Rank, Timeliness, USEFUL_FACTOR, on_time_ms, rank, timeliness};
pub use reliability::{Reliability, ReliabilityStatus};
pub use shares::FairShares;
pub use surge_pattern::{ExpectedSurge, SurgePattern};
pub use upkeep::{hosts_at_once, is_urgent};
