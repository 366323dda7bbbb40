//! Interpretation of health reports: observations, flap damping and availability budgets.
//!
//! # Examples
//!
//! ```
//! use masticfield_fleet::health::FlapDamper;
//!
//! assert_eq!(FlapDamper::new().flapping().count(), 0);
//! ```

mod flap_damper;
mod ledger;
mod observer;

pub use flap_damper::FlapDamper;
pub use ledger::AvailabilityLedger;
pub use observer::Observer;
