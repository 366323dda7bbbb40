//! Registry and command line of the experiments.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::fleet_name::FleetName;

/// Experiment that becomes a subcommand when registered with [`inventory::submit!`].
#[derive(Debug, Clone, Copy)]
pub struct Experiment {
    /// Name of the subcommand.
    pub name: &'static str,
    /// Help text of the subcommand: what the experiment measures, in one line.
    pub about: &'static str,
    /// Runs the experiment and returns the report to print.
    pub run: fn(ExperimentArgs) -> Result<Value, ExperimentError>,
}

/// Arguments that every experiment accepts.
#[derive(Debug, Clone, Copy)]
pub struct ExperimentArgs {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Sample fleet that the experiment runs on.
    pub fleet: FleetName,
}

/// Error of any kind that ends an experiment without a report.
pub type ExperimentError = Box<dyn std::error::Error + Send + Sync>;

inventory::collect!(Experiment);

/// Runs the experiment selected on the command line and prints its report.
///
/// # Panics
///
/// Panics if the command line parser returns no known subcommand, which is a bug.
pub fn main() -> ExitCode {
    let (name, matches) = command()
        .get_matches()
        .remove_subcommand()
        .expect("clap requires a subcommand");
    let experiment = experiments().find(|experiment| experiment.name == name);
    let experiment = experiment.expect("every subcommand is a registered experiment");
    match (experiment.run)(read_args(&matches)) {
        Ok(report) => {
            print_report(&report, matches.get_flag("json"));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn experiments() -> impl Iterator<Item = &'static Experiment> {
    inventory::iter::<Experiment>.into_iter()
}

fn command() -> Command {
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1");
    let fleet = Arg::new("fleet")
        .long("fleet")
        .value_parser(value_parser!(FleetName));
    let args = [
        json.help("Print one JSON object as the last line"),
        seed.help("Seed of the random number generators"),
        fleet
            .default_value("vitoria")
            .help("Sample fleet to run on"),
    ];
    let root = Command::new("masticfield-measure")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Experiments that measure masticfield")
        .subcommand_required(true)
        .arg_required_else_help(true);
    experiments().fold(root, |root, experiment| {
        root.subcommand(
            Command::new(experiment.name)
                .about(experiment.about)
                .args(args.clone()),
        )
    })
}

fn read_args(matches: &ArgMatches) -> ExperimentArgs {
    ExperimentArgs {
        seed: *matches.get_one("seed").expect("has a default"),
        fleet: *matches.get_one("fleet").expect("has a default"),
    }
}

fn print_report(report: &Value, json: bool) {
    if json {
        println!("{report}");
    } else {
        println!("{report:#}");
    }
}
