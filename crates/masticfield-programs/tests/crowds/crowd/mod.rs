//! Many clients that stop short of the end of a request and stay open, and what a process uses
//! meanwhile.

mod clients;
mod ordinary;
mod usage;

pub(crate) use clients::{Crowd, Pattern, body_request, chunked_request};
pub(crate) use ordinary::{Request, serve_once, serve_until_success};
pub(crate) use usage::Usage;
