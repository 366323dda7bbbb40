//! Stand-ins for upstreams, the platform and callers.

pub mod platform;
