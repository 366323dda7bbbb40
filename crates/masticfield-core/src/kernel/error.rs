//! Errors of starting plug-ins.

use snafu::Snafu;

/// A plug-in could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum KernelError {
    /// A handle that the plug-in needs was not provided.
    #[snafu(display("no plug-in has provided {handle}"))]
    MissingHandle {
        /// Type of the handle.
        handle: &'static str,
    },
    /// The plug-in's own start failed.
    #[snafu(display("{plugin} cannot start"))]
    Start {
        /// Name of the plug-in.
        plugin: &'static str,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
