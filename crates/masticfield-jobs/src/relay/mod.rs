//! Relays: entries that carry the leader's calls to executors.
//!
//! With hundreds of executors the leading replica cannot make every HTTP exchange itself. It hands
//! calls in batches to entries, each of which calls the executors of its share and returns the
//! results. A relay decides nothing and stores nothing.
//!
//! - [`Relays`] runs beside the leader. It chooses a relay for each executor, and turns a lost or
//!   silent relay into results that are not known.
//! - [`RelayGate`] runs on the entry. It drops calls of an earlier connection, of a deposed leader
//!   and those that have waited too long, so that a relay that was paused or cut off carries out
//!   nothing that the leader has given up.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use masticfield_jobs::relay::{RelayGate, RelayVerdict};
//!
//! let second = Duration::from_secs(1);
//! let mut gate = RelayGate::default();
//! let connection = gate.connect();
//! // The leader's clock showed 50 s between 10.000 s and 10.004 s of the local clock.
//! gate.record_leader_clock(10 * second, 50 * second);
//! let ticket = gate.ticket(connection, 7, 50 * second);
//! assert_eq!(gate.check(ticket, 10 * second), RelayVerdict::Send);
//! assert_eq!(gate.check(ticket, 12 * second), RelayVerdict::Expired);
//! ```

mod announcements;
mod call_result;
mod clock_bound;
mod executor_call;
mod gate;
mod relays;

pub use announcements::ConfirmedAnnouncements;
pub use call_result::CallResult;
pub use clock_bound::ClockBound;
pub use executor_call::{CallTag, ExecutorCall, RelayedCall};
pub use gate::{CallTicket, RelayGate, RelayVerdict};
pub use relays::{RelayKey, RelayOffer, RelayOptions, Relays, Route};

use std::time::Duration;

/// Time from the decision to make a call within which it may be sent to the executor.
///
/// The leader has settled by other means what becomes of a call that is older.
pub const CALL_VALIDITY: Duration = Duration::from_millis(400);

/// Time within which an executor answers an order, beyond the wait that a poll asks for.
pub const EXECUTOR_TIMEOUT: Duration = Duration::from_millis(500);
