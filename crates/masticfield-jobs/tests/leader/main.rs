//! Decisions of the leader.

mod clocks;
mod former_leases;
mod new_leader;
mod pending;
mod rejected_starts;
mod removed_incarnations;
mod runs;
mod standby;
mod support;
mod upkeep;
