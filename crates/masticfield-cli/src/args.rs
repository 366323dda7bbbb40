//! Flags and subcommands of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use masticfield_core::settings::{Checker, InvalidSettings};
use masticfield_node::token::Token;

use crate::OutputFormat;

/// Operates a masticfield installation.
///
/// Exit codes: 0 done, 1 unreachable, 2 invalid settings, 3 refused, 4 outcome not known,
/// 5 timed out waiting. `check` has codes of its own.
#[derive(Debug, Clone, Parser)]
#[command(name = "masticfield", version)]
pub struct Cli {
    /// Addresses of the control replicas' operators' API, separated by commas
    #[arg(
        long,
        global = true,
        env = "MASTICFIELD_OPERATOR_ADDRESSES",
        default_value = "127.0.0.1:7411"
    )]
    control: String,
    /// File that holds the operators' bearer token
    #[arg(long, global = true, env = "MASTICFIELD_TOKEN_FILE")]
    token_file: Option<PathBuf>,
    /// Output format: table or json
    #[arg(
        long,
        global = true,
        env = "MASTICFIELD_OUTPUT",
        default_value = "table"
    )]
    output: String,
    /// Longest wait for one response
    #[arg(
        long,
        global = true,
        env = "MASTICFIELD_TIMEOUT",
        default_value = "10s"
    )]
    timeout: String,
    /// Subcommand to run
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of `masticfield`.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Submit a release note, so that the fleet is changed to match it
    Apply {
        /// The release note, in TOML
        file: PathBuf,
        /// Wait until the note is in force everywhere
        #[arg(long)]
        wait: bool,
        /// Longest wait with `--wait`
        #[arg(long, env = "MASTICFIELD_WAIT_TIMEOUT", default_value = "60s")]
        wait_timeout: String,
    },
    /// Show what a release note would change and why, without changing anything
    Plan {
        /// The release note, in TOML
        file: PathBuf,
    },
    /// Check a release note before it is sent: errors, entries that can never match, limits that
    /// contradict each other, and what differs from the version in force
    ///
    /// Exit codes: 0 no errors, 1 warnings with `--strict`, 2 errors, or the file cannot be read.
    Check {
        /// The release note, in TOML
        file: PathBuf,
        /// Check the note alone, without the version in force
        #[arg(long)]
        offline: bool,
        /// Compare with the result of this earlier note instead of the version in force; repeated
        /// for all notes from the first on
        #[arg(long, conflicts_with = "offline")]
        base: Vec<PathBuf>,
        /// Exit with 1 if there are warnings
        #[arg(long)]
        strict: bool,
    },
    /// Show an overview of the installation
    Status,
    /// List the hosts
    Hosts,
    /// List the upstreams
    Upstreams,
    /// List the jobs
    Jobs,
    /// List the changes that were made and why
    History {
        /// Index of the first event to list
        #[arg(long, env = "MASTICFIELD_SINCE", default_value = "0")]
        since: String,
    },
    /// Show the events that led to the state of a host, job, pool or release note
    Explain {
        /// Kind of the object
        kind: ExplainKind,
        /// Name of the object, or number of the note
        name: String,
    },
    /// Let a host finish its work without accepting new work
    Drain {
        /// Name of the host
        host: String,
    },
    /// Show the timeline of a job from the logs of several processes
    Logs {
        /// Identifier of the job
        job: String,
        /// Files with the standard output of the processes
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Time before and after the job within which related lines are included
        #[arg(long, env = "MASTICFIELD_LOGS_AROUND", default_value = "2s")]
        around: String,
    },
    /// Print a shell completion script
    Completions {
        /// Shell to generate the script for
        shell: Shell,
    },
}

/// Kind of an object that `explain` accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum ExplainKind {
    /// A host
    Host,
    /// A job
    Job,
    /// A pool
    Pool,
    /// A release note
    Note,
}

/// Flags after validation.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Addresses of the control replicas' operators' API; at least one.
    pub control: Vec<SocketAddr>,
    /// Bearer token of the operators.
    pub token: Token,
    /// Output format.
    pub output: OutputFormat,
    /// Longest wait for one response.
    pub timeout: Duration,
    /// Longest wait of `apply --wait`.
    pub wait_timeout: Duration,
    /// Index of the first event that `history` lists.
    pub since: u64,
}

impl Cli {
    /// Validates the flags of `logs`, which needs no connection to an installation.
    ///
    /// Returns the output format and the time around a job.
    ///
    /// # Errors
    ///
    /// Fails with every invalid setting.
    pub fn check_logs(&self, around: &str) -> Result<(OutputFormat, Duration), InvalidSettings> {
        let mut checker = Checker::new();
        let output = checker.parse("--output", &self.output);
        let around = checker.duration("--around", around, Duration::ZERO..=Duration::from_hours(1));
        let settings = output.zip(around);
        checker.finish_with(settings)
    }

    /// Validates the flags of `check` that are used without a connection to an installation.
    ///
    /// # Errors
    ///
    /// Fails with every invalid setting.
    pub fn check_output(&self) -> Result<OutputFormat, InvalidSettings> {
        let mut checker = Checker::new();
        let output = checker.parse("--output", &self.output);
        checker.finish_with(output)
    }

    /// Validates the flags of all other subcommands.
    ///
    /// # Errors
    ///
    /// Fails with every invalid setting.
    pub fn check(&self) -> Result<Settings, InvalidSettings> {
        let mut checker = Checker::new();
        let settings = self.check_with(&mut checker);
        checker.finish_with(settings)
    }

    fn check_with(&self, checker: &mut Checker) -> Option<Settings> {
        let control = checker.parse_list("--control", &self.control);
        let control = checker.require("--control", Some(control).filter(|list| !list.is_empty()));
        let token = checker.require("--token-file", self.token_file.as_ref());
        let token = token.and_then(|path| checker.load("--token-file", path, Token::read));
        let output = checker.parse("--output", &self.output);
        let timeouts = Duration::from_millis(10)..=Duration::from_mins(10);
        let timeout = checker.duration("--timeout", &self.timeout, timeouts.clone());
        let wait = match &self.command {
            Command::Apply { wait_timeout, .. } => wait_timeout,
            _ => "60s",
        };
        let wait_timeout = checker.duration("--wait-timeout", wait, timeouts);
        let since = match &self.command {
            Command::History { since } => checker.parse("--since", since),
            _ => Some(0),
        };
        Some(Settings {
            control: control?,
            token: token?,
            output: output?,
            timeout: timeout?,
            wait_timeout: wait_timeout?,
            since: since?,
        })
    }
}

impl ExplainKind {
    /// Returns the path segment of the operators' API for this kind.
    pub const fn segment(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Job => "job",
            Self::Pool => "pool",
            Self::Note => "note",
        }
    }
}
