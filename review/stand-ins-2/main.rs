//! Scenarios of the cases of this review: `stand-ins CASE RECORD`, run in the repository's root.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
//! With `TROUBLE=0` the disruption is left out.

mod http;
mod json;
mod record;
mod system;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use record::Record;
use system::{System, SERVICE};
use world::{Executor, Shared, StepKind};

/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

/// An installation with its executors, platform and configuration.
struct Stage {
    record: Record,
    shared: Shared,
    system: System,
    trouble: bool,
}

impl Stage {
    fn set_up(record: &Record, executors: usize, max_attempts: u32) -> Result<Self, String> {
        let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
        let trouble = !trouble;
        record.line(format!("disruption: {trouble}"));
        let system = System::start(record)?;
        let zones = ["zone-a", "zone-b", "zone-c"];
        let executors = (0..executors).map(|number| {
            let address = format!("{}.{}:8080", system.net, 100 + number);
            let address = address.parse().expect("an address");
            Executor::new(number, address, zones[number % 3])
        });
        let shared = Shared::new(SERVICE, executors.collect(), record);
        system.serve_platform(&shared)?;
        let listening = shared.run(&system.control, Duration::from_millis(1_500));
        listening.map_err(|error| error.to_string())?;
        system.configure(record, max_attempts)?;
        thread::sleep(Duration::from_secs(5));
        Ok(Self {
            record: record.clone(),
            shared,
            system,
            trouble,
        })
    }

    /// Hands in a job of one step.
    fn submit(&self, id: &str, step: &StepKind, more: &str) -> Result<(), String> {
        let named = format!("{}.0.0", id.to_lowercase());
        self.shared
            .with(|world| world.steps.insert(named, step.clone()));
        let mut body = format!(
            "{{\"spec\":\"text of {id}\",\"steps\":[{{\"count\":{},\"cpu\":2000,\"memMb\":1024,\
             \"estimateMs\":{}",
            step.count,
            step.work.as_millis()
        );
        if step.checkpointing {
            body.push_str(",\"checkpointing\":true");
        }
        if step.lasts {
            body.push_str(",\"longRunning\":true");
        }
        if step.gang {
            body.push_str(",\"gang\":true");
        }
        body.push_str(more);
        body.push_str("}]}");
        self.system.submit(&self.record, id, &body)
    }

    /// Waits until `found` returns something, at most for `most`.
    fn wait<T>(&self, most: Duration, found: impl Fn(&world::World) -> Option<T>) -> Option<T> {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if let Some(value) = self.shared.with(|world| found(world)) {
                return Some(value);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Asks for the state of a job until it has ended, at most for `most`.
    fn await_end(&self, id: &str, most: Duration) -> String {
        let until = Instant::now() + most;
        let mut last = String::from("unknown");
        while Instant::now() < until {
            if let Some(state) = self.system.state(&self.record, id) {
                last = state;
            }
            if ["completed", "failed", "cancelled"].contains(&last.as_str()) {
                break;
            }
            thread::sleep(Duration::from_millis(1_000));
        }
        last
    }
}

/// A gang whose tasks save checkpoints loses one member with its executor.
fn gang_checkpoint(record: &Record) -> Result<bool, String> {
    let stage = Stage::set_up(record, 8, 2)?;
    let id = "5c0e7a21d94b36f8";
    let work = Duration::from_secs(6);
    let step = StepKind {
        count: 3,
        work,
        gang: true,
        checkpointing: true,
        lasts: false,
    };
    stage.submit(id, &step, ",\"antiAffinity\":1")?;
    let started = stage.wait(Duration::from_secs(20), |world| {
        let starts = world.events.iter().filter(|event| event.what == "start");
        let starts: Vec<_> = starts.map(|event| event.executor.clone()).collect();
        (starts.len() >= 3).then(|| starts[0].clone())
    });
    let first = started.ok_or("the gang did not start")?;
    thread::sleep(Duration::from_millis(2_700));
    let crashed_at = stage.record.now();
    if stage.trouble {
        stage
            .shared
            .with(|world| world.crash(&stage.record, &first));
    }
    let state = stage.await_end(id, Duration::from_secs(60));
    let events = stage.shared.with(|world| world.events.clone());
    let mut runs: BTreeMap<u32, (Duration, BTreeSet<String>, usize)> = BTreeMap::new();
    for event in &events {
        let run = runs
            .entry(event.run)
            .or_insert((event.at, BTreeSet::new(), 0));
        if event.what == "start" {
            run.1.insert(event.checkpoint.clone());
        }
        run.2 += usize::from(event.what == "alone");
    }
    let mut broken = false;
    for (number, (at, checkpoints, alone)) in runs {
        // Runs that have begun within `contactMs` of the crash are excused.
        let excused = stage.trouble && at < crashed_at + CONTACT;
        record.line(format!(
            "run {number} of the gang, begun at {:.3} s: started with the checkpoints {checkpoints:?}; \
             {alone} members ended `alone`{}",
            at.as_secs_f64(),
            if excused { ", excused" } else { "" }
        ));
        broken |= alone > 0 && !excused;
    }
    record.line(format!("at the end the job is shown as {state}"));
    stage.system.keep_logs_if_asked();
    Ok(broken || state != "completed")
}

/// One worker fails all that it starts, among them all tasks of a gang.
fn gang_attempts(record: &Record) -> Result<bool, String> {
    let stage = Stage::set_up(record, 12, 2)?;
    // Tasks are packed: the next ones go to the executor that has one already, which turns bad.
    let work = Duration::from_secs(60);
    let first = StepKind {
        count: 1,
        work,
        gang: false,
        checkpointing: false,
        lasts: false,
    };
    stage.submit("00000000000000a1", &first, "")?;
    let busy = stage.wait(Duration::from_secs(20), |world| {
        let mut starts = world.events.iter().filter(|event| event.what == "start");
        starts.next().map(|event| event.executor.clone())
    });
    let bad = busy.ok_or("the first job did not start")?;
    thread::sleep(Duration::from_secs(2));
    if stage.trouble {
        record.line(format!(
            "{bad}: fails all that it starts from now on, for 6.5 s"
        ));
        stage.shared.with(|world| {
            let executor = world
                .executors
                .iter_mut()
                .find(|executor| executor.id == bad);
            let now = Some(Instant::now());
            executor
                .into_iter()
                .for_each(|executor| executor.fails_since = now);
        });
    }
    let turned_at = Instant::now();
    let id = "5c0e7a21d94b36f8";
    let work = Duration::from_secs(2);
    let gang = StepKind {
        count: 4,
        work,
        gang: true,
        checkpointing: false,
        lasts: false,
    };
    stage.submit(id, &gang, "")?;
    while turned_at.elapsed() < Duration::from_millis(6_500) {
        thread::sleep(Duration::from_millis(50));
    }
    stage.shared.with(|world| {
        world
            .executors
            .iter_mut()
            .for_each(|executor| executor.fails_since = None);
    });
    let state = stage.await_end(id, Duration::from_secs(30));
    let events = stage.shared.with(|world| world.events.clone());
    let failed: Vec<_> = events
        .iter()
        .filter(|event| event.task.starts_with(id) && event.what == "failed")
        .map(|event| event.run)
        .collect();
    let attempts: BTreeSet<_> = failed.iter().collect();
    record.line(format!(
        "the job is shown as {state}; {} tasks of its gang ended `failed`, in the runs {attempts:?} of \
         the gang; maxAttempts is 2",
        failed.len()
    ));
    stage.system.keep_logs_if_asked();
    Ok(state == "failed" && attempts.len() < 2)
}

/// An order is carried out late, by the next life of an executor that was cut off and crashed meanwhile.
fn late_order(record: &Record) -> Result<bool, String> {
    let stage = Stage::set_up(record, 8, 2)?;
    let id = "5c0e7a21d94b36f8";
    let work = Duration::from_secs(20);
    let step = StepKind {
        count: 1,
        work,
        gang: false,
        checkpointing: false,
        lasts: false,
    };
    // Other orders, which are answered: one of 26 is not, which is less than a share of 0.055.
    let short = StepKind {
        work: Duration::from_millis(100),
        ..step.clone()
    };
    for number in 0..24 {
        stage.submit(&format!("00000000000000{number:02x}"), &short, "")?;
    }
    thread::sleep(Duration::from_secs(1));
    if stage.trouble {
        stage
            .shared
            .with(|world| world.carry_out_late(Duration::from_secs(10)));
    }
    stage.submit(id, &step, "")?;
    let started = stage.wait(Duration::from_secs(20), |world| {
        let starts = world.events.iter().filter(|event| event.what == "start");
        let mut of_job = starts.filter(|event| event.task.starts_with(id));
        of_job.next().map(|event| event.executor.clone())
    });
    let first = started.ok_or("the job did not start")?;
    stage.shared.with(|world| world.carry_out_at_once());
    thread::sleep(Duration::from_millis(1_500));
    if stage.trouble {
        stage
            .shared
            .with(|world| world.set_cut(record, &first, true));
        thread::sleep(Duration::from_millis(1_000));
        stage.shared.with(|world| world.crash(record, &first));
        thread::sleep(Duration::from_millis(1_000));
        stage.shared.with(|world| world.restart(record, &first));
        thread::sleep(Duration::from_millis(3_500));
        stage
            .shared
            .with(|world| world.set_cut(record, &first, false));
    }
    let mut broken = false;
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        let running = stage.shared.with(|world| world.running(id));
        if running.len() > 1 && !broken {
            record.line(format!(
                "two runs at the same time, on executors that are up: {running:?}"
            ));
            broken = true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let state = stage.system.state(record, id);
    record.line(format!("the job is shown as {state:?}"));
    stage.system.keep_logs_if_asked();
    Ok(broken)
}

/// An order is carried out late, by the next life of an executor that crashed after the run was done. A
/// finding without a case.
fn late_after_done(record: &Record) -> Result<bool, String> {
    let stage = Stage::set_up(record, 8, 2)?;
    let id = "5c0e7a21d94b36f8";
    let work = Duration::from_secs(2);
    let step = StepKind {
        count: 1,
        work,
        gang: false,
        checkpointing: false,
        lasts: false,
    };
    if stage.trouble {
        stage
            .shared
            .with(|world| world.carry_out_late(Duration::from_secs(10)));
    }
    stage.submit(id, &step, "")?;
    let started = stage.wait(Duration::from_secs(20), |world| {
        let mut starts = world.events.iter().filter(|event| event.what == "start");
        starts.next().map(|event| event.executor.clone())
    });
    let first = started.ok_or("the job did not start")?;
    stage.shared.with(|world| world.carry_out_at_once());
    thread::sleep(Duration::from_secs(4));
    let state = stage.system.state(record, id);
    if stage.trouble {
        stage.shared.with(|world| world.crash(record, &first));
        thread::sleep(Duration::from_secs(2));
        stage.shared.with(|world| world.restart(record, &first));
    }
    thread::sleep(Duration::from_secs(12));
    let events = stage.shared.with(|world| world.events.clone());
    let done = events
        .iter()
        .find(|event| event.what == "done")
        .map(|event| event.at);
    let again = events
        .iter()
        .filter(|event| event.what == "start" && done.is_some_and(|at| event.at > at))
        .count();
    record.line(format!(
        "the job was shown as {state:?}; {again} starts after its task was done"
    ));
    Ok(again > 0)
}

/// Jobs are placed on an executor that has just crashed, and clients ask how many wait.
fn pending_count(record: &Record) -> Result<bool, String> {
    let stage = Stage::set_up(record, 8, 2)?;
    let long = StepKind {
        count: 1,
        work: Duration::from_secs(90),
        gang: false,
        checkpointing: false,
        lasts: false,
    };
    stage.submit("00000000000000a1", &long, "")?;
    let busy = stage.wait(Duration::from_secs(20), |world| {
        let mut starts = world.events.iter().filter(|event| event.what == "start");
        starts.next().map(|event| event.executor.clone())
    });
    let busy = busy.ok_or("the first job did not start")?;
    thread::sleep(Duration::from_secs(2));
    if stage.trouble {
        stage.shared.with(|world| world.go_dark(record, &busy));
    }
    let ids: Vec<_> = (1..=6)
        .map(|number| format!("5c0e7a21d94b360{number}"))
        .collect();
    let step = StepKind {
        count: 1,
        work: Duration::from_secs(1),
        gang: false,
        checkpointing: false,
        lasts: false,
    };
    for id in &ids {
        stage.submit(id, &step, "")?;
    }
    let accepted_at = record.now();
    // `visible_ms` + 2 s.
    let visible = Duration::from_millis(5_000);
    let mut broken = 0;
    while record.now() < accepted_at + Duration::from_secs(30) {
        thread::sleep(Duration::from_millis(250));
        if record.now() < accepted_at + visible + Duration::from_millis(50) {
            continue;
        }
        let Some((200, body)) = stage.system.client(record, "GET", "", "") else {
            continue;
        };
        let told = json::Json::parse(&body).and_then(|body| body.number("pending"));
        let told = told.ok_or("no number of pending jobs")?;
        // Those that have not begun when the answer is there had not when the request was sent.
        let begun: BTreeSet<_> = stage.shared.with(|world| {
            let starts = world.events.iter().filter(|event| event.what == "start");
            starts.map(|event| event.task[..16].to_owned()).collect()
        });
        let waiting = ids.iter().filter(|id| !begun.contains(*id)).count() as u64;
        if waiting == 0 {
            break;
        }
        if told * 2 < waiting {
            broken += 1;
            record.line(format!(
                "{told} jobs are said to wait; {waiting} have waited for over 5 s"
            ));
        }
    }
    stage.system.keep_logs_if_asked();
    Ok(broken > 0)
}

/// Clients hand in nightly jobs for a year, and the platform holds the processes to their memory.
fn nightly_jobs(record: &Record) -> Result<bool, String> {
    const NIGHTS: u32 = 365;
    const TASKS: u32 = 10;
    const JOBS: u32 = 700;
    let mut stage = Stage::set_up(record, 8, 2)?;
    let nights = if stage.trouble { NIGHTS } else { 1 };
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = now.map_err(|error| error.to_string())?.as_millis() as u64;
    let first = now + 86_400_000;
    let until = Instant::now() + Duration::from_secs(50);
    let mut accepted = 0;
    for number in 0..JOBS {
        let id = format!("5c0e7a21{number:08x}");
        let body = format!(
            "{{\"spec\":\"nightly\",\"times\":{nights},\"startAtMs\":{first},\"intervalMs\":86400000,\
             \"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\"memMb\":512,\"estimateMs\":2000}}]}}"
        );
        let mut stored = false;
        while !stored && Instant::now() < until {
            stage.system.enforce_memory(record)?;
            stored = matches!(
                stage.system.client(record, "POST", &id, &body),
                Some((200, _))
            );
            thread::sleep(Duration::from_millis(if stored { 80 } else { 300 }));
        }
        accepted += u32::from(stored);
    }
    record.line(format!(
        "{accepted} jobs accepted, and no more are sent; memory by host {:?}",
        stage.system.memory_mb()
    ));
    let end = Instant::now() + Duration::from_secs(14);
    while Instant::now() < end {
        stage.system.enforce_memory(record)?;
        thread::sleep(Duration::from_millis(50));
    }
    let kills = &stage.system.kills;
    let often = kills.values().filter(|count| **count >= 3).count();
    record.line(format!(
        "{accepted} jobs accepted; times that the process of each control host had more than {} MB: \
         {kills:?}; three times or more on {often} of 3",
        system::MEMORY_MB
    ));
    stage.system.keep_logs_if_asked();
    // Half of the core, rounded up.
    Ok(often >= 2)
}

impl System {
    fn keep_logs_if_asked(&self) {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            self.keep_logs(Path::new(&folder));
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "gang-checkpoint" => gang_checkpoint(&record),
        "gang-attempts" => gang_attempts(&record),
        "pending-count" => pending_count(&record),
        "nightly-jobs" => nightly_jobs(&record),
        "late-after-done" => late_after_done(&record),
        "late-order" => late_order(&record),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(true) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.line(format!("result: the case could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
