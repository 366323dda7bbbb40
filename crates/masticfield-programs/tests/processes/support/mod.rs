//! Programs as child processes, with ports from the system.

mod installation;
mod process;

pub use installation::{Installation, get};
pub use process::Process;
