//! Requests that run at most once.
//!
//! A request that is not idempotent carries an [`IdempotencyKey`]. Its entry claims the key
//! durably before the first byte goes to an upstream. [`OnceRequest`] decides on each verdict,
//! and [`HeldAnswers`] keeps the first answers for resends.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::claim::{Claim, ClaimVerdict};
//! use masticfield_core::ids::{EntryId, RequestId};
//! use masticfield_routing::once::{IdempotencyKey, OnceInput, OnceNext, OnceRequest, fingerprint};
//!
//! let key = IdempotencyKey::parse("1700000000-cut-17", 1_700_000_005)?;
//! let claim = Claim {
//!     key: key.claim_key("fabric-cutting"),
//!     fingerprint: fingerprint("POST", "/cuts", b"{}"),
//!     request: RequestId::new(EntryId::new(1), 1),
//! };
//! let (mut request, first) = OnceRequest::new(claim);
//! assert_eq!(first, OnceNext::Claim);
//! let next = request.step(OnceInput::Verdict(ClaimVerdict::Granted));
//! assert_eq!(next, OnceNext::Dispatch);
//! # Ok::<(), masticfield_routing::once::KeyError>(())
//! ```

mod defect;
mod held;
mod key;
mod request;

pub use defect::OnceDefect;
pub use held::{HeldAnswers, HeldLimits};
pub use key::{
    IdempotencyKey, KEY_RETENTION_S, KeyError, MAX_KEY_AHEAD_S, MAX_KEY_BYTES, fingerprint,
};
pub use request::{FirstAnswer, OnceAnswer, OnceInput, OnceNext, OnceRequest};
