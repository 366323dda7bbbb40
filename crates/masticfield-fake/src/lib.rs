//! Stand-ins for upstreams, the platform and callers.
