//! Command line of the subcommand `caller`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::args::{NodeArgs, NodeSettings};
use masticfield_node::program;

use super::{LoadGenerator, Pace};

/// Flags of the subcommand `caller`.
#[derive(Debug, Clone, Args)]
pub struct CallerArgs {
    #[command(flatten)]
    node: NodeArgs,
    /// Caller addresses of the entries, separated by commas
    #[arg(long, env = "MASTICFIELD_ENTRIES", default_value = "127.0.0.1:7400")]
    entries: String,
    /// Service that requests are sent to
    #[arg(long, env = "MASTICFIELD_SERVICE")]
    service: Option<String>,
    /// Total number of requests of all callers
    #[arg(long, env = "MASTICFIELD_REQUESTS", default_value = "100")]
    requests: String,
    /// Number of concurrent callers; each has one request in flight
    #[arg(long, env = "MASTICFIELD_CALLERS", default_value = "4")]
    callers: String,
    /// Make every Nth request of a caller a POST with an idempotency key; 0 for none
    #[arg(long, env = "MASTICFIELD_KEYED_SHARE", default_value = "0")]
    keyed_share: String,
}

impl CallerArgs {
    fn check(&self) -> Result<(NodeSettings, LoadGenerator), InvalidSettings> {
        let mut checker = Checker::new();
        let settings = self.check_all(&mut checker);
        checker.finish_with(settings)
    }

    fn check_all(&self, checker: &mut Checker) -> Option<(NodeSettings, LoadGenerator)> {
        let node = self.node.check(checker);
        let entries: Vec<SocketAddr> = checker.parse_list("--entries", &self.entries);
        let entries = checker.require("--entries", Some(entries).filter(|list| !list.is_empty()));
        let service = checker.require("--service", self.service.as_deref());
        let requests = checker.parse("--requests", &self.requests);
        let callers = checker.parse("--callers", &self.callers);
        let callers = callers.and_then(|callers| checker.within("--callers", callers, 1..=1_000));
        let keyed_share = checker.parse("--keyed-share", &self.keyed_share);
        let generator = LoadGenerator::new(entries?, service?)
            .pace(Pace::Count(requests?))
            .callers(callers?)
            .keyed_share(keyed_share?);
        Some((node?, generator))
    }
}

/// Runs the subcommand `caller` and prints its report as one JSON object to standard output.
pub fn main(args: &CallerArgs) -> ExitCode {
    program::run(
        "masticfield-fake",
        args.check(),
        |(node, _)| node,
        |(_, generator)| async {
            println!("{}", generator.run().await.to_json());
            Ok::<_, Infallible>(())
        },
    )
}
