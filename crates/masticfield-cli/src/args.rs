//! Flags and subcommands.

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
/// 5 waited too long.
#[derive(Debug, Clone, Parser)]
#[command(name = "masticfield", version)]
pub struct Cli {
    /// Control replicas' addresses for operators, separated by commas
    #[arg(
        long,
        global = true,
        env = "MASTICFIELD_OPERATOR_ADDRESSES",
        default_value = "127.0.0.1:7411"
    )]
    control: String,
    /// File with the operators' token
    #[arg(long, global = true, env = "MASTICFIELD_TOKEN_FILE")]
    token_file: Option<PathBuf>,
    /// What is printed: table or json
    #[arg(
        long,
        global = true,
        env = "MASTICFIELD_OUTPUT",
        default_value = "table"
    )]
    output: String,
    /// Longest wait for one answer
    #[arg(
        long,
        global = true,
        env = "MASTICFIELD_TIMEOUT",
        default_value = "10s"
    )]
    timeout: String,
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Accept a release note, so that the fleet is made to match it
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
    /// Show what a release note would change and why, and change nothing
    Plan {
        /// The release note, in TOML
        file: PathBuf,
    },
    /// Show the installation at a glance
    Status,
    /// List the hosts
    Hosts,
    /// List the upstreams
    Upstreams,
    /// List the jobs
    Jobs,
    /// List what was done and why
    History {
        /// Index of the first line
        #[arg(long, env = "MASTICFIELD_SINCE", default_value = "0")]
        since: String,
    },
    /// Show why something is as it is
    Explain {
        /// What it is
        kind: ExplainKind,
        /// Its name, or the number of a note
        name: String,
    },
    /// Let a host finish its work and take nothing new
    Drain {
        /// Name of the host
        host: String,
    },
    /// Gather what the logs of several processes say of one job, in order
    Logs {
        /// Identifier of the job
        job: String,
        /// Files with the processes' standard output
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Time before and after the job in which other lines count
        #[arg(long, env = "MASTICFIELD_LOGS_AROUND", default_value = "2s")]
        around: String,
    },
    /// Print a completion script
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// What can be explained.
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

/// Checked flags.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Control replicas' addresses for operators.
    pub control: Vec<SocketAddr>,
    /// The operators' token.
    pub token: Token,
    /// What is printed.
    pub output: OutputFormat,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Longest wait of `apply --wait`.
    pub wait_timeout: Duration,
    /// First line of `history`.
    pub since: u64,
}

impl Cli {
    /// Checks the flags of `logs`, which needs no running installation: what is printed, and the
    /// time around a job.
    ///
    /// # Errors
    ///
    /// Fails with every mistake.
    pub fn check_logs(&self, around: &str) -> Result<(OutputFormat, Duration), InvalidSettings> {
        let mut checker = Checker::new();
        let output = checker.parse("--output", &self.output);
        let around = checker.duration("--around", around, Duration::ZERO..=Duration::from_hours(1));
        let both = output.zip(around);
        checker.finish_with(both)
    }

    /// Checks all flags together.
    ///
    /// # Errors
    ///
    /// Fails with every mistake.
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
        let times = Duration::from_millis(10)..=Duration::from_mins(10);
        let timeout = checker.duration("--timeout", &self.timeout, times.clone());
        let wait = match &self.command {
            Command::Apply { wait_timeout, .. } => wait_timeout,
            _ => "60s",
        };
        let wait_timeout = checker.duration("--wait-timeout", wait, times);
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
    /// The segment of the operators' path.
    pub const fn segment(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Job => "job",
            Self::Pool => "pool",
            Self::Note => "note",
        }
    }
}
