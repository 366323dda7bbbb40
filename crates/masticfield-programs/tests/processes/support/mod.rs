//! Programs as child processes, with ports from the system.

mod cluster;
mod installation;
mod process;

pub use cluster::Cluster;
pub use installation::{Installation, Program, exchange, get};
pub use process::{Process, wait_for};
