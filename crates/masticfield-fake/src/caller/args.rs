//! The subcommand `caller`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::args::{NodeArgs, NodeSettings};
use masticfield_node::program;

use super::{LoadGenerator, Pace};

/// Flags of the subcommand.
#[derive(Debug, Clone, Args)]
pub struct CallerArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// Entries' addresses for callers, separated by commas
    #[arg(long, env = "MASTICFIELD_ENTRIES", default_value = "127.0.0.1:7400")]
    entries: String,
    /// Service to ask
    #[arg(long, env = "MASTICFIELD_SERVICE")]
    service: Option<String>,
    /// Requests in all
    #[arg(long, env = "MASTICFIELD_REQUESTS", default_value = "100")]
    requests: String,
    /// Callers that ask at the same time
    #[arg(long, env = "MASTICFIELD_CALLERS", default_value = "4")]
    callers: String,
    /// Each so many-th request is a POST with an idempotency key; 0 for none
    #[arg(long, env = "MASTICFIELD_KEYED_SHARE", default_value = "0")]
    keyed_share: String,
}

impl CallerArgs {
    fn check(&self) -> Result<(NodeSettings, LoadGenerator), InvalidSettings> {
        let mut checker = Checker::new();
        let settings = self.check_with(&mut checker);
        checker.finish_with(settings)
    }

    fn check_with(&self, checker: &mut Checker) -> Option<(NodeSettings, LoadGenerator)> {
        let node = self.node.check(checker);
        let entries: Vec<SocketAddr> = checker.parse_list("--entries", &self.entries);
        let entries = checker.require("--entries", Some(entries).filter(|list| !list.is_empty()));
        let service = checker.require("--service", self.service.as_deref());
        let requests = checker.parse("--requests", &self.requests);
        let callers = checker.parse("--callers", &self.callers);
        let callers = callers.and_then(|callers| checker.within("--callers", callers, 1..=1_000));
        let keyed = checker.parse("--keyed-share", &self.keyed_share);
        let load = LoadGenerator::new(entries?, service?)
            .pace(Pace::Count(requests?))
            .callers(callers?)
            .keyed_share(keyed?);
        Some((node?, load))
    }
}

/// Runs the subcommand `caller`: one JSON object on standard output.
pub fn main(args: &CallerArgs) -> ExitCode {
    program::run(
        "masticfield-fake",
        args.check(),
        |(node, _)| node,
        |(_, load)| async {
            println!("{}", load.run().await.to_json());
            Ok::<_, Infallible>(())
        },
    )
}
