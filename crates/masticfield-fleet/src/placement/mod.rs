//! Where tasks of jobs run.
//!
//! # Examples
//!
//! ```
//! use masticfield_fleet::placement::Learnt;
//!
//! assert!(Learnt::default().size("nightly").is_none());
//! ```

mod learnt;

pub use learnt::Learnt;
