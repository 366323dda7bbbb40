//! The program `masticfield-fake`.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::{caller, platform, upstream};

/// Stand-ins for tests and try-outs.
#[derive(Debug, Parser)]
#[command(name = "masticfield-fake", version)]
struct FakeArgs {
    #[command(subcommand)]
    role: Role,
}

/// Whom to stand in for.
#[derive(Debug, Subcommand)]
enum Role {
    /// An executor of a service that announces itself to entries
    Upstream(upstream::UpstreamArgs),
    /// A caller that sends a number of requests and prints what came of them
    Caller(caller::CallerArgs),
    /// The platform that runs tasks and reboots hosts
    Platform(platform::PlatformArgs),
}

/// Runs the program `masticfield-fake`.
pub fn main() -> ExitCode {
    match FakeArgs::parse().role {
        Role::Upstream(args) => upstream::main(&args),
        Role::Caller(args) => caller::main(&args),
        Role::Platform(args) => platform::main(&args),
    }
}
