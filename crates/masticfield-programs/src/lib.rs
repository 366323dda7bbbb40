//! Binaries of masticfield, and tests that run them as processes.
//!
//! Each binary sets the allocator and calls the `main` function of the library crate that
//! implements it:
//!
//! | binary | library crate | purpose |
//! | --- | --- | --- |
//! | `masticfield` | `masticfield-cli` | command line for operators |
//! | `masticfield-control` | `masticfield-control` | control process |
//! | `masticfield-entry` | `masticfield-entry` | entry process |
//! | `masticfield-fake` | `masticfield-fake` | fake upstreams, platform and callers |
//! | `masticfield-demo` | `masticfield-demo` | demo of an installation in one process |
