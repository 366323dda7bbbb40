//! The program `masticfield-fake`.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::{caller, platform, upstream};

/// Fake upstreams, platform and callers for tests and trials
#[derive(Debug, Parser)]
#[command(name = "masticfield-fake", version)]
struct FakeArgs {
    #[command(subcommand)]
    component: Component,
}

/// The component to fake.
#[derive(Debug, Subcommand)]
enum Component {
    /// Run an executor of a service that announces itself to entries
    Upstream(upstream::UpstreamArgs),
    /// Send requests to entries and print a report as JSON
    Caller(caller::CallerArgs),
    /// Run a platform that runs tasks and drains and reboots hosts
    Platform(platform::PlatformArgs),
}

/// Parses the command line and runs the chosen subcommand of `masticfield-fake`.
pub fn main() -> ExitCode {
    match FakeArgs::parse().component {
        Component::Upstream(args) => upstream::main(&args),
        Component::Caller(args) => caller::main(&args),
        Component::Platform(args) => platform::main(&args),
    }
}
