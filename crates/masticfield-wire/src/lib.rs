//! Messages and framing between masticfield processes.
//!
//! Over TCP, a message is one frame: a length, a version byte and a `postcard` body. Over UDP, a
//! datagram is a version byte and a body. Sizes are bounded. A frame that exceeds its bound, has
//! another version or does not decode is an error, on which callers close the connection.
//!
//! # Examples
//!
//! ```
//! use masticfield_wire::control::EntryToControl;
//! use masticfield_wire::datagram;
//!
//! let msg = EntryToControl::Claims { sequence: 1, claims: Vec::new() };
//! let bytes = datagram::encode(&msg)?;
//! assert_eq!(datagram::decode::<EntryToControl>(&bytes)?, msg);
//! # Ok::<(), masticfield_wire::WireError>(())
//! ```

pub mod control;
pub mod datagram;
mod error;
mod frame;
mod frame_auth;
mod handshake;
mod keys;
mod user_timeout;

pub use error::{HandshakeFailure, WireError};
pub use frame::{Connection, FrameReader, FrameWriter, MAX_FRAME_BYTES, WIRE_VERSION};
pub use keys::{KeyError, Keys, MAX_KEYS, MIN_KEY_BYTES, ReadKeysError};
pub use user_timeout::{USER_TIMEOUT, set_user_timeout};
