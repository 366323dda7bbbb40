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

mod bodies;
mod body;
mod body_budget;
mod body_buffer;
mod body_metrics;
mod client;
mod connection_io;
mod connection_metrics;
mod connection_table;
mod connections;
mod error;
mod held_body;
mod limits;
mod listeners;
mod request_body;
mod resource_bounds;
mod server;

pub use bodies::Bodies;
pub use body::{BodyError, read_body};
pub use body_budget::{BodyBudget, BodyKey, Room, SMALL_BODY_BYTES, STALL_TIME};
pub use client::{Client, ClientError};
pub use connection_metrics::ConnectionMetrics;
pub use connection_table::{Admission, ConnectionKey, ConnectionTable};
pub use error::BindError;
pub use held_body::HeldBody;
pub use limits::HttpLimits;
pub use listeners::Listeners;
pub use request_body::RequestBody;
pub use resource_bounds::ResourceBounds;
pub use server::{Reply, Server, json_reply, text_reply};
