//! The programs of a small installation as processes, each on a loopback address of its own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::executor::{Executor, Place};
use crate::http::{self, Response};
use crate::record::Record;

const CONTROL_PORT: u16 = 8623;
const CALLERS_PORT: u16 = 8624;
const READY_PORT: u16 = 8622;
const EXECUTOR_PORT: u16 = 8700;
const PLATFORM_PORT: u16 = 8621;

/// Authority and path prefix of the queue of every case.
pub const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";

/// The service whose executors run the queue's tasks.
pub const SERVICE: &str = "huvo11a";

pub struct Program {
    pub ip: Ipv4Addr,
    name: String,
    child: Child,
}

/// The programs and executors of a case. All that it started ends when it is dropped.
pub struct Installation {
    folder: PathBuf,
    base: u8,
    second: u8,
    seeds: Vec<Ipv4Addr>,
    pub controls: Vec<Program>,
    pub entries: Vec<Program>,
    /// Addresses for executors and operators, of the control programs in place.
    pub control: Arc<Mutex<Vec<SocketAddr>>>,
    pub record: Arc<Record>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.controls.clear();
        self.entries.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Installation {
    /// Starts three control programs and `entries` entry programs for the first time.
    pub fn start(record: &Arc<Record>, entries: u8) -> std::io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        std::fs::create_dir_all(&folder)?;
        let (base, second) = free_addresses(pid);
        let ip = |last| Ipv4Addr::new(127, base, second, last);
        let mut installation = Self {
            folder,
            base,
            second,
            seeds: vec![ip(11), ip(12), ip(13)],
            controls: Vec::new(),
            entries: Vec::new(),
            control: Arc::default(),
            record: Arc::clone(record),
        };
        let platform = TcpListener::bind((ip(250), PLATFORM_PORT))?;
        let open = Arc::new(std::sync::atomic::AtomicBool::new(true));
        // The platform has no hosts that could be moved or that are due for upkeep.
        http::serve(platform, open, |_| {
            Some((200, r#"{"machines":[],"nextToken":""}"#.into()))
        });
        for last in 11..=13 {
            installation.start_control(last, true)?;
        }
        for last in 1..=entries {
            installation.start_entry(last)?;
        }
        Ok(installation)
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base, self.second, last)
    }

    /// Starts a control program on a host that has an empty disk.
    pub fn start_control(&mut self, last: u8, first_start: bool) -> std::io::Result<()> {
        let ip = self.ip(last);
        let program = self.program("masticfield-platform-control", ip, first_start, true)?;
        self.controls.push(program);
        let mut control = self.control.lock().expect("not poisoned");
        control.push(SocketAddr::new(IpAddr::V4(ip), CONTROL_PORT));
        Ok(())
    }

    fn start_entry(&mut self, last: u8) -> std::io::Result<()> {
        let ip = self.ip(last);
        let program = self.program("masticfield-platform-entry", ip, true, false)?;
        self.entries.push(program);
        Ok(())
    }

    fn program(
        &self,
        name: &str,
        ip: Ipv4Addr,
        first: bool,
        disk: bool,
    ) -> std::io::Result<Program> {
        let data = self.folder.join(format!("data-{ip}"));
        let (role, listen) = if disk {
            std::fs::create_dir_all(&data)?;
            (
                format!("dataDir = {:?}\n", data.display().to_string()),
                format!("control = \"{ip}:{CONTROL_PORT}\""),
            )
        } else {
            (
                String::new(),
                format!("frontend = \"{ip}:{CALLERS_PORT}\"\nready = \"{ip}:{READY_PORT}\""),
            )
        };
        let seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""))
            .collect();
        let settings = format!(
            "nodeName = \"n-{ip}\"\nzone = \"alava-uno\"\nregion = \"alava\"\nip = \"{ip}\"\n\
             internalPorts = [7060,7075]\nseeds = [{}]\nbootstrap = {first}\n{role}\
             countsAsLoss = {disk}\ndiscovery = \"registry\"\nheartbeatMs = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\n\
             config_mode = \"highest\"\norders = \"rpc\"\n[zones]\nalava-uno = \"alava\"\n[listen]\n{listen}\n\
             [limits]\nmemoryMb = 256\nmaxFds = 4096\ndiskMb = {}\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n\
             graceS = 6\nlossSlackMs = 200\nconfigDeadlineMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n\
             recoveryS = 12\nmaxHoldMs = 10000\nstopTimeoutMs = 400\ngangTimeoutMs = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarFactor = 1.5\ncheckpointS = 0.5\n\
             restoreMs = 100\nnoticeMs = 4500\nmigrateS = 1.5\nmaintenanceS = 2\nenforceFencing = true\n\
             leaseMs = 3000\nthawSlackMs = 300\npaceMs = 100\nharmMs = 4000\n\
             [cloudApi]\naddress = \"{}:{PLATFORM_PORT}\"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n",
            seeds.join(","),
            if disk { 128 } else { 0 },
            self.ip(250),
        );
        let path = self.folder.join(format!("settings-{ip}.toml"));
        std::fs::write(&path, settings)?;
        let log = std::fs::File::create(self.folder.join(format!("log-{ip}")))?;
        let child = Command::new(format!("target/release/{name}"))
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("MASTICFIELD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("{name} starts at {ip}"));
        Ok(Program {
            ip,
            name: name.to_owned(),
            child,
        })
    }

    /// Takes a control host away for good, with SIGTERM first.
    pub fn remove_control(&mut self, ip: Ipv4Addr) {
        let Some(index) = self.controls.iter().position(|program| program.ip == ip) else {
            return;
        };
        let mut program = self.controls.remove(index);
        self.control
            .lock()
            .expect("not poisoned")
            .retain(|address| address.ip() != IpAddr::V4(ip));
        self.record.line(&format!(
            "{} at {ip} gets SIGTERM and does not come back",
            program.name
        ));
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -TERM {}", program.child.id())])
            .status();
        let until = Instant::now() + Duration::from_secs(6);
        while Instant::now() < until && matches!(program.child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The control program that answers a read of the configuration itself.
    pub fn leader(&self) -> Option<Ipv4Addr> {
        self.controls.iter().map(|program| program.ip).find(|ip| {
            let address = SocketAddr::new(IpAddr::V4(*ip), CONTROL_PORT);
            let timeout = Duration::from_millis(800);
            let answer = http::call(address, "GET", "/v1/config/get", &[], "", timeout);
            answer.is_some_and(|answer| answer.status == 200)
        })
    }

    /// Sends the configuration until it is acknowledged.
    pub fn configure(&self, attempts: u32) -> bool {
        let body = format!(
            r#"{{"version":7,"routes":[{{"name":"r-anu6wsj","host":"{HOST}","pathPrefix":"{PREFIX}","type":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"{SERVICE}","maxAttempts":{attempts},"stretch":1.6}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"rejectsOverload":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        );
        self.until(Duration::from_secs(20), || {
            let nodes = self.control.lock().expect("not poisoned").clone();
            nodes.into_iter().any(|node| {
                let answer = crate::call_control(node, "POST", "/v1/config/put", &body);
                answer.is_some_and(|answer| answer.status == 200)
            })
        })
    }

    /// Starts executors of 32 cores, four to a rack.
    pub fn executors(&self, count: u8) -> Vec<Arc<Executor>> {
        let place = |index: u8| Place {
            address: SocketAddr::new(IpAddr::V4(self.ip(100 + index)), EXECUTOR_PORT),
            service: SERVICE.to_owned(),
            zone: "alava-uno".to_owned(),
            rack: format!("r1-{}", index / 4),
            cpu: 32_000,
            mem_mb: 131_072,
            control: Arc::clone(&self.control),
        };
        (0..count)
            .map(|index| Executor::start(place(index), &self.record))
            .collect()
    }

    /// The address at which a control program takes the calls of executors.
    pub fn control_address(ip: Ipv4Addr) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(ip), CONTROL_PORT)
    }

    /// Calls an entry as a client does, with the deadline of a client.
    pub fn client(&self, entry: usize, method: &str, rest: &str, body: &str) -> Option<Response> {
        let address = SocketAddr::new(IpAddr::V4(self.entries[entry].ip), CALLERS_PORT);
        let headers = [
            ("Host", HOST.to_owned()),
            ("Deadline-Ms", "3000".to_owned()),
        ];
        let path = format!("{PREFIX}{rest}");
        let timeout = Duration::from_millis(3_000);
        let answer = http::call(address, method, &path, &headers, body, timeout);
        let shown = answer
            .as_ref()
            .map(|answer| format!("{} {}", answer.status, answer.body));
        let shown = shown.unwrap_or_else(|| "no answer".into());
        self.record.line(&format!(
            "client to entry {entry}: {method} {path} -> {shown}"
        ));
        answer
    }

    /// Whether every entry says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.entries.iter().all(|entry| {
            let address = SocketAddr::new(IpAddr::V4(entry.ip), READY_PORT);
            let answer = http::call(address, "GET", "/v1/ready", &[], "", Duration::from_secs(1));
            answer.is_some_and(|answer| answer.status == 200)
        })
    }

    /// Waits until something holds; false if it does not in time.
    pub fn until(&self, time: Duration, holds: impl Fn() -> bool) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if holds() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Chooses the second and third byte of loopback addresses that nothing listens on.
fn free_addresses(pid: u32) -> (u8, u8) {
    let mut number = pid;
    loop {
        let (base, second) = (64 + (number >> 8) as u8 % 128, number as u8);
        let is_free =
            |last, port| TcpListener::bind((Ipv4Addr::new(127, base, second, last), port)).is_ok();
        if (11..=16).all(|last| is_free(last, CONTROL_PORT)) && is_free(1, CALLERS_PORT) {
            return (base, second);
        }
        number = number.wrapping_add(1);
    }
}
