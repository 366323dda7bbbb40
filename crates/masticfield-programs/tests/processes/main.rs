//! The programs as separate processes, with ports from the system.

mod support;
mod whole_path;
