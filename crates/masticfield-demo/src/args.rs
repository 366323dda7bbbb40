//! Command line of the demo.

use std::time::Duration;

use clap::Parser;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::args::{NodeArgs, NodeSettings};

use crate::SampleFleet;

/// Runs masticfield with a fake platform and fake executors in one process, on loopback.
#[derive(Debug, Clone, Parser)]
#[command(name = "masticfield-demo", version)]
#[command(mut_arg("log_level", |arg| arg.default_value("warn")))]
pub struct DemoArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// Sample fleet to run
    #[arg(long, env = "MASTICFIELD_FLEET", default_value = "vitoria")]
    fleet: SampleFleet,
    /// Time for which requests are sent, from 1s to 10m
    #[arg(long, env = "MASTICFIELD_DEMO_LOAD", default_value = "6s")]
    load: String,
    /// Keep running after the summary and print commands to try
    #[arg(long, env = "MASTICFIELD_DEMO_SERVE")]
    serve: bool,
}

/// Validated settings of the demo.
#[derive(Debug, Clone)]
pub struct DemoSettings {
    /// Settings that all programs share.
    pub node: NodeSettings,
    /// Sample fleet that the demo runs.
    pub fleet: SampleFleet,
    /// Time for which requests are sent, from 1 s to 10 min.
    pub load: Duration,
    /// Whether to keep running after the summary, until a termination signal arrives.
    pub serve: bool,
}

impl DemoArgs {
    /// Validates all flags.
    ///
    /// # Errors
    ///
    /// Fails with a list of all invalid settings.
    pub fn check(&self) -> Result<DemoSettings, InvalidSettings> {
        let mut checker = Checker::new();
        let node = self.node.check(&mut checker);
        let load_range = Duration::from_secs(1)..=Duration::from_mins(10);
        let load = checker.duration("--load", &self.load, load_range);
        let settings = node.zip(load).map(|(node, load)| DemoSettings {
            node,
            fleet: self.fleet,
            load,
            serve: self.serve,
        });
        checker.finish_with(settings)
    }
}
