//! The programs as separate processes, with ports from the system.

mod bad_input;
mod failover;
mod fleet;
mod keys;
mod operator;
mod support;
mod traces;
mod whole_path;
