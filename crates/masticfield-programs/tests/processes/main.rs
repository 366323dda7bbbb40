//! The programs as separate processes, with ports from the system.

mod bad_input;
mod support;
mod whole_path;
