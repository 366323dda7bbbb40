//! Noticing that a peer has gone silent without a reset.

use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt::set_tcp_user_timeout;

/// Time for which sent bytes may stay without an acknowledgement, after which a connection fails.
///
/// A connection that was cut for seconds sends again only after a pause as long as the cut; a new
/// one works at once. It is a third of the time in which processes have to find each other again.
pub const UNACKNOWLEDGED: Duration = Duration::from_secs(1);

/// Lets a connection fail once its peer has gone silent.
///
/// # Errors
///
/// Fails if the socket does not know the option.
pub fn fail_on_silence(socket: impl AsFd) -> std::io::Result<()> {
    let millis = u32::try_from(UNACKNOWLEDGED.as_millis()).unwrap_or(u32::MAX);
    Ok(set_tcp_user_timeout(socket, millis)?)
}
