//! Flags and settings of the demo.

use std::time::Duration;

use clap::Parser;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::args::{NodeArgs, NodeSettings};

use crate::SampleFleet;

/// Runs all of masticfield in one process with stand-ins on loopback.
#[derive(Debug, Clone, Parser)]
#[command(name = "masticfield-demo", version)]
#[command(mut_arg("log_level", |arg| arg.default_value("warn")))]
pub struct DemoArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// Sample fleet
    #[arg(long, env = "MASTICFIELD_FLEET", default_value = "vitoria")]
    fleet: SampleFleet,
    /// How long requests are sent
    #[arg(long, env = "MASTICFIELD_DEMO_LOAD", default_value = "6s")]
    load: String,
    /// Stay up after the summary and print commands to try
    #[arg(long, env = "MASTICFIELD_DEMO_SERVE")]
    serve: bool,
}

/// Checked settings of the demo.
#[derive(Debug, Clone)]
pub struct DemoSettings {
    /// Settings that every program has.
    pub node: NodeSettings,
    /// Sample fleet.
    pub sample: SampleFleet,
    /// How long requests are sent.
    pub load: Duration,
    /// Whether to stay up after the summary.
    pub serve: bool,
}

impl DemoArgs {
    /// Checks all flags together.
    ///
    /// # Errors
    ///
    /// Fails with every mistake.
    pub fn check(&self) -> Result<DemoSettings, InvalidSettings> {
        let mut checker = Checker::new();
        let node = self.node.check(&mut checker);
        let loads = Duration::from_secs(1)..=Duration::from_mins(10);
        let load = checker.duration("--load", &self.load, loads);
        let settings = node.zip(load).map(|(node, load)| DemoSettings {
            node,
            sample: self.fleet,
            load,
            serve: self.serve,
        });
        checker.finish_with(settings)
    }
}
