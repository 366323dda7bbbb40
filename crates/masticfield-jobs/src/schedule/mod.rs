//! Decisions on which task runs next, where, and what is refused.
//!
//! Each is a function of what is known; none keeps state.

mod admission;
mod headway;
mod job_order;
mod lease;
mod looks;
mod offered;
mod place;
mod pool_size;
mod rank;
mod track_record;
mod upkeep;

pub use admission::{Admission, Backlog, admit};
pub use headway::{Headway, expected_end, headway};
pub use job_order::JobOrder;
pub use lease::{ClockReading, lease_end};
pub use looks::look_gap;
pub use offered::Offered;
pub use place::{Candidate, Wish, choose};
pub use pool_size::{PoolLoad, share_when_host_comes, wanted_hosts};
pub use rank::{Rank, Standing, USEFUL_FACTOR, on_time_ms, rank, standing};
pub use track_record::{TrackRecord, Trust};
pub use upkeep::hosts_at_once;
