//! How many idle hosts the promises ask for.
//!
//! The reserve makes up for the largest rack lost while a maintenance batch is out. It is
//! shared: one reserve for all pools of a region, kept in the spare pool. The baseline keeps a
//! reserve in each pool.

mod shortfall;
mod sizing;

pub use shortfall::shortfalls;
pub use sizing::{
    ReservePolicy, ReserveSize, buffer_hosts, requested_hosts, shared_reserve, target_hosts,
};
