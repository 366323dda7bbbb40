//! The soak itself: a short run keeps all promises, and an interrupted one leaves no process behind.

use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use masticfield_soak::faults::{FaultSet, Plan, PlanOptions};
use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// Time limit for the programs to start, long enough for a busy machine.
const START_LIMIT: Duration = Duration::from_mins(1);

/// Number of programs in these runs.
const PROCESSES: usize = 5;

/// Starts a soak in a folder. Bounds that hold only without disturbance are stretched, so that the
/// verdict is the same beside other load.
fn start(folder: &Path, seed: u64, minutes: f64) -> Child {
    Command::new(env!("CARGO_BIN_EXE_masticfield-soak"))
        .args(["run", "--faults", "basic", "--stretch", "10"])
        .args(["--executors", "6", "--callers", "3"])
        .args(["--processes", &PROCESSES.to_string()])
        .args(["--seed", &seed.to_string()])
        .args(["--minutes", &minutes.to_string()])
        .arg("--folder")
        .arg(folder)
        .args([
            "--control-program",
            env!("CARGO_BIN_EXE_masticfield-soak-control"),
        ])
        .args([
            "--entry-program",
            env!("CARGO_BIN_EXE_masticfield-soak-entry"),
        ])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Number of processes whose settings file is in a folder.
fn running_programs(folder: &Path) -> usize {
    let setting = format!("MASTICFIELD_CONFIG={}/", folder.display());
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let environments =
        processes.filter_map(|entry| std::fs::read(entry.path().join("environ")).ok());
    environments
        .filter(|environment| {
            let mut variables = environment.split(|byte| *byte == 0);
            variables.any(|variable| variable.starts_with(setting.as_bytes()))
        })
        .count()
}

fn describe(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!("{}{}", text(&output.stdout), text(&output.stderr))
}

/// Plays the seed of `seeds.txt`. Processes are paused, killed and told to end, connections are disturbed, and executors come and
/// go; nothing of that may break a promise.
#[test]
fn a_short_run_keeps_all_promises() {
    let folder = TempDir::new().unwrap();
    let output = start(folder.path(), 2, 0.25).wait_with_output().unwrap();
    let text = describe(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("seed 2: 0 violations"), "{text}");
    assert!(!text.contains("jobs: 0 accepted"), "{text}");
    assert_eq!(running_programs(folder.path()), 0);
}

#[rstest]
#[case::interrupt(Signal::INT)]
#[case::terminate(Signal::TERM)]
fn an_interrupted_run_leaves_no_process(#[case] signal: Signal) {
    let folder = TempDir::new().unwrap();
    let soak = start(folder.path(), 2, 5.0);
    let started = Instant::now();
    while running_programs(folder.path()) < PROCESSES {
        assert!(started.elapsed() < START_LIMIT, "the programs do not start");
        std::thread::sleep(Duration::from_millis(20));
    }
    kill_process(Pid::from_child(&soak), signal).unwrap();
    let output = soak.wait_with_output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{}", describe(&output));
    assert_eq!(running_programs(folder.path()), 0);
}

/// Each line of `seeds.txt` has a seed that can be drawn, and a cause.
#[test]
fn seeds_that_failed_are_listed_with_their_cause() {
    let text = include_str!("../seeds.txt");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    for line in lines {
        let (seed, cause) = line.split_once(": ").expect("SEED OPTIONS: CAUSE");
        let seed = seed.split(' ').next().unwrap().parse().unwrap();
        assert!(!cause.is_empty(), "{line}");
        let plan = Plan::draw(&PlanOptions {
            seed,
            length_ms: 60_000,
            interval_ms: 1_200,
            controls: 3,
            entries: 7,
            executors: 12,
            faults: FaultSet::All,
        });
        assert!(!plan.faults.is_empty());
    }
}
