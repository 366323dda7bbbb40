//! The programs under test, as child processes.

mod binaries;
mod installation;
mod process;

pub use binaries::Binaries;
pub(crate) use installation::{
    ANNOUNCE_MS, GRACE_S, Installation, InstallationOptions, MAX_LEASE_MS, STOP_MS,
};
