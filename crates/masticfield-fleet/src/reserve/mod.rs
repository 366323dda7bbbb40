//! Sizing of the host reserve and its shortfalls.
//!
//! The reserve covers the loss of the largest rack while a maintenance batch is out of service.
//! By default, all pools of a region share one reserve, which the spare pool holds. The baseline
//! policy for comparisons keeps a reserve in each pool.

mod shortfall;
mod sizing;

pub use shortfall::shortfalls;
pub use sizing::{
    ReservePolicy, ReserveSize, buffer_hosts, requested_hosts, shared_reserve, target_hosts,
};
