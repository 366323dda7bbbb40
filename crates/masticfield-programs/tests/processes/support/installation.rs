//! An installation with one control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;
use tempfile::TempDir;

use super::Process;
use super::process::wait_for;

pub(super) const CONTROL: &str = env!("CARGO_BIN_EXE_masticfield-control");
pub(super) const ENTRY: &str = env!("CARGO_BIN_EXE_masticfield-entry");
pub(super) const FAKE: &str = env!("CARGO_BIN_EXE_masticfield-fake");
pub(super) const CLI: &str = env!("CARGO_BIN_EXE_masticfield");

/// A program that a test runs until it exits.
#[derive(Debug, Clone, Copy)]
pub enum Program {
    Cli,
    Control,
    Entry,
}

impl Program {
    const fn path(self) -> &'static str {
        match self {
            Self::Cli => CLI,
            Self::Control => CONTROL,
            Self::Entry => ENTRY,
        }
    }
}

/// A control process and optionally a fake platform, with their files in a temporary directory.
#[derive(Debug)]
pub struct Installation {
    dir: TempDir,
    platform: Option<Process>,
    control: Option<Process>,
}

impl Installation {
    /// Starts a control process without a platform.
    pub fn start() -> Self {
        let mut installation = Self::prepare();
        installation.control = Some(installation.start_control());
        installation
    }

    /// Starts a control process and a fake platform with the hosts that a note adds.
    pub fn start_with_platform(note: &str) -> Self {
        let mut installation = Self::prepare();
        let args = ["platform", "--note", note, "--listen", "127.0.0.1:0"];
        let platform = Process::start(FAKE, "platform", installation.dir(), &args);
        installation.platform = Some(platform);
        installation.control = Some(installation.start_control());
        installation
    }

    fn prepare() -> Self {
        let dir = TempDir::new().unwrap();
        std::fs::write(dir.path().join("token"), "a-token-for-tests-0123").unwrap();
        Self {
            dir,
            platform: None,
            control: None,
        }
    }

    /// The control process.
    pub fn control(&self) -> &Process {
        self.control.as_ref().unwrap()
    }

    /// Kills the control process with SIGKILL and starts it again with its data directory and ports.
    pub fn restart_control(&mut self) {
        let control = self.control.take().unwrap();
        let ports = ["entry", "operator"].map(|name| control.address(name).to_string());
        drop(control);
        self.control = Some(self.start_control_at(&ports[0], &ports[1]));
    }

    /// Starts an entry process of an installation of `count` entries, with some known peers.
    pub fn start_entry(&self, number: u16, zone: &str, count: u16, peers: &[&Process]) -> Process {
        self.start_entry_with(number, zone, count, peers, &[])
    }

    /// Starts an entry process like [`start_entry`](Self::start_entry), with additional flags.
    pub fn start_entry_with(
        &self,
        number: u16,
        zone: &str,
        count: u16,
        peers: &[&Process],
        flags: &[&str],
    ) -> Process {
        let control = self.control().address("entry").to_string();
        let peers = peers.iter().map(|peer| peer.address("peer").to_string());
        let peers = peers.collect::<Vec<_>>().join(",");
        let args = [
            "--entry",
            &number.to_string(),
            "--zone",
            zone,
            "--control",
            &control,
            "--entry-count",
            &count.to_string(),
            "--peers",
            &peers,
            "--caller-listen",
            "127.0.0.1:0",
            "--upstream-listen",
            "127.0.0.1:0",
            "--lease-renewal",
            "100ms",
            "--trace-ratio",
            "1",
            "--stop-linger",
            "300ms",
            "--header-timeout",
            "500ms",
            "--body-timeout",
            "500ms",
        ];
        let args = [&args[..], flags].concat();
        Process::start(ENTRY, &format!("entry-{number}"), self.dir.path(), &args)
    }

    /// Starts a fake upstream that announces itself to `entries`.
    pub fn start_upstream(&self, id: &str, service: &str, entries: &[&Process]) -> Process {
        let entries: Vec<_> = entries
            .iter()
            .map(|entry| entry.address("upstream").to_string())
            .collect();
        let entries = entries.join(",");
        let args = [
            "upstream",
            "--id",
            id,
            "--service",
            service,
            "--entries",
            &entries,
            "--latency",
            "20ms",
        ];
        Process::start(FAKE, id, self.dir.path(), &args)
    }

    /// Sends requests with the fake caller and returns its report.
    ///
    /// Every `keyed`th request has an idempotency key; 0 for none.
    pub fn send_requests(entries: &[&Process], service: &str, requests: u32, keyed: u32) -> Value {
        let entries: Vec<_> = entries
            .iter()
            .map(|entry| entry.address("caller").to_string())
            .collect();
        let output = Command::new(FAKE)
            .args([
                "caller",
                "--entries",
                &entries.join(","),
                "--service",
                service,
            ])
            .args([
                "--requests",
                &requests.to_string(),
                "--keyed-share",
                &keyed.to_string(),
            ])
            .output()
            .unwrap();
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Runs the command line against the control process, with JSON as its output.
    pub fn run_cli(&self, args: &[&str]) -> Output {
        Command::new(CLI)
            .env(
                "MASTICFIELD_OPERATOR_ADDRESSES",
                self.control().address("operator").to_string(),
            )
            .env("MASTICFIELD_OUTPUT", "json")
            .env("MASTICFIELD_TOKEN_FILE", self.dir.path().join("token"))
            .args(args)
            .output()
            .unwrap()
    }

    /// Runs a program that must exit by itself.
    pub fn run_to_exit(program: Program, args: &[&str]) -> Output {
        Command::new(program.path()).args(args).output().unwrap()
    }

    /// Directory of the logs, tokens and data of the installation.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Runs the command line and returns the JSON that it printed; panics if it fails.
    pub fn run_cli_json(&self, args: &[&str]) -> Value {
        let output = self.run_cli(args);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {errors}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Log of the process with this name.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap()
    }

    /// Runs the command line until its JSON output satisfies a condition, and returns that.
    pub fn wait_until(&self, args: &[&str], condition: impl Fn(&Value) -> bool) -> Value {
        wait_for(|| Some(self.run_cli_json(args)).filter(|report| condition(report)))
    }

    fn start_control(&self) -> Process {
        self.start_control_at("127.0.0.1:0", "127.0.0.1:0")
    }

    fn start_control_at(&self, entry: &str, operator: &str) -> Process {
        let data: PathBuf = self.dir.path().join("data");
        let token = self.dir.path().join("token");
        let mut args = vec![
            "--data-dir",
            data.to_str().unwrap(),
            "--token-file",
            token.to_str().unwrap(),
            "--entry-listen",
            entry,
            "--operator-listen",
            operator,
        ];
        let platform = self.platform.as_ref();
        let platform = platform.map(|platform| platform.address("platform").to_string());
        if let Some(platform) = &platform {
            args.extend(["--platform", platform]);
        }
        Process::start(CONTROL, "control", self.dir.path(), &args)
    }
}

/// Sends a GET request and returns the head and the body of the response.
pub fn get(address: SocketAddr, path: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    exchange(address, head.as_bytes())
}

/// Sends bytes over TCP and returns everything received until the peer closes the connection.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    use std::io::{Read, Write};

    let mut stream = std::net::TcpStream::connect(address).unwrap();
    // A peer that has refused the request may have closed the connection.
    drop(stream.write_all(bytes));
    let mut response = Vec::new();
    drop(stream.read_to_end(&mut response));
    String::from_utf8_lossy(&response).into_owned()
}
