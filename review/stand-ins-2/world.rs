//! Executors as the users' pages describe them (PROTOCOL.md, "Running tasks").
//!
//! All executors share one world under one lock. A task of a gang works only while all tasks of its
//! run are present that were started from the same checkpoint; they end `done` together.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::{quoted, Json};
use crate::record::Record;

/// Bounds of the small sites.
pub const MAX_HOLD: Duration = Duration::from_millis(10_000);
pub const STOP_TIME: Duration = Duration::from_millis(100);
pub const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
pub const CHECKPOINT: Duration = Duration::from_millis(500);

/// What the stand-in knows of a step of a job.
#[derive(Clone)]
pub struct StepKind {
    pub count: u32,
    pub work: Duration,
    pub gang: bool,
    pub checkpointing: bool,
    /// The tasks run until the job is cancelled.
    pub lasts: bool,
}

#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub number: u32,
    pub checkpoint: String,
    pub saved: String,
    pub worked: Duration,
    started: Instant,
    stopping: Option<Instant>,
}

#[derive(Clone)]
pub struct End {
    number: u64,
    pub task: String,
    pub run: u32,
    pub how: &'static str,
    pub saved: String,
}

pub struct Executor {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub machine: String,
    pub alive: bool,
    /// Since when it ends all that it starts with `failed`.
    pub fails_since: Option<Instant>,
    /// Down without a sign: connections to it stay open, and nothing is answered.
    dark: bool,
    /// Cut off from all machines of the system: nothing arrives or leaves.
    cut: bool,
    /// Leaves the first order to start unanswered, and carries it out after this time.
    late_start: Option<Duration>,
    born_ms: u64,
    start: Instant,
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    highest: HashMap<String, u32>,
    ends: Vec<End>,
    last_end: u64,
}

/// A start or an end that an executor has carried out.
#[derive(Clone)]
pub struct Event {
    pub at: Duration,
    pub executor: String,
    pub task: String,
    pub run: u32,
    /// `start` or the kind of the end.
    pub what: String,
    pub checkpoint: String,
}

pub struct World {
    pub service: String,
    pub executors: Vec<Executor>,
    pub steps: HashMap<String, StepKind>,
    pub events: Vec<Event>,
}

#[derive(Clone)]
pub struct Shared {
    pub world: Arc<(Mutex<World>, Condvar)>,
    pub record: Record,
}

/// Job and step of a task's name.
pub fn step_of(task: &str) -> String {
    let end = task.rfind('.').unwrap_or(task.len());
    task[..end].to_owned()
}

fn epoch_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map(|now| now.as_millis() as u64).unwrap_or(0)
}

impl Executor {
    pub fn new(number: usize, address: SocketAddr, zone: &str) -> Self {
        Self {
            id: format!("i-{number:04}"),
            address,
            zone: zone.to_owned(),
            rack: format!("r1-{}", number / 4),
            machine: format!("m-{number:04}"),
            alive: true,
            fails_since: None,
            dark: false,
            cut: false,
            late_start: None,
            born_ms: epoch_ms(),
            start: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, deadline: Option<u64>) {
        let longest = self.clock_ms() + MAX_HOLD.as_millis() as u64;
        if let Some(deadline) = deadline {
            self.lease_end_ms = self.lease_end_ms.max(deadline.min(longest));
        }
    }

    fn end(&mut self, run: &Run, how: &'static str) {
        self.runs.remove(&run.task);
        self.last_end += 1;
        self.ends.push(End {
            number: self.last_end,
            task: run.task.clone(),
            run: run.number,
            how,
            saved: run.saved.clone(),
        });
    }
}

impl World {
    fn log(&mut self, record: &Record, executor: usize, run: &Run, what: &str) {
        let id = self.executors[executor].id.clone();
        let (task, number, checkpoint) = (&run.task, run.number, &run.checkpoint);
        record.line(format!(
            "{id}: {what} {task} run {number}, checkpoint {checkpoint:?}, saved {:?}",
            run.saved
        ));
        self.events.push(Event {
            at: record.now(),
            executor: id,
            task: run.task.clone(),
            run: run.number,
            what: what.to_owned(),
            checkpoint: run.checkpoint.clone(),
        });
    }

    fn end(&mut self, record: &Record, executor: usize, run: &Run, how: &'static str) {
        self.executors[executor].end(run, how);
        self.log(record, executor, run, how);
    }

    fn kind(&self, task: &str) -> Option<StepKind> {
        self.steps.get(&step_of(task).to_lowercase()).cloned()
    }

    /// Lets everything that runs work for `passed`, and ends what is over.
    fn advance(&mut self, record: &Record, passed: Duration) {
        let mut present: HashMap<(String, u32, String), u32> = HashMap::new();
        let all: Vec<(usize, Run)> = self
            .executors
            .iter()
            .enumerate()
            .filter(|(_, executor)| executor.alive)
            .flat_map(|(index, executor)| {
                executor.runs.values().map(move |run| (index, run.clone()))
            })
            .collect();
        for (_, run) in &all {
            let key = (step_of(&run.task), run.number, run.checkpoint.clone());
            *present.entry(key).or_default() += 1;
        }
        let mut over = Vec::new();
        for (index, run) in all {
            let Some(kind) = self.kind(&run.task) else {
                continue;
            };
            let executor = &mut self.executors[index];
            if executor.clock_ms() > executor.lease_end_ms {
                over.push((index, run, "lapsed"));
                continue;
            }
            if run.stopping.is_some_and(|at| at.elapsed() >= STOP_TIME) {
                over.push((index, run, "stopped"));
                continue;
            }
            let is_bad = executor
                .fails_since
                .is_some_and(|since| run.started >= since);
            if is_bad && run.started.elapsed() >= Duration::from_millis(50) {
                over.push((index, run, "failed"));
                continue;
            }
            let key = (step_of(&run.task), run.number, run.checkpoint.clone());
            let complete = !kind.gang || present[&key] >= kind.count;
            if !complete {
                if run.worked.is_zero() && run.started.elapsed() >= GANG_TIMEOUT {
                    over.push((index, run, "alone"));
                }
                continue;
            }
            if let Some(own) = executor.runs.get_mut(&run.task) {
                own.worked += passed;
                let before: u64 = own.checkpoint.parse().unwrap_or(0);
                let total = own.worked + Duration::from_millis(before);
                if kind.checkpointing {
                    let steps = total.as_millis() / CHECKPOINT.as_millis();
                    let saved = steps * CHECKPOINT.as_millis();
                    if saved > 0 {
                        own.saved = format!("{saved:016}");
                    }
                }
                if total >= kind.work && !kind.lasts {
                    over.push((index, own.clone(), "done"));
                }
            }
        }
        let mut broken = Vec::new();
        for (index, run, how) in over {
            self.end(record, index, &run, how);
            if how != "done" && how != "alone" {
                broken.push((step_of(&run.task), run.number));
            }
        }
        self.break_gangs(record, &broken);
    }

    /// Ends the other members of gangs of which a member has ended other than `done`.
    fn break_gangs(&mut self, record: &Record, gangs: &[(String, u32)]) {
        for index in 0..self.executors.len() {
            let runs: Vec<Run> = self.executors[index].runs.values().cloned().collect();
            for run in runs {
                let is_gang = self.kind(&run.task).is_some_and(|kind| kind.gang);
                if is_gang && gangs.contains(&(step_of(&run.task), run.number)) {
                    self.end(record, index, &run, "broken");
                }
            }
        }
    }

    /// Ends an executor without notice.
    pub fn crash(&mut self, record: &Record, id: &str) {
        let Some(index) = self.executors.iter().position(|executor| executor.id == id) else {
            return;
        };
        record.line(format!("{id}: crashes"));
        let executor = &mut self.executors[index];
        executor.alive = false;
        let runs: Vec<Run> = std::mem::take(&mut executor.runs).into_values().collect();
        let gangs: Vec<_> = runs
            .iter()
            .map(|run| (step_of(&run.task), run.number))
            .collect();
        self.break_gangs(record, &gangs);
    }

    /// Ends an executor without notice; connections to it go silent.
    pub fn go_dark(&mut self, record: &Record, id: &str) {
        let executor = self.executors.iter_mut().find(|executor| executor.id == id);
        executor
            .into_iter()
            .for_each(|executor| executor.dark = true);
        self.crash(record, id);
    }

    /// Cuts an executor off from all machines of the system, or joins it again.
    pub fn set_cut(&mut self, record: &Record, id: &str, cut: bool) {
        let executor = self.executors.iter_mut().find(|executor| executor.id == id);
        executor.into_iter().for_each(|executor| executor.cut = cut);
        record.line(format!(
            "{id}: {}",
            if cut {
                "is cut off"
            } else {
                "is reached again"
            }
        ));
    }

    /// Lets every executor leave its first order to start unanswered and carry it out late.
    pub fn carry_out_late(&mut self, after: Duration) {
        self.executors
            .iter_mut()
            .for_each(|executor| executor.late_start = Some(after));
    }

    /// Ends the dose of late orders.
    pub fn carry_out_at_once(&mut self) {
        self.executors
            .iter_mut()
            .for_each(|executor| executor.late_start = None);
    }

    /// Starts a crashed executor again under its identifier. It knows nothing of before.
    pub fn restart(&mut self, record: &Record, id: &str) {
        let crashed = self.executors.iter_mut().find(|executor| executor.id == id);
        let Some(executor) = crashed.filter(|executor| !executor.alive) else {
            return;
        };
        record.line(format!("{id}: starts again"));
        executor.alive = true;
        executor.dark = false;
        executor.born_ms = epoch_ms();
        executor.start = Instant::now();
        executor.fence = 0;
        executor.lease_end_ms = 0;
        executor.highest.clear();
        executor.ends.clear();
        executor.last_end = 0;
    }

    fn start(&mut self, record: &Record, index: usize, body: &Json) -> (u16, &'static str) {
        let (Some(task), Some(number)) = (body.text("task"), body.number("run")) else {
            return (400, "");
        };
        let fence = body.number("fencingToken").unwrap_or(0);
        let executor = &mut self.executors[index];
        if fence < executor.fence {
            return (409, "fence");
        }
        executor.fence = fence;
        let number = number as u32;
        if executor
            .runs
            .get(task)
            .is_some_and(|run| run.number == number)
        {
            executor.extend_lease(body.number("deadlineMs"));
            return (200, "");
        }
        if executor
            .highest
            .get(task)
            .is_some_and(|highest| number <= *highest)
        {
            executor.extend_lease(body.number("deadlineMs"));
            return (409, "old");
        }
        if body
            .number("deadlineMs")
            .is_none_or(|deadline| deadline <= executor.clock_ms())
        {
            return (409, "late");
        }
        executor.extend_lease(body.number("deadlineMs"));
        executor.highest.insert(task.to_owned(), number);
        let checkpoint = body.text("checkpoint").unwrap_or_default().to_owned();
        let run = Run {
            task: task.to_owned(),
            number,
            saved: checkpoint.clone(),
            checkpoint,
            worked: Duration::ZERO,
            started: Instant::now(),
            stopping: None,
        };
        executor.runs.insert(task.to_owned(), run.clone());
        self.log(record, index, &run, "start");
        (200, "")
    }

    fn stop(&mut self, index: usize, body: &Json) -> (u16, &'static str) {
        let (Some(task), Some(number)) = (body.text("task"), body.number("run")) else {
            return (400, "");
        };
        let fence = body.number("fencingToken").unwrap_or(0);
        let executor = &mut self.executors[index];
        if fence < executor.fence {
            return (409, "fence");
        }
        executor.fence = fence;
        let highest = executor.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(number as u32);
        if let Some(run) = executor
            .runs
            .get_mut(task)
            .filter(|run| run.number == number as u32)
        {
            run.stopping.get_or_insert_with(Instant::now);
        }
        (200, "")
    }

    fn hold(&mut self, index: usize, body: &Json) -> (u16, &'static str) {
        let fence = body.number("fencingToken").unwrap_or(0);
        let executor = &mut self.executors[index];
        if fence < executor.fence {
            return (409, "fence");
        }
        executor.fence = fence;
        executor.extend_lease(body.number("deadlineMs"));
        let seen = body.number("lastSeen").unwrap_or(0);
        executor.ends.retain(|end| end.number > seen);
        (200, "")
    }

    fn lists(&self, index: usize) -> String {
        let executor = &self.executors[index];
        let running = executor.runs.values().map(|run| {
            let kind = self.kind(&run.task);
            let work = kind.as_ref().map_or(1, |kind| kind.work.as_millis()).max(1);
            let before: u128 = run.checkpoint.parse().unwrap_or(0);
            let most = if kind.as_ref().is_some_and(|kind| kind.lasts) {
                100
            } else {
                99
            };
            let percent = ((run.worked.as_millis() + before) * 100 / work).min(most);
            format!(
                "[{},{},{},{percent},0]",
                quoted(&run.task),
                run.number,
                quoted(&run.saved)
            )
        });
        let running: Vec<_> = running.collect();
        let finished = executor.ends.iter().take(500).map(|end| {
            let (number, task, run) = (end.number, quoted(&end.task), end.run);
            format!(
                "[{number},{task},{run},{},{}]",
                quoted(end.how),
                quoted(&end.saved)
            )
        });
        let finished: Vec<_> = finished.collect();
        format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            executor.clock_ms(),
            executor.born_ms,
            running.join(","),
            finished.join(",")
        )
    }

    /// Executors that are up and run a task of a job, with the number of the run.
    pub fn running(&self, job: &str) -> Vec<(String, String, u32)> {
        let up = self.executors.iter().filter(|executor| executor.alive);
        let runs =
            up.flat_map(|executor| executor.runs.values().map(|run| (executor.id.clone(), run)));
        let of_job = runs.filter(|(_, run)| run.task.starts_with(job));
        of_job
            .map(|(id, run)| (id, run.task.clone(), run.number))
            .collect()
    }

    /// The platform's list of machines.
    pub fn machines(&self) -> String {
        let machines = self.executors.iter().map(|executor| {
            let state = if executor.alive { "up" } else { "down" };
            let id = if executor.alive { executor.id.as_str() } else { "" };
            format!(
                "{{\"machine\":{},\"pool\":{},\"state\":\"{state}\",\"zone\":{},\"labels\":[\"a\",{}],\
                 \"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpu\":0}},\"id\":{}}}",
                quoted(&executor.machine),
                quoted(&self.service),
                quoted(&executor.zone),
                quoted(&executor.rack),
                quoted(id)
            )
        });
        let machines: Vec<_> = machines.collect();
        format!(
            "{{\"machines\":[{}],\"nextToken\":null}}",
            machines.join(",")
        )
    }
}

impl Shared {
    pub fn new(service: &str, executors: Vec<Executor>, record: &Record) -> Self {
        let world = World {
            service: service.to_owned(),
            executors,
            steps: HashMap::new(),
            events: Vec::new(),
        };
        Self {
            world: Arc::new((Mutex::new(world), Condvar::new())),
            record: record.clone(),
        }
    }

    pub fn with<T>(&self, change: impl FnOnce(&mut World) -> T) -> T {
        let mut world = self.world.0.lock().expect("no holder of the lock panics");
        let result = change(&mut world);
        self.world.1.notify_all();
        result
    }

    /// Starts the listeners, the heartbeats and the clock of all executors.
    pub fn run(&self, control: &[SocketAddr], heartbeat: Duration) -> std::io::Result<()> {
        let addresses: Vec<_> = self.with(|world| {
            world
                .executors
                .iter()
                .map(|executor| executor.address)
                .collect()
        });
        for (index, address) in addresses.into_iter().enumerate() {
            let listener = TcpListener::bind(address)?;
            let shared = self.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let life = shared.life(index);
                    if let Some(life) = life {
                        let shared = shared.clone();
                        thread::spawn(move || {
                            let out = stream.try_clone();
                            shared.serve(index, life, stream);
                            shared.stay_silent(index);
                            drop(out);
                        });
                    } else {
                        let shared = shared.clone();
                        thread::spawn(move || {
                            shared.stay_silent(index);
                            drop(stream);
                        });
                    }
                }
            });
            let (shared, control) = (self.clone(), control.to_vec());
            thread::spawn(move || shared.announce(index, &control, heartbeat));
        }
        let shared = self.clone();
        thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(10));
                let passed = last.elapsed();
                last = Instant::now();
                let record = shared.record.clone();
                shared.with(|world| world.advance(&record, passed));
            }
        });
        Ok(())
    }

    /// Returns once the executor is not dark.
    fn stay_silent(&self, index: usize) {
        let is_silent =
            |world: &mut World| world.executors[index].dark || world.executors[index].cut;
        while self.with(is_silent) {
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// When the current life of an executor began; none while it is down.
    fn life(&self, index: usize) -> Option<u64> {
        self.with(|world| {
            let executor = &world.executors[index];
            (executor.alive && !executor.cut).then_some(executor.born_ms)
        })
    }

    fn announce(&self, index: usize, control: &[SocketAddr], heartbeat: Duration) {
        let mut next: Option<SocketAddr> = None;
        let (mut sequence, mut announced) = (0_u64, None);
        loop {
            let life = self.life(index);
            if life.is_none() {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            sequence = if life == announced { sequence + 1 } else { 1 };
            announced = life;
            let body = self.with(|world| {
                let service = world.service.clone();
                let executor = &world.executors[index];
                executor.alive.then(|| {
                    let path = format!("/v1/instances/{}/heartbeat", executor.id);
                    let body = format!(
                        "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\
                         \"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":32000,\
                         \"memMb\":131072,\"gpu\":0}},\"labels\":[\"a\",{}],\"clockMs\":{},\
                         \"born\":{},\"seq\":{sequence}}}",
                        quoted(&service),
                        quoted(&executor.address.to_string()),
                        quoted(&executor.zone),
                        quoted(&executor.rack),
                        executor.clock_ms(),
                        executor.born_ms
                    );
                    (path, body)
                })
            });
            let Some((path, body)) = body else {
                continue;
            };
            let mut targets: Vec<SocketAddr> = next.into_iter().collect();
            targets.extend(control);
            next = targets
                .into_iter()
                .find_map(|to| send_following(to, "POST", &path, &body));
            let until = Instant::now() + heartbeat;
            while Instant::now() < until && self.life(index) == announced {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn serve(&self, index: usize, life: u64, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let mut reader = BufReader::new(stream);
        loop {
            // Waits for the next request without losing a part of it.
            loop {
                if self.life(index) != Some(life) {
                    return;
                }
                let mut byte = [0];
                match reader.get_ref().peek(&mut byte) {
                    Ok(0) => return,
                    Ok(_) => break,
                    Err(_) => {}
                }
            }
            let _ = reader
                .get_ref()
                .set_read_timeout(Some(Duration::from_secs(5)));
            let Ok(Some(request)) = http::read_request(&mut reader) else {
                return;
            };
            let _ = reader
                .get_ref()
                .set_read_timeout(Some(Duration::from_millis(200)));
            let Some((status, body)) = self.respond(index, life, &request) else {
                return;
            };
            if self.life(index) != Some(life) {
                return;
            }
            if http::respond(&mut out, status, &body).is_err() {
                return;
            }
        }
    }

    /// Carries out an order; none if the executor crashes meanwhile.
    fn respond(&self, index: usize, life: u64, request: &Request) -> Option<(u16, String)> {
        let id = self.with(|world| world.executors[index].id.clone());
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            return Some((421, "{}".into()));
        }
        if request.method == "GET" {
            return Some((200, "{}".into()));
        }
        let body = Json::parse(&request.body)?;
        let record = self.record.clone();
        if request.path == "/v1/run-start" && self.leave_for_later(index, &body) {
            return None;
        }
        let answer = self.with(|world| {
            let executor = &world.executors[index];
            if !executor.alive || executor.born_ms != life {
                return None;
            }
            Some(match request.path.as_str() {
                "/v1/run-start" => world.start(&record, index, &body),
                "/v1/run-stop" => world.stop(index, &body),
                "/v1/hold" => world.hold(index, &body),
                _ => (404, ""),
            })
        });
        let (status, reason) = answer?;
        if request.path == "/v1/hold" && status == 200 {
            return self
                .wait_for_end(index, life, &body)
                .map(|lists| (200, lists));
        }
        let clock = self.with(|world| world.executors[index].clock_ms());
        let body = match reason {
            "" => format!("{{\"clockMs\":{clock}}}"),
            reason => format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
        };
        Some((status, body))
    }

    /// Takes an order to start that is to be carried out late, and waits until its sender has given up.
    fn leave_for_later(&self, index: usize, body: &Json) -> bool {
        let Some(after) = self.with(|world| world.executors[index].late_start.take()) else {
            return false;
        };
        let id = self.with(|world| world.executors[index].id.clone());
        let (task, run) = (
            body.text("task").unwrap_or_default(),
            body.number("run").unwrap_or(0),
        );
        let after_s = after.as_secs();
        self.record.line(format!(
            "{id}: leaves the order to start {task} run {run} unanswered, to carry it out {after_s} s later"
        ));
        let (shared, body) = (self.clone(), body.clone());
        thread::spawn(move || {
            thread::sleep(after);
            shared.with(|world| {
                if world.executors[index].alive {
                    let (status, reason) = world.start(&shared.record, index, &body);
                    shared.record.line(format!(
                        "{id}: carried the order out late: {status} {reason}"
                    ));
                }
            });
        });
        thread::sleep(Duration::from_secs(1));
        true
    }

    fn wait_for_end(&self, index: usize, life: u64, body: &Json) -> Option<String> {
        let wait = body.number("waitMs").unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut world = self.world.0.lock().ok()?;
        loop {
            let executor = &world.executors[index];
            if !executor.alive || executor.born_ms != life {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !executor.ends.is_empty() || left.is_zero() {
                return Some(world.lists(index));
            }
            world = self.world.1.wait_timeout(world, left).ok()?.0;
        }
    }
}

/// Sends a request and follows redirections; returns who has answered with success.
pub fn send_following(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<SocketAddr> {
    let mut to = to;
    for _ in 0..3 {
        let timeout = Duration::from_secs(1);
        match http::call(to, method, path, "control", body, timeout) {
            Ok((307, Some(location), _)) => {
                let rest = location.strip_prefix("http://")?;
                to = rest.split('/').next()?.parse().ok()?;
            }
            Ok((200..=299, ..)) => return Some(to),
            _ => return None,
        }
    }
    None
}
