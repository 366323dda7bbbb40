//! The sharing of an executor's slots among entries.
//!
//! Under the leased policy each upstream has one home entry, chosen by rendezvous hashing over
//! the live entries. Every entry wishes for slots at the home and sends requests only under a
//! [`Grant`]. A home grants only while a majority of all entries follows it, and a new home
//! grants what it has not heard of only after the longest grant of the old one has ended.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::ids::EntryId;
//! use masticfield_routing::slots::preferred_home;
//!
//! let entries = [EntryId::new(1), EntryId::new(2)];
//! assert_eq!(preferred_home("cutter-1", &entries), preferred_home("cutter-1", &entries));
//! ```

mod account;
mod apportion;
mod home;
mod lease;
mod message;
mod rendezvous;
mod share;

pub use home::{Home, HomeOptions};
pub use lease::{Accepted, Lease, LeaseOptions};
pub use message::{Grant, Resignation, SlotMessage, SlotWish};
pub use rendezvous::preferred_home;
pub use share::{SlotPolicy, static_share};
