//! Errors of HTTP listeners.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Error of binding a listener.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("{flag}: cannot listen on {address}"))]
pub struct BindError {
    /// Name of the flag that sets the address.
    pub flag: &'static str,
    /// Address that cannot be bound.
    pub address: SocketAddr,
    /// The cause.
    pub source: io::Error,
}
