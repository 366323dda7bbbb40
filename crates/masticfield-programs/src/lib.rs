//! The programs of masticfield and their process tests.
//!
//! Each program is a few lines over the crate that holds its parts: `masticfield-entry`,
//! `masticfield-control`, `masticfield` (the command line), `masticfield-fake` and
//! `masticfield-demo`.
