//! HTTP server with limits and HTTP client, both based on hyper.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_node::http::HttpLimits;
//!
//! let limits = HttpLimits::new().with_header_timeout(Duration::from_secs(5));
//! assert_eq!(limits.max_headers(), 100);
//! ```

mod body;
mod body_buffer;
mod client;
mod error;
mod limits;
mod server;

pub use body::{BodyError, read_body};
pub use client::{Client, ClientError};
pub use error::BindError;
pub use limits::HttpLimits;
pub use server::{Reply, Server, json_reply, text_reply};
