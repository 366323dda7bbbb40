//! The project's own programs, started as processes with the commands of the deploy file.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::world::Shared;

const FRONTEND: u16 = 8624;
const READY: u16 = 8622;
const CONTROL: u16 = 8623;
const CLOUD: u16 = 8621;
pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";
pub const SERVICE: &str = "huvo11a";

/// `memoryMb` of the control hosts.
pub const MEMORY_MB: u64 = 256;

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

pub struct System {
    /// Control hosts whose process was killed, and when.
    killed: Vec<(u32, Instant)>,
    /// How often the process of each control host had more memory than allowed.
    pub kills: BTreeMap<u32, u32>,
    children: Vec<(u32, Child)>,
    folder: PathBuf,
    pub control: Vec<SocketAddr>,
    pub frontends: Vec<SocketAddr>,
    /// First three parts of the addresses of this installation.
    pub net: String,
}

impl Drop for System {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The command of a role in the deploy file.
fn command_of(deploy: &str, role: &str) -> Option<Vec<String>> {
    let section = deploy
        .split("\n[")
        .find(|section| section.starts_with(&format!("roles.{role}]")))?;
    let line = section
        .lines()
        .find(|line| line.trim_start().starts_with("run"))?;
    let text = line.split_once('=')?.1.trim().trim_matches('"');
    Some(text.split(' ').map(str::to_owned).collect())
}

/// Finds a range of loopback addresses at which all ports are free.
fn free_net() -> Option<String> {
    let first = std::process::id() % 200 + 20;
    (0..50).find_map(|offset| {
        let net = format!("127.{}.{}", 64 + offset, first);
        let hosts = [11, 12, 13, 21, 22, 200];
        let ports = [FRONTEND, READY, CONTROL, CLOUD, 7060, 7061, 7062, 9464];
        let mut all = hosts
            .iter()
            .flat_map(|host| ports.iter().map(move |port| (host, port)));
        all.all(|(host, port)| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
            .then_some(net)
    })
}

fn settings(net: &str, name: &str, zone: &str, ip: &str, data: Option<&Path>) -> String {
    let core = data.is_some();
    let data = data
        .map(|data| format!("dataDir = \"{}\"\n", data.display()))
        .unwrap_or_default();
    let (class, serves) = if core {
        ("core", "control")
    } else {
        ("edge", "edge")
    };
    let listen = if core {
        format!("control = \"{ip}:{CONTROL}\"\n")
    } else {
        format!("frontend = \"{ip}:{FRONTEND}\"\nready = \"{ip}:{READY}\"\n")
    };
    format!(
        "nodeName = \"{name}\"\nrole = \"{serves}\"\nmachineClass = \"{class}\"\n\
         serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region-a\"\n\
         internalPorts = [7060,7075]\n\
         seeds = [\"{net}.11:{CONTROL}\",\"{net}.12:{CONTROL}\",\"{net}.13:{CONTROL}\"]\n\
         bootstrap = true\ncountsAsLoss = {core}\ndiscovery = \"registry\"\nentry = \"vip\"\n\
         heartbeatMs = 1500\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\n\
         config_mode = \"highest\"\norders = \"rpc\"\nadvice = \"{net}.200:{CLOUD}\"\n{data}\
         [zones]\nzone-a = \"region-a\"\nzone-b = \"region-a\"\nzone-c = \"region-a\"\n\
         [listen]\n{listen}\
         [limits]\ncpuShare = 0.35\ncores = 1\nmemoryMb = 256\nmaxFds = 4096\nlinkMbps = 200.0\ndiskMb = {}\n\
         [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
         drainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigDeadlineMs = 2000\n\
         rollbackSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\nmaxHoldMs = 10000\n\
         stopTimeoutMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
         early_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarFactor = 1.5\ncheckpointS = 0.5\n\
         restoreMs = 250\nnoticeMs = 4500\nmigrateS = 1.5\nmaintenanceS = 2\n\
         enforceFencing = true\nleaseMs = 3000\nthawSlackMs = 300\npaceMs = 100\nharmMs = 4000\n\
         [cloudApi]\naddress = \"{net}.200:{CLOUD}\"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n",
        if core { 128 } else { 0 }
    )
}

impl System {
    /// Starts three control and two entry programs.
    pub fn start(record: &Record) -> Result<Self, String> {
        let net = free_net().ok_or("no free loopback addresses")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let mut system = Self {
            killed: Vec::new(),
            kills: BTreeMap::new(),
            children: Vec::new(),
            folder: folder.clone(),
            control: Vec::new(),
            frontends: Vec::new(),
            net: net.clone(),
        };
        let hosts = [
            ("control", 11, "zone-a"),
            ("control", 12, "zone-b"),
            ("control", 13, "zone-c"),
            ("entry", 21, "zone-a"),
            ("entry", 22, "zone-b"),
        ];
        for (role, host, zone) in hosts {
            let ip = format!("{net}.{host}");
            let home = folder.join(host.to_string());
            let data = home.join("data");
            fs::create_dir_all(&data).map_err(|error| error.to_string())?;
            let data = (role == "control").then_some(data.as_path());
            let text = settings(&net, &format!("{role}-{host}"), zone, &ip, data);
            fs::write(home.join("settings.toml"), text).map_err(|error| error.to_string())?;
            system.start_process(record, role, host)?;
            let address = |port| format!("{ip}:{port}").parse().expect("an address");
            if role == "control" {
                system.control.push(address(CONTROL));
            } else {
                system.frontends.push(address(FRONTEND));
            }
        }
        Ok(system)
    }

    fn start_process(&mut self, record: &Record, role: &str, host: u32) -> Result<(), String> {
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
        let command = command_of(&deploy, role).ok_or("the deploy file names no command")?;
        let home = self.folder.join(host.to_string());
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(home.join("log"));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("MASTICFIELD_CONFIG", home.join("settings.toml"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{}: {error}", command[0]))?;
        record.line(format!(
            "{role} on host {host} started as process {}",
            child.id()
        ));
        self.children.push((host, child));
        Ok(())
    }

    fn kill(&mut self, record: &Record, host: u32) {
        record.line(format!("the process on host {host} is killed"));
        for (_, child) in self.children.iter_mut().filter(|(own, _)| *own == host) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children.retain(|(own, _)| *own != host);
    }

    /// Starts the control program on a host again; it is not the first start of the system.
    fn restart_control(&mut self, record: &Record, host: u32) -> Result<(), String> {
        let path = self.folder.join(host.to_string()).join("settings.toml");
        let text = fs::read_to_string(&path).map_err(|error| error.to_string())?;
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&path, text).map_err(|error| error.to_string())?;
        self.start_process(record, "control", host)
    }

    /// Resident memory of each process, in megabytes.
    pub fn memory_mb(&self) -> Vec<(u32, u64)> {
        let all = self.children.iter().map(|(host, child)| {
            let status =
                fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
            let line = status.lines().find(|line| line.starts_with("VmRSS"));
            let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
            (*host, kb.unwrap_or(0) / 1024)
        });
        all.collect()
    }

    /// Does what the platform does with memory: kills each process that uses more than the settings
    /// allow, and starts it again after a short delay.
    pub fn enforce_memory(&mut self, record: &Record) -> Result<(), String> {
        for (host, used) in self.memory_mb() {
            if used > MEMORY_MB && host < 20 {
                record.line(format!("host {host}: {used} MB, more than {MEMORY_MB} MB"));
                self.kill(record, host);
                self.killed.push((host, Instant::now()));
                *self.kills.entry(host).or_default() += 1;
            }
        }
        let due = |(_, at): &&(u32, Instant)| at.elapsed() >= RESTART_DELAY;
        let ready: Vec<u32> = self
            .killed
            .iter()
            .filter(due)
            .map(|(host, _)| *host)
            .collect();
        self.killed.retain(|(host, _)| !ready.contains(host));
        for host in ready {
            self.restart_control(record, host)?;
        }
        Ok(())
    }

    /// Serves the platform's list of machines.
    pub fn serve_platform(&self, shared: &Shared) -> Result<(), String> {
        let listener = TcpListener::bind(format!("{}.200:{CLOUD}", self.net));
        let listener = listener.map_err(|error| error.to_string())?;
        let shared = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let Ok(mut out) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = std::io::BufReader::new(stream);
                    while let Ok(Some(request)) = http::read_request(&mut reader) {
                        let answer = if request.path.starts_with("/v1/machines") {
                            (200, shared.with(|world| world.machines()))
                        } else {
                            shared
                                .record
                                .line(format!("platform: {} {}", request.path, request.body));
                            (409, "{\"reason\":\"busy\"}".to_owned())
                        };
                        if http::respond(&mut out, answer.0, &answer.1).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// Sends the configuration until it is acknowledged.
    pub fn configure(&self, record: &Record, max_attempts: u32) -> Result<(), String> {
        let body = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-anu6wsj\",\"host\":\"{HOST}\",\
             \"pathPrefix\":\"{PREFIX}\",\"type\":\"unsafe\",\"timeoutMs\":3000,\
             \"targetLatencyMs\":600,\"priority\":0,\"service\":\"{SERVICE}\",\
             \"maxAttempts\":{max_attempts},\"stretch\":1.6}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"rejectsOverload\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        );
        record.line(format!("operator sends {body}"));
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for to in &self.control {
                if crate::world::send_following(*to, "POST", "/v1/config/put", &body).is_some() {
                    record.line("the configuration is acknowledged");
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err("no configuration was acknowledged".into())
    }

    /// One call of a client at one of the entries.
    pub fn client(
        &self,
        record: &Record,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let turn = record.now().as_millis() as usize % self.frontends.len();
        let to = self.frontends[turn];
        let path = format!("{PREFIX}{id}");
        let answer = http::call(to, method, &path, HOST, body, Duration::from_secs(3));
        match answer {
            Ok((status, _, answer)) => {
                record.line(format!(
                    "client: {method} {path} {body} -> {status} {answer}"
                ));
                Some((status, answer))
            }
            Err(error) => {
                record.line(format!("client: {method} {path} {body} -> {error}"));
                None
            }
        }
    }

    /// Hands a job in until it is accepted.
    pub fn submit(&self, record: &Record, id: &str, body: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Some((200..=299, _)) = self.client(record, "POST", id, body) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err(format!("job {id} was not accepted"))
    }

    /// State of a job as a client is told.
    pub fn state(&self, record: &Record, id: &str) -> Option<String> {
        let (status, body) = self.client(record, "GET", id, "")?;
        if status == 410 {
            return Some("410".into());
        }
        Some(crate::json::Json::parse(&body)?.text("state")?.to_owned())
    }

    /// Keeps the logs of the programs beside the record.
    pub fn keep_logs(&self, to: &Path) {
        for host in [11, 12, 13, 21, 22] {
            let from = self.folder.join(host.to_string()).join("log");
            let _ = fs::copy(from, to.join(format!("log-{host}.txt")));
        }
    }
}
