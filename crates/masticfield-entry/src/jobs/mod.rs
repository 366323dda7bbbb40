//! Jobs: an entry's connection to the leading replica.

mod link;
mod link_handle;
mod metrics;
mod pending;

pub use link::{JobLink, LinkOptions};
pub use link_handle::{JobLinkHandle, LinkView};
pub use metrics::EntryMetrics;
