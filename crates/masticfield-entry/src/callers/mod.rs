//! The HTTP interface for callers.
//!
//! The first segment of a path names the service; the rest goes to the upstream.

mod at_most_once;
mod caller_handler;
mod headers;
mod plugin;
mod problem;
mod request;
mod run_to_completion;
mod upstream_client;
