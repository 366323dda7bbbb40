//! Planning the fleet and carrying the plan out on the platform.
//!
//! Only the leader plans. Each turn reads what changed on the platform, plans from the replicated
//! state, commits the actions, and orders what the state then says. Reports, learnt sizes and
//! budgets are soft: a new leader reads them again.

mod platform_client;
mod plugin;
mod records;
mod turn;

pub(crate) use turn::Healths;
