//! Requests that run at most once.
//!
//! A request that is not idempotent carries an [`IdempotencyKey`]. Its entry claims the key
//! durably before it sends the first byte to an upstream. [`AtMostOnceRequest`] decides what
//! follows from the verdict, and [`ResponseStore`] keeps the responses for resent requests.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::claim::{Claim, ClaimVerdict};
//! use masticfield_core::ids::{EntryId, RequestId};
//! use masticfield_routing::at_most_once::{
//!     AtMostOnceAction, AtMostOnceInput, AtMostOnceRequest, IdempotencyKey, fingerprint,
//! };
//!
//! let key = IdempotencyKey::parse("1700000000-cut-17", 1_700_000_005)?;
//! let claim = Claim {
//!     key: key.claim_key("fabric-cutting"),
//!     fingerprint: fingerprint("POST", "/cuts", b"{}"),
//!     request: RequestId::new(EntryId::new(1), 1),
//! };
//! let (mut request, action) = AtMostOnceRequest::new(claim);
//! assert_eq!(action, AtMostOnceAction::Claim);
//! let action = request.step(AtMostOnceInput::Verdict(ClaimVerdict::Granted));
//! assert_eq!(action, AtMostOnceAction::Dispatch);
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
