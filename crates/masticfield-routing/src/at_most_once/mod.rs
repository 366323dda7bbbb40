//! Requests that run at most once.
//!
//! A request that is not idempotent carries an [`IdempotencyKey`]. Its entry claims the key
//! durably before the first byte goes to an upstream. [`AtMostOnceRequest`] decides on each verdict,
//! and [`ResponseStore`] keeps the first answers for resends.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::claim::{Claim, ClaimVerdict};
//! use masticfield_core::ids::{EntryId, RequestId};
//! use masticfield_routing::at_most_once::{IdempotencyKey, AtMostOnceInput, AtMostOnceAction, AtMostOnceRequest, fingerprint};
//!
//! let key = IdempotencyKey::parse("1700000000-cut-17", 1_700_000_005)?;
//! let claim = Claim {
//!     key: key.claim_key("fabric-cutting"),
//!     fingerprint: fingerprint("POST", "/cuts", b"{}"),
//!     request: RequestId::new(EntryId::new(1), 1),
//! };
//! let (mut request, first) = AtMostOnceRequest::new(claim);
//! assert_eq!(first, AtMostOnceAction::Claim);
//! let next = request.step(AtMostOnceInput::Verdict(ClaimVerdict::Granted));
//! assert_eq!(next, AtMostOnceAction::Dispatch);
//! # Ok::<(), masticfield_routing::at_most_once::KeyError>(())
//! ```

mod defect;
mod key;
mod request;
mod response_store;

pub use defect::AtMostOnceDefect;
pub use key::{
    IdempotencyKey, KEY_RETENTION_S, KeyError, MAX_KEY_AHEAD_S, MAX_KEY_BYTES, fingerprint,
};
pub use request::{
    AtMostOnceAction, AtMostOnceInput, AtMostOnceRequest, FinalAnswer, LookupResult,
};
pub use response_store::{ResponseStore, ResponseStoreLimits};
