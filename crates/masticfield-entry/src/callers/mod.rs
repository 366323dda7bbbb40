//! The HTTP face for callers.
//!
//! The first segment of a path names the service; the rest goes to the upstream.

mod complete;
mod exchange;
mod front;
mod headers;
mod once;
mod plugin;
mod problem;
mod request;
