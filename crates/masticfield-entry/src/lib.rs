//! Request path of masticfield between callers and upstreams.
