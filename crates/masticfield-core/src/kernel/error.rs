//! Errors when starting plug-ins.

use snafu::Snafu;

/// A plug-in could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum KernelError {
    /// No plug-in provided a handle that this one needs.
    #[snafu(display("no plug-in has provided {handle}"))]
    MissingHandle {
        /// Name of the handle's type.
        handle: &'static str,
    },
    /// The plug-in failed to start.
    #[snafu(display("{plugin} cannot start"))]
    Start {
        /// Name of the plug-in.
        plugin: &'static str,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
