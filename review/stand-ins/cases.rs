//! The cases.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::executor::Executor;
use crate::installation::Installation;
use crate::json::Json;
use crate::record::Record;

/// Jobs that are handed in for 3 s, 55 a second.
const JOBS: u32 = 165;

/// Estimate of a task, in milliseconds.
const ESTIMATE_MS: u32 = 640;

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub fn job(payload: &str, count: u32, cpu: u32, estimate_ms: u32) -> String {
    format!(
        r#"{{"spec":"{payload}","steps":[{{"count":{count},"cpu":{cpu},"memMb":1024,"estimateMs":{estimate_ms}}}]}}"#
    )
}

/// Starts an installation that serves, with `executors` executors.
pub fn ready(
    record: &Arc<Record>,
    entries: u8,
    executors: u8,
) -> Result<(Installation, Vec<Arc<Executor>>), String> {
    let installation = Installation::start(record, entries).map_err(|error| error.to_string())?;
    if !installation.configure(2) {
        return Err("the configuration is not acknowledged".into());
    }
    let executors = installation.executors(executors);
    if !installation.until(seconds(15.0), || installation.is_ready()) {
        return Err("the entries are not ready".into());
    }
    std::thread::sleep(seconds(2.0));
    Ok((installation, executors))
}

pub fn state_of(answer: Option<crate::http::Response>) -> Option<String> {
    let answer = answer.filter(|answer| answer.status == 200)?;
    Json::parse(&answer.body)?.text("state").map(str::to_owned)
}

/// The three core machines are replaced one after the other, the leading one last. Then the jobs
/// that were accepted before are asked for.
pub fn core_replaced(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let (mut installation, _executors) = ready(record, 2, 8)?;
    let id = "5c0e7a21d94b36f8";
    let accepted = installation.client(0, "POST", id, &job("ms=500", 4, 1_000, 500));
    if accepted.is_none_or(|answer| answer.status != 200) {
        return Err("the first job is not accepted".into());
    }
    std::thread::sleep(seconds(3.0));
    if state_of(installation.client(0, "GET", id, "")).as_deref() != Some("completed") {
        return Err("the first job is not completed".into());
    }
    if trouble {
        let leader = installation.leader().ok_or("no control program leads")?;
        record.line(&format!("{leader} leads"));
        let mut originals: Vec<_> = installation
            .controls
            .iter()
            .map(|program| program.ip)
            .collect();
        originals.sort_by_key(|ip| *ip == leader);
        for (ip, successor) in originals.into_iter().zip(14..) {
            if installation
                .controls
                .iter()
                .all(|program| program.ip != leader)
            {
                return Err("the leading machine has changed".into());
            }
            // The new machine comes first, empty; catchUpS is 4 s.
            installation
                .start_control(successor, false)
                .map_err(|error| error.to_string())?;
            std::thread::sleep(seconds(6.0));
            if installation.leader().is_none_or(|now| now != leader) {
                return Err("another machine leads".into());
            }
            installation.remove_control(ip);
            std::thread::sleep(seconds(6.0));
        }
    } else {
        std::thread::sleep(seconds(10.0));
    }
    // recoveryS is 12 s, finish_s 14 s.
    let recovered = installation.until(seconds(14.0), || installation.leader().is_some());
    record.line(&format!("a control program leads: {recovered}"));
    let deadline = Instant::now() + seconds(14.0);
    while Instant::now() < deadline {
        for entry in 0..2 {
            if state_of(installation.client(entry, "GET", id, "")).as_deref() == Some("completed") {
                return Ok(Outcome::Held);
            }
        }
        std::thread::sleep(seconds(0.5));
    }
    Ok(Outcome::Broken)
}

/// The executor that runs the only task of a job crashes, five times in all, one executor of eight
/// at a time. No run of the task has failed.
pub fn crashes(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let (installation, mut executors) = ready(record, 1, 8)?;
    let id = "5c0e7a21d94b36f8";
    let accepted = installation.client(0, "POST", id, &job("ms=3000", 1, 3_800, 3_000));
    if accepted.is_none_or(|answer| answer.status != 200) {
        return Err("the job is not accepted".into());
    }
    for _ in 0..if trouble { 5 } else { 0 } {
        let runs_for = |executor: &Arc<Executor>| {
            executor
                .running()
                .first()
                .is_some_and(|(_, _, time)| *time > seconds(1.0))
        };
        let until = Instant::now() + seconds(15.0);
        let index = loop {
            if let Some(index) = executors.iter().position(runs_for) {
                break index;
            }
            if Instant::now() > until {
                return Err("the task does not run".into());
            }
            std::thread::sleep(seconds(0.02));
        };
        let place = executors[index].place.clone();
        executors[index].crash();
        std::thread::sleep(seconds(3.5));
        executors[index] = Executor::start(place, record);
    }
    let until = Instant::now() + seconds(20.0);
    while Instant::now() < until {
        match state_of(installation.client(0, "GET", id, "")).as_deref() {
            Some("completed") => return Ok(Outcome::Held),
            Some("failed") => return Ok(Outcome::Broken),
            _ => std::thread::sleep(seconds(0.5)),
        }
    }
    Err("the job does not end".into())
}

/// An executor ends as planned and starts again under its id. Its last call, that it leaves, is held
/// up by a cut of 5.5 s and arrives after the cut, when the next life has work.
pub fn late_leave(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let (installation, mut executors) = ready(record, 1, 8)?;
    let old = executors.pop().ok_or("there is no executor")?;
    let leader = installation.leader().ok_or("no control program leads")?;
    let leader = Installation::control_address(leader);
    let before = old.acknowledged.load(Ordering::SeqCst);
    old.draining.store(true, Ordering::SeqCst);
    if !installation.until(seconds(3.0), || {
        old.acknowledged.load(Ordering::SeqCst) > before
    }) {
        return Err("draining is not acknowledged".into());
    }
    // drainMs is 2 s.
    std::thread::sleep(seconds(2.2));
    let (path, body) = old.leave();
    let held = Arc::new(AtomicBool::new(true));
    if trouble {
        record.line(&format!(
            "executor {} is cut off from the control programs",
            old.id
        ));
        old.cut.store(true, Ordering::SeqCst);
        let link =
            TcpListener::bind((installation.ip(240), 0)).map_err(|error| error.to_string())?;
        let address = link.local_addr().map_err(|error| error.to_string())?;
        let notes = Arc::clone(record);
        crate::http::hold_up(link, leader, Arc::clone(&held), move |bytes| {
            notes.line(&format!(
                "the {bytes} bytes that were held up reach the leading machine"
            ));
        });
        let answer = crate::http::call(address, "POST", &path, &[], &body, seconds(1.0));
        record.line(&format!(
            "executor {}: POST {path} {body} -> {answer:?}",
            old.id
        ));
    } else {
        let answer = crate::call_control(leader, "POST", &path, &body);
        let status = answer.map(|answer| answer.status);
        record.line(&format!(
            "executor {}: POST {path} {body} -> {status:?}",
            old.id
        ));
    }
    if trouble {
        // Without an acknowledgement it ends anyway, some seconds later.
        std::thread::sleep(seconds(2.0));
    }
    old.crash();
    std::thread::sleep(seconds(0.5));
    let new = Executor::start_as(old.id.clone(), old.place.clone(), trouble, record);
    std::thread::sleep(seconds(2.0));
    if trouble {
        record.line("the cut is over");
    }
    new.cut.store(false, Ordering::SeqCst);
    if !installation.until(seconds(4.0), || new.acknowledged.load(Ordering::SeqCst) > 0) {
        return Err("the next life is not acknowledged".into());
    }
    // One task that ends soon, and seven that last longer; each executor holds one of them.
    let short = job("ms=5000", 1, 20_000, 5_000);
    let long = job("ms=20000", 7, 20_000, 20_000);
    for (id, job) in [("1111111111111111", short), ("2222222222222222", long)] {
        let accepted = installation.client(0, "POST", id, &job);
        if accepted.is_none_or(|answer| answer.status != 200) {
            return Err("a job is not accepted".into());
        }
    }
    if !installation.until(seconds(3.0), || !new.running().is_empty()) {
        return Err("the next life gets no task".into());
    }
    std::thread::sleep(seconds(2.0));
    held.store(false, Ordering::SeqCst);
    std::thread::sleep(seconds(8.0));
    Ok(if record.twice() > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Clients hand in jobs for 3 s, of which one in twenty takes 6.5 times as long as estimated. Then
/// nothing else comes, and all executors are sound and nearly idle.
pub fn long_jobs(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let (installation, executors) = ready(record, 2, 8)?;
    let accepted: Mutex<Vec<(String, bool)>> = Mutex::default();
    std::thread::scope(|scope| {
        let started = Instant::now();
        for number in 0..JOBS {
            let due = started + seconds(f64::from(number) * 3.0 / f64::from(JOBS));
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let (installation, accepted) = (&installation, &accepted);
            scope.spawn(move || {
                let id = format!("5c0e7a21d94b{number:04x}");
                let is_long = trouble && number % 20 == 10;
                let ms = if is_long {
                    13 * ESTIMATE_MS / 2
                } else {
                    ESTIMATE_MS
                };
                let body = job(&format!("ms={ms}"), 6, 1_800, ESTIMATE_MS);
                // A refused client comes back as long as the traffic lasts.
                while started.elapsed() < seconds(6.0) {
                    let answer = installation.client(number as usize % 2, "POST", &id, &body);
                    if answer.is_some_and(|answer| answer.status == 200) {
                        accepted.lock().expect("not poisoned").push((id, is_long));
                        return;
                    }
                    std::thread::sleep(seconds(1.0));
                }
            });
        }
    });
    let accepted = accepted.into_inner().expect("not poisoned");
    let long = accepted.iter().filter(|(_, is_long)| *is_long).count();
    record.line(&format!(
        "{} jobs are accepted, {long} of them long",
        accepted.len()
    ));
    // finish_s is 14 s after the end of the traffic.
    std::thread::sleep(seconds(14.0));
    let mut open = BTreeSet::new();
    for (id, _) in &accepted {
        if state_of(installation.client(0, "GET", id, "")).as_deref() != Some("completed") {
            open.insert(id.clone());
        }
    }
    record.line(&format!(
        "{} jobs are not completed after finish_s",
        open.len()
    ));
    // Which of these jobs have nothing running for 3 s, and how much of the capacity is in use?
    let (mut idle, mut most_used) = (open, 0);
    let until = Instant::now() + seconds(3.0);
    while Instant::now() < until {
        let runs = executors.iter().flat_map(|executor| executor.running());
        let runs: Vec<_> = runs.collect();
        most_used = most_used.max(runs.len());
        let is_running = |id: &String| runs.iter().any(|(task, ..)| task.starts_with(id.as_str()));
        idle.retain(|id| !is_running(id));
        std::thread::sleep(seconds(0.005));
    }
    record.line(&format!(
        "for 3 s, {} jobs have nothing running, and at most {most_used} tasks of 1.8 cores run on \
         8 executors of 32 cores: {idle:?}",
        idle.len()
    ));
    // Each of them still waits, by what clients are shown.
    idle.retain(|id| state_of(installation.client(0, "GET", id, "")).as_deref() == Some("running"));
    Ok(if idle.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
