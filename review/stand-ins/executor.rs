//! An executor that behaves as the users' pages say, with faults that a case switches on.
//!
//! The job's `spec` tells how long its tasks take: `ms=1700`, or `lasts` for tasks that last.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::json::Json;
use crate::record::Record;

/// Longest lease that is granted, `maxHoldMs`.
const MAX_HOLD: Duration = Duration::from_millis(10_000);

/// Running time of a task that lasts; longer than any case.
const DAY: Duration = Duration::from_secs(86_400);

/// Interval of heartbeats, `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What stays the same over the lives of an executor.
#[derive(Clone)]
pub struct Place {
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Addresses of the control programs, for heartbeats.
    pub control: Arc<Mutex<Vec<SocketAddr>>>,
}

/// One life of an executor.
pub struct Executor {
    pub id: String,
    pub place: Place,
    born: u64,
    started: Instant,
    open: Arc<AtomicBool>,
    /// Whether orders to start get 503, while heartbeats and lists stay good.
    pub refuses: AtomicBool,
    /// Whether orders to start get no answer, and are carried out late.
    pub delays_starts: AtomicBool,
    /// Whether nothing is sent or answered any more, while connections stay open.
    pub silent: AtomicBool,
    /// Whether a planned end is near.
    pub draining: AtomicBool,
    /// Whether the executor is cut off from the control programs.
    pub cut: AtomicBool,
    /// Number of heartbeats that were acknowledged.
    pub acknowledged: AtomicU64,
    state: Mutex<State>,
    /// The first order to start that was delayed.
    delayed: Mutex<Option<String>>,
    ended: Condvar,
    record: Arc<Record>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_end: Option<Instant>,
    running: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended here.
    highest: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

struct Run {
    started: Instant,
    ends_at: Instant,
    how: &'static str,
}

static LIVES: AtomicU64 = AtomicU64::new(1);

impl Executor {
    /// Starts a life, with a new id.
    pub fn start(place: Place, record: &Arc<Record>) -> Arc<Self> {
        let number = LIVES.fetch_add(1, Ordering::SeqCst);
        Self::start_as(format!("i-{number:08x}"), place, false, record)
    }

    /// Starts a life under a given id, which may have had one before; it may be cut off.
    pub fn start_as(id: String, place: Place, cut: bool, record: &Arc<Record>) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let listener = loop {
            match TcpListener::bind(place.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        let executor = Arc::new(Self {
            id,
            place,
            born: born.as_millis() as u64,
            started: Instant::now(),
            open: Arc::new(AtomicBool::new(true)),
            refuses: AtomicBool::new(false),
            delays_starts: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            cut: AtomicBool::new(cut),
            acknowledged: AtomicU64::new(0),
            state: Mutex::default(),
            delayed: Mutex::default(),
            ended: Condvar::new(),
            record: Arc::clone(record),
        });
        record.line(&format!(
            "executor {} starts at {}",
            executor.id, executor.place.address
        ));
        let server = Arc::clone(&executor);
        http::serve(listener, Arc::clone(&executor.open), move |request| {
            server.answer(&request)
        });
        let clock = Arc::clone(&executor);
        std::thread::spawn(move || {
            while clock.open.load(Ordering::SeqCst) {
                clock.advance(&mut clock.state.lock().expect("not poisoned"));
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        let beats = Arc::clone(&executor);
        std::thread::spawn(move || beats.announce());
        executor
    }

    /// Ends this life as a crash does: all that runs is gone, and nothing is answered any more.
    pub fn crash(&self) {
        self.open.store(false, Ordering::SeqCst);
        let mut state = self.state.lock().expect("not poisoned");
        let lost = std::mem::take(&mut state.running);
        let lost: Vec<_> = lost
            .into_keys()
            .map(|(task, run)| {
                self.record.ends(&task, run);
                format!("{task}#{run}")
            })
            .collect();
        self.record
            .line(&format!("executor {} ends, with {lost:?}", self.id));
    }

    /// The runs in progress, and for how long each has run.
    pub fn running(&self) -> Vec<(String, u64, Duration)> {
        let state = self.state.lock().expect("not poisoned");
        let runs = state.running.iter();
        runs.map(|((task, run), active)| (task.clone(), *run, active.started.elapsed()))
            .collect()
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn announce(&self) {
        let (mut sequence, mut next): (u64, Option<SocketAddr>) = (0, None);
        while self.open.load(Ordering::SeqCst) {
            if self.cut.load(Ordering::SeqCst) || self.silent.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            sequence += 1;
            let draining = self.draining.load(Ordering::SeqCst);
            let state = if draining {
                r#""draining","remainingMs":2000"#
            } else {
                r#""ready""#
            };
            let place = &self.place;
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":8,"state":{state},"coldRemainingMs":0,"capacity":{{"cpu":{},"memMb":{},"gpu":0}},"labels":["a","{}"],"clockMs":{},"seq":{sequence},"born":{}}}"#,
                place.service,
                place.address,
                place.zone,
                place.cpu,
                place.mem_mb,
                place.rack,
                self.clock_ms(),
                self.born
            );
            let path = format!("/v1/instances/{}/heartbeat", self.id);
            let nodes = self.place.control.lock().expect("not poisoned").clone();
            let mut acknowledged = false;
            for node in next.into_iter().chain(nodes) {
                if let Some(response) = crate::call_control(node, "POST", &path, &body)
                    && response.status == 200
                {
                    let named = Json::parse(&response.body);
                    let named = named
                        .as_ref()
                        .and_then(|body| body.text("heartbeatAddr")?.parse().ok());
                    next = named.or(next);
                    acknowledged = true;
                    self.acknowledged.fetch_add(1, Ordering::SeqCst);
                    if draining {
                        let id = &self.id;
                        self.record
                            .line(&format!("executor {id}: draining is acknowledged"));
                    }
                    break;
                }
                next = None;
            }
            let pause = if acknowledged {
                HEARTBEAT
            } else {
                Duration::from_millis(300)
            };
            let until = Instant::now() + pause;
            let changes = || self.draining.load(Ordering::SeqCst) != draining;
            while Instant::now() < until && !changes() {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// The path and the body of the announcement that this life leaves.
    pub fn leave(&self) -> (String, String) {
        let path = format!("/v1/instances/{}/leave", self.id);
        (path, format!(r#"{{"born":{}}}"#, self.born))
    }

    /// Ends the runs that are over, and all runs when the lease has expired.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let expired = state.lease_end.is_some_and(|end| end <= now);
        let over = state
            .running
            .iter()
            .filter(|(_, run)| expired || run.ends_at <= now);
        let over: Vec<_> = over
            .map(|(key, run)| {
                (
                    key.clone(),
                    if run.ends_at <= now {
                        run.how
                    } else {
                        "lapsed"
                    },
                )
            })
            .collect();
        if expired {
            state.lease_end = None;
        }
        for ((task, number), how) in over {
            state.running.remove(&(task.clone(), number));
            self.record.ends(&task, number);
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(number);
            state.last_end += 1;
            self.record
                .line(&format!("executor {}: {task}#{number} ends {how}", self.id));
            state.ends.push((state.last_end, task, number, how));
            self.ended.notify_all();
        }
    }

    /// Ends the run of a task as failed by the task's own fault.
    pub fn fail(&self, task: &str) {
        let mut state = self.state.lock().expect("not poisoned");
        for ((name, _), run) in &mut state.running {
            if name == task {
                run.ends_at = Instant::now();
                run.how = "failed";
            }
        }
        self.advance(&mut state);
    }

    /// The body of the first order to start that was delayed.
    pub fn delayed(&self) -> Option<String> {
        self.delayed.lock().expect("not poisoned").clone()
    }

    /// Carries out an order to start that was delayed on its way, whose answer nobody awaits.
    pub fn carry_out_late(&self, order: &str) {
        let answer = Json::parse(order).map(|body| self.start_run(&body));
        self.record.line(&format!(
            "executor {}: the delayed order -> {answer:?}",
            self.id
        ));
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        while self.silent.load(Ordering::SeqCst) && self.open.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        if request.method == "GET" {
            return Some((200, "{}".into()));
        }
        if request
            .headers
            .get("expect-instance")
            .is_some_and(|id| *id != self.id)
        {
            return Some((421, self.clock_body()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, self.clock_body()));
        };
        match request.path.as_str() {
            "/v1/run-start" if self.delays_starts.load(Ordering::SeqCst) => {
                let mut delayed = self.delayed.lock().expect("not poisoned");
                delayed.get_or_insert_with(|| request.body.clone());
                drop(delayed);
                while self.open.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                None
            }
            "/v1/run-start" => Some(self.start_run(&body)),
            "/v1/run-stop" => Some(self.stop_run(&body)),
            "/v1/hold" => Some(self.hold(&body)),
            _ => Some((404, self.clock_body())),
        }
    }

    fn clock_body(&self) -> String {
        format!(r#"{{"clockMs":{}}}"#, self.clock_ms())
    }

    fn rejection(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, self.clock_ms()),
        )
    }

    /// Checks the fence and extends the lease; false if the fence is too low.
    fn accept(&self, state: &mut State, body: &Json) -> bool {
        let fence = body.number("fencingToken").unwrap_or(0);
        if fence < state.fence {
            return false;
        }
        state.fence = fence;
        if let Some(deadline) = body.number("deadlineMs") {
            let left = Duration::from_millis(deadline.saturating_sub(self.clock_ms()));
            let end = Instant::now() + left.min(MAX_HOLD);
            if !left.is_zero() {
                state.lease_end = state.lease_end.max(Some(end));
            }
        }
        true
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let (Some(task), Some(number), Some(spec)) =
            (body.text("task"), body.number("run"), body.text("spec"))
        else {
            return (400, self.clock_body());
        };
        if self.refuses.load(Ordering::SeqCst) {
            self.record.line(&format!(
                "executor {}: start of {task}#{number} gets 503",
                self.id
            ));
            return (503, self.clock_body());
        }
        let mut state = self.state.lock().expect("not poisoned");
        self.advance(&mut state);
        if !self.accept(&mut state, body) {
            return self.rejection("fence");
        }
        let key = (task.to_owned(), number);
        if state.running.contains_key(&key) {
            return (200, self.clock_body());
        }
        if state
            .highest
            .get(task)
            .is_some_and(|highest| number <= *highest)
        {
            return self.rejection("old");
        }
        let late = body
            .number("deadlineMs")
            .is_none_or(|deadline| deadline <= self.clock_ms());
        if late && state.lease_end.is_none() {
            return self.rejection("late");
        }
        let lasts = spec
            .split(';')
            .find_map(|part| part.strip_prefix("ms=")?.parse().ok());
        let time = Duration::from_millis(lasts.unwrap_or(1_000));
        let time = if spec == "lasts" { DAY } else { time };
        let started = Instant::now();
        let ends_at = started + time;
        state.running.insert(
            key,
            Run {
                started,
                ends_at,
                how: "done",
            },
        );
        self.record
            .line(&format!("executor {}: {task}#{number} starts", self.id));
        self.record.starts(task, number);
        (200, self.clock_body())
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let (Some(task), Some(number)) = (body.text("task"), body.number("run")) else {
            return (400, self.clock_body());
        };
        let mut state = self.state.lock().expect("not poisoned");
        self.advance(&mut state);
        if !self.accept(&mut state, body) {
            return self.rejection("fence");
        }
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(number);
        if let Some(run) = state.running.get_mut(&(task.to_owned(), number)) {
            run.ends_at = Instant::now() + Duration::from_millis(50);
            run.how = "stopped";
        }
        self.record
            .line(&format!("executor {}: {task}#{number} is to stop", self.id));
        (200, self.clock_body())
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().expect("not poisoned");
        self.advance(&mut state);
        if !self.accept(&mut state, body) {
            return self.rejection("fence");
        }
        let seen = body.number("lastSeen").unwrap_or(0);
        state.ends.retain(|(number, ..)| *number > seen);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
        if state.ends.is_empty() && !wait.is_zero() {
            let waited = self
                .ended
                .wait_timeout_while(state, wait, |state| state.ends.is_empty());
            state = waited.expect("not poisoned").0;
        }
        let now = Instant::now();
        let running = state.running.iter().map(|((task, number), run)| {
            let total = run.ends_at.saturating_duration_since(run.started);
            let done = now.saturating_duration_since(run.started);
            let percent = if total >= DAY {
                // At work after a short startup.
                if done.as_millis() > 300 { 100 } else { 0 }
            } else {
                (done.as_millis() * 100 / total.as_millis().max(1)).min(99)
            };
            format!(r#"["{task}",{number},"",{percent},1000]"#)
        });
        let running: Vec<_> = running.collect();
        let ends = state.ends.iter().take(500);
        let ends =
            ends.map(|(end, task, number, how)| format!(r#"[{end},"{task}",{number},"{how}",""]"#));
        let ends: Vec<_> = ends.collect();
        let lists = format!(
            r#"{{"clockMs":{},"born":{},"running":[{}],"finished":[{}]}}"#,
            self.clock_ms(),
            self.born,
            running.join(","),
            ends.join(",")
        );
        (200, lists)
    }
}
