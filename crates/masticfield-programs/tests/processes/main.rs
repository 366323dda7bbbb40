//! Tests of the programs, each run as a separate process on free ports.

mod check;
mod end_to_end;
mod failover;
mod fleet;
mod invalid_input;
mod keys;
mod operator;
mod support;
mod traces;
