//! A group of control replicas, each in its own process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::Value;
use tempfile::TempDir;

use super::Process;
use super::installation::{CLI, CONTROL, ENTRY, FAKE};
use super::process::wait_for;

/// Number of replicas in the group.
pub const REPLICAS: usize = 3;

/// Port that all replicas listen on; each one uses a different loopback address.
const REPLICA_PORT: u16 = 7420;

/// Number of clusters that this process has started.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A group of control replicas with their state in one temporary directory.
#[derive(Debug)]
pub struct Cluster {
    dir: TempDir,
    addresses: Vec<SocketAddr>,
    replicas: Vec<Option<Process>>,
    keyed: bool,
}

impl Cluster {
    /// Starts the replicas without a key and waits until one of them leads.
    pub fn start() -> Self {
        Self::start_with(None)
    }

    /// Starts replicas that serve only peers and entries with the same key.
    pub fn start_keyed(key: &str) -> Self {
        Self::start_with(Some(key))
    }

    fn start_with(key: Option<&str>) -> Self {
        let dir = TempDir::new().unwrap();
        std::fs::write(dir.path().join("token"), "a-token-for-tests-0123").unwrap();
        if let Some(key) = key {
            std::fs::write(dir.path().join("key"), key).unwrap();
        }
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let addresses = (0..REPLICAS)
            .map(|index| replica_address(number, index))
            .collect();
        let replicas = (0..REPLICAS).map(|_| None).collect();
        let mut cluster = Self {
            dir,
            addresses,
            replicas,
            keyed: key.is_some(),
        };
        for index in 0..REPLICAS {
            cluster.start_replica(index);
        }
        cluster.leader();
        cluster
    }

    /// Starts a replica on its data directory.
    pub fn start_replica(&mut self, index: usize) {
        let args = self.args(index);
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        let name = format!("control-{index}");
        self.replicas[index] = Some(Process::start(CONTROL, &name, self.dir.path(), &args));
    }

    /// Ends a replica with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        self.replicas[index] = None;
    }

    /// The process of a running replica; panics if it was killed.
    pub fn replica(&self, index: usize) -> &Process {
        self.replicas[index].as_ref().unwrap()
    }

    /// Waits until a majority of the replicas names one running replica as the leader, and returns
    /// its index.
    pub fn leader(&self) -> usize {
        wait_for(|| {
            let running = (0..REPLICAS).filter(|index| self.replicas[*index].is_some());
            let leaders: Vec<_> = running
                .filter_map(|index| self.leader_seen_by(index))
                .collect();
            let votes = |leader: &&usize| leaders.iter().filter(|other| other == leader).count();
            let alive = leaders
                .iter()
                .filter(|leader| self.replicas[**leader].is_some());
            let mut agreed = alive.filter(|leader| votes(leader) > REPLICAS / 2);
            agreed.next().copied()
        })
    }

    /// Data directory of a replica.
    pub fn data_dir(&self, index: usize) -> PathBuf {
        self.dir.path().join(format!("data-{index}"))
    }

    /// Runs the control program of a replica, which must exit by itself.
    pub fn run_to_exit(&self, index: usize) -> Output {
        Command::new(CONTROL)
            .args(self.args(index))
            .output()
            .unwrap()
    }

    /// Writes a release note that builds on the one before it and changes only the version.
    pub fn write_note(&self, number: u64, summary: &str) -> PathBuf {
        let path = self
            .dir
            .path()
            .join(format!("note-{number}-{summary}.toml"));
        let builds_on = number - 1;
        let text = format!("number = {number}\nbuilds_on = {builds_on}\nsummary = \"{summary}\"\n");
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Runs the command line with the addresses of all running replicas.
    pub fn run_cli(&self, args: &[&str]) -> Output {
        let running = self.replicas.iter().flatten();
        let operators = running.map(|replica| replica.address("operator").to_string());
        self.run_cli_at(&operators.collect::<Vec<_>>().join(","), args)
    }

    /// Runs the command line with the address of one replica.
    pub fn run_cli_on(&self, index: usize, args: &[&str]) -> Output {
        self.run_cli_at(&self.replica(index).address("operator").to_string(), args)
    }

    /// Runs the command line and returns the JSON that it printed; panics if it fails.
    pub fn run_cli_json(&self, args: &[&str]) -> Value {
        let output = self.run_cli(args);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {errors}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Runs the offline check of a replica's data directory.
    pub fn check(&self, index: usize) -> Output {
        let mut command = Command::new(CONTROL);
        command.arg("--check").arg("--data-dir");
        command.arg(self.data_dir(index)).output().unwrap()
    }

    /// Starts an entry that knows all running replicas; without `key` it has no key file.
    pub fn start_entry(&self, number: u16, key: Option<&str>) -> Process {
        let running = self.replicas.iter().flatten();
        let control = running.map(|replica| replica.address("entry").to_string());
        let control = control.collect::<Vec<_>>().join(",");
        let name = format!("entry-{number}");
        let number = format!("--entry={number}");
        let key_file = self.dir.path().join(format!("{name}.key"));
        let key_flag = format!("--key-file={}", key_file.display());
        let mut args = vec![
            number.as_str(),
            "--zone=zone-1",
            "--control",
            &control,
            "--caller-listen=127.0.0.1:0",
            "--upstream-listen=127.0.0.1:0",
            "--lease-renewal=200ms",
        ];
        if let Some(key) = key {
            std::fs::write(&key_file, key).unwrap();
            args.push(&key_flag);
        }
        Process::start(ENTRY, &name, self.dir.path(), &args)
    }

    /// Starts a fake upstream that announces itself to an entry.
    pub fn start_upstream(&self, service: &str, entry: &Process) -> Process {
        let entries = entry.address("upstream").to_string();
        let args = [
            "upstream",
            "--id=exec-1",
            "--service",
            service,
            "--entries",
            &entries,
        ];
        Process::start(FAKE, "exec-1", self.dir.path(), &args)
    }

    fn run_cli_at(&self, operators: &str, args: &[&str]) -> Output {
        Command::new(CLI)
            .env("MASTICFIELD_OPERATOR_ADDRESSES", operators)
            .env("MASTICFIELD_OUTPUT", "json")
            .env("MASTICFIELD_TIMEOUT", "5s")
            .env("MASTICFIELD_TOKEN_FILE", self.dir.path().join("token"))
            .args(args)
            .output()
            .unwrap()
    }

    /// Index of the leader that a replica reports.
    ///
    /// A replica that reports itself must also lead according to its metrics.
    fn leader_seen_by(&self, index: usize) -> Option<usize> {
        let metrics = super::get(self.replica(index).address("admin"), "/metrics");
        let leads = metrics.contains("masticfield_replica{what=\"leads\"} 1");
        let output = self.run_cli_on(index, &["status"]);
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        let leader = status["leader"].as_u64()?;
        let leader = usize::try_from(leader).ok()? - 1;
        (leads || leader != index).then_some(leader)
    }

    fn args(&self, index: usize) -> Vec<String> {
        let peers = (0..REPLICAS).filter(|peer| *peer != index);
        let peers = peers.map(|peer| format!("{}={}", peer + 1, self.addresses[peer]));
        let peers = peers.collect::<Vec<_>>().join(",");
        let mut args = vec![
            format!("--replica={}", index + 1),
            format!("--replica-listen={}", self.addresses[index]),
            format!("--peers={peers}"),
            format!("--data-dir={}", self.data_dir(index).display()),
            format!("--token-file={}", self.dir.path().join("token").display()),
            "--entry-listen=127.0.0.1:0".to_owned(),
            "--operator-listen=127.0.0.1:0".to_owned(),
            "--stop-linger=0s".to_owned(),
        ];
        if self.keyed {
            let key = self.dir.path().join("key");
            args.push(format!("--key-file={}", key.display()));
        }
        args
    }
}

/// Loopback address that is derived from the process id, the cluster and the replica, so that test
/// processes that run at the same time do not collide.
///
/// Its last byte has space for 64 clusters in one process.
fn replica_address(cluster: u32, index: usize) -> SocketAddr {
    let pid = std::process::id();
    let host = u8::try_from(cluster * 4 + u32::try_from(index).unwrap() + 1).unwrap();
    let [.., high, low] = pid.to_be_bytes();
    SocketAddr::from(([127, high, low, host], REPLICA_PORT))
}
