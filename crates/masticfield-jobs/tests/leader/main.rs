//! Decisions of the leader.

mod new_leader;
mod pending;
mod runs;
mod standby;
mod support;
mod upkeep;
