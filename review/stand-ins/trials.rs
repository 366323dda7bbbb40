//! Trials that REPORT.md names: findings without a place among the cases.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::Outcome;
use crate::cases::{job, ready, seconds};
use crate::executor::Executor;
use crate::json::Json;
use crate::record::Record;

/// Seven of eight executors are full. The eighth answers orders to start with 503 for 6.5 s, in
/// which a job waits that has begun nowhere.
pub fn pending(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let (installation, executors) = ready(record, 1, 8)?;
    for number in 0..7 {
        let id = format!("5c0e7a21d94b36f{number}");
        let accepted = installation.client(0, "POST", &id, &job("ms=12000", 1, 32_000, 12_000));
        if accepted.is_none_or(|answer| answer.status != 200) {
            return Err("a job is not accepted".into());
        }
    }
    let full = || {
        executors
            .iter()
            .filter(|executor| !executor.running().is_empty())
            .count()
            == 7
    };
    if !installation.until(seconds(3.0), full) {
        return Err("the first jobs do not run".into());
    }
    let last = executors
        .iter()
        .find(|executor| executor.running().is_empty());
    let last = last.ok_or("no executor is free")?;
    if trouble {
        record.line(&format!(
            "executor {} answers orders to start with 503",
            last.id
        ));
        last.refuses.store(true, Ordering::SeqCst);
    } else {
        // The eighth executor is full as well, so that the job waits without having been tried.
        let accepted = installation.client(
            0,
            "POST",
            "5c0e7a21d94b36f7",
            &job("ms=9000", 1, 32_000, 9_000),
        );
        if accepted.is_none_or(|answer| answer.status != 200) {
            return Err("a job is not accepted".into());
        }
        std::thread::sleep(seconds(1.0));
    }
    let id = "aaaaaaaaaaaaaaaa";
    // Stretch and target leave room for a wait: 1.6 x 12 s.
    let accepted = installation.client(0, "POST", id, &job("ms=1000", 1, 32_000, 12_000));
    if accepted.is_none_or(|answer| answer.status != 200) {
        return Err("the job is not accepted".into());
    }
    // visible_ms + 2 s are 5 s.
    std::thread::sleep(seconds(5.4));
    let began = executors.iter().flat_map(|executor| executor.running());
    if began.into_iter().any(|(task, ..)| task.starts_with(id)) {
        return Err("the job has begun".into());
    }
    let answer = installation
        .client(0, "GET", "", "")
        .filter(|answer| answer.status == 200);
    let answer = answer.ok_or("the number of pending jobs is not given")?;
    let shown = Json::parse(&answer.body).and_then(|body| body.number("pending"));
    let shown = shown.ok_or("the answer has no number")?;
    record.line(&format!("1 job is pending, and {shown} are shown"));
    last.refuses.store(false, Ordering::SeqCst);
    Ok(if shown == 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// An idle executor is lost for good, in silence. A lasting task that fails at that time is started
/// there, and runs again only much later, although its former executor is free.
pub fn lasting(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let (installation, executors) = ready(record, 1, 8)?;
    let body = r#"{"spec":"lasts","steps":[{"count":7,"cpu":2600,"memMb":1024,"estimateMs":700,"antiAffinity":1,"longRunning":true,"mayMiss":1}]}"#;
    let accepted = installation.client(0, "POST", "5c0e7a21d94b36f8", body);
    if accepted.is_none_or(|answer| answer.status != 200) {
        return Err("the job is not accepted".into());
    }
    let is_busy = |executor: &&Arc<Executor>| !executor.running().is_empty();
    if !installation.until(seconds(5.0), || {
        executors.iter().filter(is_busy).count() == 7
    }) {
        return Err("the tasks do not run".into());
    }
    let idle = executors.iter().find(|executor| !is_busy(executor));
    let idle = idle.ok_or("no executor is idle")?;
    if trouble {
        record.line(&format!("executor {} is lost for good", idle.id));
        idle.silent.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(seconds(0.7));
    let busy = executors
        .iter()
        .find(is_busy)
        .ok_or("no executor is busy")?;
    let (task, ..) = busy.running().remove(0);
    busy.fail(&task);
    let failed = Instant::now();
    let runs = |executor: &Arc<Executor>| executor.running().iter().any(|(name, ..)| *name == task);
    installation.until(seconds(30.0), || executors.iter().any(runs));
    let away = failed.elapsed();
    record.line(&format!("{task} was away for {:.1} s", away.as_secs_f64()));
    // From 6 s after its last run, for 3 s.
    Ok(if away > seconds(9.0) {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// An order to start is carried out 8 s late. Meanwhile the leading machine is killed, and the
/// executor crashes and starts again under its id after 7.3 s.
pub fn inherited(record: &Arc<Record>, trouble: bool) -> Result<Outcome, String> {
    let (mut installation, executors) = ready(record, 1, 8)?;
    let leader = installation.leader().ok_or("no control program leads")?;
    for number in 0..7 {
        let id = format!("111111111111111{number}");
        let ms = if number == 0 { 4_000 } else { 25_000 };
        installation.client(0, "POST", &id, &job(&format!("ms={ms}"), 1, 20_000, ms));
    }
    let is_busy = |executor: &&Arc<Executor>| !executor.running().is_empty();
    if !installation.until(seconds(3.0), || {
        executors.iter().filter(is_busy).count() == 7
    }) {
        return Err("the first jobs do not run".into());
    }
    let idle = executors.iter().find(|executor| !is_busy(executor));
    let idle = idle.ok_or("no executor is idle")?;
    idle.delays_starts.store(trouble, Ordering::SeqCst);
    installation.client(
        0,
        "POST",
        "2222222222222222",
        &job("ms=10000", 1, 20_000, 10_000),
    );
    if !trouble {
        std::thread::sleep(seconds(14.0));
        return Ok(if record.twice() > 0 {
            Outcome::Broken
        } else {
            Outcome::Held
        });
    }
    if !installation.until(seconds(2.0), || idle.delayed().is_some()) {
        return Err("no order is delayed".into());
    }
    let ordered = Instant::now();
    let order = idle.delayed().ok_or("no order is delayed")?;
    record.line("the leading machine is killed");
    installation.controls.retain(|program| program.ip != leader);
    std::thread::sleep(seconds(0.2));
    idle.crash();
    std::thread::sleep(seconds(7.3));
    let next = Executor::start_as(idle.id.clone(), idle.place.clone(), false, record);
    std::thread::sleep(seconds(8.2).saturating_sub(ordered.elapsed()));
    next.carry_out_late(&order);
    std::thread::sleep(seconds(6.0));
    Ok(if record.twice() > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
