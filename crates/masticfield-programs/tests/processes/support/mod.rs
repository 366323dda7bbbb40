//! Runs programs as child processes on free ports.

mod cluster;
mod installation;
mod process;

pub use cluster::Cluster;
pub use installation::{Installation, Program, exchange, get};
pub use process::{Process, wait_for};
