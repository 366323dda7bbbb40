//! Claims of idempotency keys.
//!
//! The first claim of a key is granted; later claims return the outcome of the first request.
//! Claims are kept for [`ClaimTable::RETENTION_S`] after the time of issue that is part of the
//! key, and at most [`ClaimTable::MAX_CLAIMS`] of them. A claim of an older key is
//! [`ClaimVerdict::Expired`], which the entry reports to the caller as not run.
//!
//! [`ClaimVerdict::Expired`]: masticfield_core::claim::ClaimVerdict::Expired
//!
//! # Examples
//!
//! ```
//! use masticfield_core::claim::{Claim, ClaimKey, ClaimVerdict};
//! use masticfield_core::ids::{EntryId, RequestId};
//! use masticfield_state::ClaimTable;
//!
//! let mut claims = ClaimTable::new();
//! let claim = |sequence| Claim {
//!     key: ClaimKey::from_digest([1; 16], 100),
//!     fingerprint: [2; 16],
//!     request: RequestId::new(EntryId::new(1), sequence),
//! };
//! assert_eq!(claims.claim(100, &claim(1)), ClaimVerdict::Granted);
//! let by = claim(1).request;
//! assert_eq!(claims.claim(100, &claim(2)), ClaimVerdict::Held { by });
//! ```

mod claim_table;
mod stored_claim;

pub use claim_table::ClaimTable;
