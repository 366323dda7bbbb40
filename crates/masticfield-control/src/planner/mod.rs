//! Plans the fleet and carries the plan out on the platform.
//!
//! Only the leader plans. Each turn reads what changed on the platform, plans from the replicated
//! state, commits the planned actions and sends the orders that follow from the state. Reports,
//! learned estimates and availability budgets are not replicated: a new leader collects them again.

mod platform_client;
mod plugin;
mod recorded_state;
mod turn;

pub(crate) use turn::HealthTable;
