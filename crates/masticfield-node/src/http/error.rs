//! Errors of listening.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// A listener cannot be bound.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("{flag}: cannot listen on {address}"))]
pub struct BindError {
    /// Name of the flag that gave the address.
    pub flag: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The cause.
    pub source: io::Error,
}
