//! Three control replicas, each in a process of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::Value;
use tempfile::TempDir;

use super::Process;
use super::installation::{CLI, CONTROL, ENTRY, FAKE};
use super::process::wait_for;

/// Replicas of the group.
pub const REPLICAS: usize = 3;

/// Port that replicas listen on; each has a loopback address of its own.
const REPLICA_PORT: u16 = 7420;

/// Clusters that this process has started.
static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A group of control replicas in one folder.
#[derive(Debug)]
pub struct Cluster {
    dir: TempDir,
    addresses: Vec<SocketAddr>,
    replicas: Vec<Option<Process>>,
}

impl Cluster {
    /// Starts the replicas and waits until one leads.
    pub fn start() -> Self {
        let dir = TempDir::new().unwrap();
        std::fs::write(dir.path().join("token"), "a-token-for-tests-0123").unwrap();
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let addresses = (0..REPLICAS)
            .map(|index| own_address(number, index))
            .collect();
        let replicas = (0..REPLICAS).map(|_| None).collect();
        let mut cluster = Self {
            dir,
            addresses,
            replicas,
        };
        for index in 0..REPLICAS {
            cluster.start_replica(index);
        }
        cluster.leader();
        cluster
    }

    /// Starts a replica on its folder.
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

    /// A replica that runs.
    pub fn replica(&self, index: usize) -> &Process {
        self.replicas[index].as_ref().unwrap()
    }

    /// The replica that leads, once a majority says so.
    pub fn leader(&self) -> usize {
        wait_for(|| {
            let statuses = (0..REPLICAS).filter(|index| self.replicas[*index].is_some());
            let leaders: Vec<_> = statuses.filter_map(|index| self.leader_by(index)).collect();
            let named = |leader: &&usize| leaders.iter().filter(|other| other == leader).count();
            let running = leaders
                .iter()
                .filter(|leader| self.replicas[**leader].is_some());
            let mut agreed = running.filter(|leader| named(leader) > REPLICAS / 2);
            agreed.next().copied()
        })
    }

    /// The folder of a replica's state.
    pub fn data_dir(&self, index: usize) -> PathBuf {
        self.dir.path().join(format!("data-{index}"))
    }

    /// Runs the control program on a replica's folder; it must end by itself.
    pub fn run_to_end(&self, index: usize) -> Output {
        Command::new(CONTROL)
            .args(self.args(index))
            .output()
            .unwrap()
    }

    /// Writes a release note that changes nothing but the version.
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

    /// Runs the command line against all replicas that run.
    pub fn masticfield(&self, args: &[&str]) -> Output {
        let running = self.replicas.iter().flatten();
        let operators = running.map(|replica| replica.address("operator").to_string());
        self.masticfield_at(&operators.collect::<Vec<_>>().join(","), args)
    }

    /// Runs the command line against one replica.
    pub fn masticfield_on(&self, index: usize, args: &[&str]) -> Output {
        self.masticfield_at(&self.replica(index).address("operator").to_string(), args)
    }

    /// Runs the command line, which must succeed, and returns what it printed.
    pub fn report(&self, args: &[&str]) -> Value {
        let output = self.masticfield(args);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {errors}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Starts an entry that knows all replicas.
    pub fn start_entry(&self) -> Process {
        let running = self.replicas.iter().flatten();
        let control = running.map(|replica| replica.address("entry").to_string());
        let control = control.collect::<Vec<_>>().join(",");
        let args = [
            "--entry=1",
            "--zone=zone-1",
            "--control",
            &control,
            "--caller-listen=127.0.0.1:0",
            "--upstream-listen=127.0.0.1:0",
            "--lease-renewal=200ms",
        ];
        Process::start(ENTRY, "entry-1", self.dir.path(), &args)
    }

    /// Starts a stand-in for an upstream that announces itself to an entry.
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

    fn masticfield_at(&self, operators: &str, args: &[&str]) -> Output {
        Command::new(CLI)
            .env("MASTICFIELD_OPERATOR_ADDRESSES", operators)
            .env("MASTICFIELD_OUTPUT", "json")
            .env("MASTICFIELD_TIMEOUT", "5s")
            .env("MASTICFIELD_TOKEN_FILE", self.dir.path().join("token"))
            .args(args)
            .output()
            .unwrap()
    }

    /// The leader that a replica names, as an index.
    fn leader_by(&self, index: usize) -> Option<usize> {
        let metrics = super::get(self.replica(index).address("admin"), "/metrics");
        let leads = metrics.contains("masticfield_replica{what=\"leads\"} 1");
        let output = self.masticfield_on(index, &["status"]);
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        let leader = status["leader"].as_u64()?;
        let leader = usize::try_from(leader).ok()? - 1;
        (leads || leader != index).then_some(leader)
    }

    fn args(&self, index: usize) -> Vec<String> {
        let peers = (0..REPLICAS).filter(|peer| *peer != index);
        let peers = peers.map(|peer| format!("{}={}", peer + 1, self.addresses[peer]));
        let peers = peers.collect::<Vec<_>>().join(",");
        vec![
            format!("--replica={}", index + 1),
            format!("--replica-listen={}", self.addresses[index]),
            format!("--peers={peers}"),
            format!("--data-dir={}", self.data_dir(index).display()),
            format!("--token-file={}", self.dir.path().join("token").display()),
            "--entry-listen=127.0.0.1:0".to_owned(),
            "--operator-listen=127.0.0.1:0".to_owned(),
            "--stop-linger=0s".to_owned(),
        ]
    }
}

/// A loopback address that only this replica of this cluster of this process uses.
fn own_address(cluster: u32, index: usize) -> SocketAddr {
    let pid = std::process::id();
    let host = u8::try_from(cluster * 4 + u32::try_from(index).unwrap() + 1).unwrap();
    let [.., high, low] = pid.to_be_bytes();
    SocketAddr::from(([127, high, low, host], REPLICA_PORT))
}
