//! Sharing of an executor's slots among entries.
//!
//! Under the leased policy each upstream has one home entry, chosen by rendezvous hashing over
//! the live entries. Every entry requests slots from the home and sends work only under a
//! [`Grant`]. A home grants only while a majority of all entries votes for it. In a new term it
//! grants only slots that are accounted for, until the longest grant of the previous home has
//! ended.
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
pub use lease::{GrantOutcome, Lease, LeaseOptions};
pub use message::{Grant, Renewal, RenewalBase, Renewed, SlotMessage, SlotRequest, StepDown};
pub use rendezvous::preferred_home;
pub use share::{SlotPolicy, static_share};
