//! Flags and environment variables shared by all long-running programs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use log::LevelFilter;
use masticfield_core::settings::Checker;

use crate::http::{HttpLimits, ResourceBounds};
use crate::log_setup::LogFormat;

/// Common flags as given on the command line, before validation.
#[derive(Debug, Clone, Args)]
pub struct NodeArgs {
    /// Address for metrics, health and readiness
    #[arg(long, env = "MASTICFIELD_ADMIN_LISTEN", default_value = "127.0.0.1:0")]
    pub admin_listen: String,
    /// File to write the bound addresses to once all listeners are bound
    #[arg(long, env = "MASTICFIELD_ADDRESS_FILE")]
    pub address_file: Option<PathBuf>,
    /// Log level: off, error, warn, info, debug or trace
    #[arg(long, env = "MASTICFIELD_LOG_LEVEL", default_value = "info")]
    pub log_level: String,
    /// Log format: text or json
    #[arg(long, env = "MASTICFIELD_LOG_FORMAT", default_value = "text")]
    pub log_format: String,
    /// Time for which connections are still accepted during shutdown
    #[arg(long, env = "MASTICFIELD_STOP_LINGER", default_value = "1s")]
    pub stop_linger: String,
    /// Longest wait for requests in flight during shutdown
    #[arg(long, env = "MASTICFIELD_DRAIN_TIMEOUT", default_value = "20s")]
    pub drain_timeout: String,
    /// Maximum number of concurrent connections of one listener
    #[arg(long, env = "MASTICFIELD_MAX_CONNECTIONS", default_value = "4096")]
    pub max_connections: String,
    /// Memory that the process may use, in MiB, from which its limits on bodies and connections are
    /// derived
    #[arg(long, env = "MASTICFIELD_MEMORY_MB", default_value = "256")]
    pub memory_mb: String,
    /// Maximum number of file descriptors of the process
    #[arg(long, env = "MASTICFIELD_MAX_FDS", default_value = "4096")]
    pub max_fds: String,
    /// Time within which the head of a request must arrive; also the idle timeout of a connection
    #[arg(long, env = "MASTICFIELD_HEADER_TIMEOUT", default_value = "30s")]
    pub header_timeout: String,
    /// Time within which the body of a request must arrive
    #[arg(long, env = "MASTICFIELD_BODY_TIMEOUT", default_value = "10s")]
    pub body_timeout: String,
    /// Maximum size of the head of a request, in bytes
    #[arg(long, env = "MASTICFIELD_MAX_HEADER_BYTES", default_value = "16384")]
    pub max_header_bytes: String,
    /// Collector that spans are sent to as OTLP over HTTP, such as `http://10.0.0.9:4318/v1/traces`
    #[arg(long, env = "MASTICFIELD_TRACE_ENDPOINT")]
    pub trace_endpoint: Option<String>,
    /// Fraction of traces that are recorded, unless the caller's trace context decides
    #[arg(long, env = "MASTICFIELD_TRACE_RATIO", default_value = "0.01")]
    pub trace_ratio: String,
}

/// Common settings after validation.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Address of the listener for metrics, health and readiness.
    pub admin_listen: SocketAddr,
    /// File that the bound addresses are written to; none is written if absent.
    pub address_file: Option<PathBuf>,
    /// Most verbose level that is logged.
    pub log_level: LevelFilter,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Limits of HTTP servers.
    pub http: HttpLimits,
    /// Bounds of the HTTP servers of the process together.
    pub bounds: ResourceBounds,
    /// URL of the collector of spans; spans are not exported if absent.
    pub trace_endpoint: Option<String>,
    /// Fraction of traces that are recorded, from 0 to 1.
    pub trace_ratio: f64,
}

impl NodeArgs {
    /// Validates the flags and reports invalid ones to `checker`.
    pub fn check(&self, checker: &mut Checker) -> Option<NodeSettings> {
        let admin_listen = checker.parse("--admin-listen", &self.admin_listen);
        let log_level = checker.parse("--log-level", &self.log_level);
        let log_format = checker.parse("--log-format", &self.log_format);
        let bounds = self.check_bounds(checker);
        let http = self.check_http(checker);
        let trace_ratio = checker
            .parse("--trace-ratio", &self.trace_ratio)
            .and_then(|ratio| checker.within("--trace-ratio", ratio, 0.0..=1.0));
        if let Some(endpoint) = &self.trace_endpoint {
            checker.parse::<http::Uri>("--trace-endpoint", endpoint);
        }
        Some(NodeSettings {
            admin_listen: admin_listen?,
            address_file: self.address_file.clone(),
            log_level: log_level?,
            log_format: log_format?,
            http: http?,
            bounds: bounds?,
            trace_endpoint: self.trace_endpoint.clone(),
            trace_ratio: trace_ratio?,
        })
    }

    fn check_bounds(&self, checker: &mut Checker) -> Option<ResourceBounds> {
        let memory_mb = checker
            .parse("--memory-mb", &self.memory_mb)
            .and_then(|megabytes| checker.within("--memory-mb", megabytes, 32..=1_048_576));
        let max_fds = checker
            .parse("--max-fds", &self.max_fds)
            .and_then(|fds| checker.within("--max-fds", fds, 256..=1_048_576));
        let memory_mb: u64 = memory_mb?;
        Some(ResourceBounds::new(Some(memory_mb << 20), Some(max_fds?)))
    }

    fn check_http(&self, checker: &mut Checker) -> Option<HttpLimits> {
        let timeouts = Duration::from_millis(10)..=Duration::from_mins(10);
        let linger_times = Duration::ZERO..=Duration::from_mins(1);
        let linger = checker.duration("--stop-linger", &self.stop_linger, linger_times);
        let drain = checker.duration("--drain-timeout", &self.drain_timeout, timeouts.clone());
        let head = checker.duration("--header-timeout", &self.header_timeout, timeouts.clone());
        let body = checker.duration("--body-timeout", &self.body_timeout, timeouts);
        let connections = checker
            .parse("--max-connections", &self.max_connections)
            .and_then(|count| checker.within("--max-connections", count, 1..=100_000));
        let head_bytes = checker
            .parse("--max-header-bytes", &self.max_header_bytes)
            .and_then(|bytes| checker.within("--max-header-bytes", bytes, 8_192..=1_048_576));
        Some(
            HttpLimits::new()
                .with_linger(linger?)
                .with_drain_timeout(drain?)
                .with_header_timeout(head?)
                .with_body_timeout(body?)
                .with_max_connections(connections?)
                .with_max_header_bytes(head_bytes?),
        )
    }
}

impl Default for NodeArgs {
    fn default() -> Self {
        #[derive(Debug, clap::Parser)]
        struct Defaults {
            #[command(flatten)]
            node: NodeArgs,
        }
        <Defaults as clap::Parser>::parse_from(["defaults"]).node
    }
}
