//! Carries out faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::task::JoinSet;

use crate::SoakError;
use crate::checker::Observation;
use crate::faults::{Direction, Fault, Link, PlannedFault, Program};
use crate::links::Proxy;
use crate::programs::{GRACE_S, Installation};
use crate::recorder::Recorder;
use crate::stand_ins::Executors;

/// Interval at which the end of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for a task to start again after its executor has crashed.
const RESTART_LIMIT: Duration = Duration::from_secs(5);

/// The proxies of an installation.
#[derive(Debug, Default)]
pub(super) struct Links {
    pub(super) callers: Vec<Proxy>,
    pub(super) control: Vec<Proxy>,
    pub(super) executors: Vec<Proxy>,
}

impl Links {
    fn proxy(&self, link: Link) -> &Proxy {
        match link {
            Link::Callers(index) => &self.callers[index],
            Link::Control(index) => &self.control[index],
            Link::Executor(index) => &self.executors[index],
        }
    }
}

/// Carries out faults on programs, links and executors.
#[derive(Debug, Clone)]
pub(super) struct Injector {
    pub(super) installation: Arc<Mutex<Installation>>,
    pub(super) links: Arc<Links>,
    pub(super) executors: Executors,
    pub(super) recorder: Recorder,
    pub(super) controls: usize,
    pub(super) entries: usize,
}

impl Injector {
    /// Carries out a fault and ends it after its time.
    pub(super) async fn inject(self, planned: PlannedFault) -> Result<(), SoakError> {
        let PlannedFault {
            fault, duration_ms, ..
        } = planned;
        self.recorder.note(format_args!("begin {fault}"));
        self.recorder.observe(Observation::FaultBegan);
        let result = self
            .carry_out(fault, Duration::from_millis(duration_ms))
            .await;
        self.recorder.note(format_args!("end {fault}"));
        self.recorder.observe(Observation::FaultEnded);
        result
    }

    async fn carry_out(&self, fault: Fault, time: Duration) -> Result<(), SoakError> {
        match fault {
            Fault::Pause(program) => {
                self.installation.lock().pause(program);
                tokio::time::sleep(time).await;
                self.installation.lock().resume(program);
                Ok(())
            }
            Fault::Kill(program) => self.restart(&[program], true, time).await,
            Fault::Terminate(program) => self.restart(&[program], false, time).await,
            Fault::KillAll => self.restart(&self.programs(true), true, time).await,
            Fault::KillAllControl => self.restart(&self.programs(false), true, time).await,
            Fault::Reload(program) => self.installation.lock().reload(program),
            Fault::FullDisk(control) => {
                self.installation.lock().fill_disk(control, true)?;
                tokio::time::sleep(time).await;
                self.installation.lock().fill_disk(control, false)
            }
            Fault::EmptyData(control) => {
                let program = Program::Control(control);
                self.installation.lock().hold_down(program, true);
                tokio::time::sleep(time).await;
                let mut installation = self.installation.lock();
                installation.empty_data(control)?;
                installation.release(program)
            }
            Fault::TruncateData(control) => {
                let program = Program::Control(control);
                self.installation.lock().hold_down(program, true);
                tokio::time::sleep(time).await;
                let mut installation = self.installation.lock();
                let cut = installation.truncate_data(control)?;
                self.recorder.note(format_args!("truncated {cut}"));
                installation.release(program)
            }
            Fault::Delay(_)
            | Fault::Reset(_)
            | Fault::Cut(..)
            | Fault::Silence(_)
            | Fault::SilenceOpen(_) => {
                self.disturb(fault, time).await;
                Ok(())
            }
            Fault::CrashExecutor { executor, same_id } => {
                self.crash(executor, same_id, time).await;
                Ok(())
            }
            Fault::CrashSeries { crashes, same_id } => {
                self.crash_series(crashes, same_id, time).await;
                Ok(())
            }
            Fault::DrainExecutor(executor) => {
                if self.executors.is_up(executor) {
                    self.executors.drain(executor).await;
                    self.crash(executor, false, time).await;
                }
                Ok(())
            }
        }
    }

    fn programs(&self, with_entries: bool) -> Vec<Program> {
        let entries = if with_entries { self.entries } else { 0 };
        let controls = (0..self.controls).map(Program::Control);
        controls.chain((0..entries).map(Program::Entry)).collect()
    }

    /// Ends programs and starts them again after a time.
    async fn restart(
        &self,
        programs: &[Program],
        kill: bool,
        time: Duration,
    ) -> Result<(), SoakError> {
        for program in programs {
            self.installation.lock().hold_down(*program, kill);
        }
        if !kill {
            // Whatever is still running after the grace period is killed when it is released.
            let ended = async {
                while !programs
                    .iter()
                    .all(|program| self.installation.lock().has_ended(*program))
                {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            if tokio::time::timeout(Duration::from_secs(GRACE_S), ended)
                .await
                .is_err()
            {
                self.recorder.note(format_args!(
                    "{programs:?} is killed after the grace period"
                ));
            }
        }
        tokio::time::sleep(time).await;
        for program in programs {
            self.installation.lock().release(*program)?;
        }
        Ok(())
    }

    /// Disturbs a link for a time.
    async fn disturb(&self, fault: Fault, time: Duration) {
        match fault {
            Fault::Delay(link) => {
                self.links.proxy(link).change(|state| state.delayed += 1);
                tokio::time::sleep(time).await;
                self.links.proxy(link).change(|state| state.delayed -= 1);
            }
            Fault::Reset(link) => {
                self.links.proxy(link).reset();
                tokio::time::sleep(time).await;
                self.links.proxy(link).reset();
            }
            Fault::Cut(link, Direction::Forward) => self.cut(link, [1, 0], time).await,
            Fault::Cut(link, Direction::Backward) => self.cut(link, [0, 1], time).await,
            Fault::Silence(link) => self.cut(link, [1, 1], time).await,
            Fault::SilenceOpen(link) => {
                self.links.proxy(link).silence_open();
                tokio::time::sleep(time).await;
            }
            _ => {}
        }
    }

    async fn cut(&self, link: Link, directions: [u32; 2], time: Duration) {
        let proxy = self.links.proxy(link);
        let each = |state: &mut [u32; 2], change: fn(u32, u32) -> u32| {
            for (cut, by) in state.iter_mut().zip(directions) {
                *cut = change(*cut, by);
            }
        };
        proxy.change(|state| each(&mut state.cut, u32::wrapping_add));
        tokio::time::sleep(time).await;
        proxy.change(|state| each(&mut state.cut, u32::wrapping_sub));
    }

    /// Lets executors crash one after the other, each while it runs the task that the one before took
    /// with it, or another one if that has not started again in time.
    async fn crash_series(&self, crashes: u8, same_id: bool, time: Duration) {
        let (mut number, mut back) = (0, JoinSet::new());
        for _ in 0..crashes {
            let until = Instant::now() + RESTART_LIMIT;
            let busy = loop {
                let busy = self.executors.busy_with_latest_run();
                let again = busy.is_some_and(|(latest, _)| latest > number);
                if again || Instant::now() >= until {
                    break busy;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            };
            if let Some((latest, executor)) = busy {
                number = latest;
                // The crash has nothing to do with the start.
                tokio::time::sleep(time / 8).await;
                let crashing = self.clone();
                back.spawn(async move { crashing.crash(executor, same_id, time).await });
            }
        }
        while let Some(ended) = back.join_next().await {
            ended.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()));
        }
    }

    /// Ends an executor if it lives, and lets it be born again after a time.
    async fn crash(&self, executor: usize, same_id: bool, time: Duration) {
        let proxy = &self.links.executors[executor];
        self.recorder.note(format_args!("executor {executor} ends"));
        self.executors.crash(executor);
        proxy.change(|state| state.closed = true);
        tokio::time::sleep(time).await;
        // Another fault may have let it be born meanwhile.
        if !self.executors.is_up(executor) {
            // No call to the life before reaches the next one late.
            proxy.reset();
            proxy.change(|state| state.closed = false);
            self.executors.be_born(executor, proxy.address(), same_id);
        }
    }
}
