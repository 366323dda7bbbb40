//! The announcements of upstreams over HTTP.
//!
//! An upstream posts its [`Announcement`](masticfield_core::membership::Announcement) as JSON to
//! `/v1/upstreams` and repeats it well within the time to live that the answer names.

mod plugin;
mod routes;
