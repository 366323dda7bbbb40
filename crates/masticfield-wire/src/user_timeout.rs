//! TCP user timeout, by which connections to silent peers fail without a reset.

use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt::set_tcp_user_timeout;

/// Time for which sent bytes may stay unacknowledged before a connection fails.
///
/// After a network interruption of some seconds, TCP retransmits only after a pause as long as the
/// interruption, while a new connection works at once. The value is a third of the time in which
/// processes must have reconnected.
pub const USER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sets `TCP_USER_TIMEOUT` of a socket to [`USER_TIMEOUT`].
///
/// # Errors
///
/// Fails if the socket does not support the option.
pub fn set_user_timeout(socket: impl AsFd) -> std::io::Result<()> {
    let millis = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    Ok(set_tcp_user_timeout(socket, millis)?)
}
