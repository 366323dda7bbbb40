//! The HTTP interface for the announcements of upstreams.
//!
//! An upstream posts its [`Announcement`](masticfield_core::membership::Announcement) as JSON to
//! `/v1/upstreams` and repeats it after the interval that the response names, which is well within
//! its time to live.

mod plugin;
mod routes;
