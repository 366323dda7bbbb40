//! Runs a soak.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::kernel::ShutdownTrigger;
use masticfield_platform_stand_ins::{CALLERS_PORT, CONTROL_PORT};
use parking_lot::Mutex;
use snafu::{ResultExt, ensure};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinError, JoinSet};

use super::injector::{Injector, Links};
use super::{SoakOptions, Summary};
use crate::SoakError;
use crate::checker::{Bounds, Observation};
use crate::error::{FileSnafu, InterruptedSnafu, IoSnafu, NotServingSnafu};
use crate::faults::{Plan, Program};
use crate::links::Proxy;
use crate::programs::{Installation, InstallationOptions};
use crate::recorder::Recorder;
use crate::stand_ins::{
    CallerOptions, ControlClient, ExecutorOptions, Executors, Operator, Routes, run_callers,
};

/// Time limit for the first configuration to be acknowledged.
const START_LIMIT: Duration = Duration::from_mins(1);

/// Time after all faults within which a configuration must be acknowledged: the recovery time of
/// 12 s that the platform sets.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time after the recovery within which all jobs must have ended. Their backlog is at most some
/// hundred tasks of about a second.
const FINISH: Duration = Duration::from_mins(1);

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Average interval between two jobs of one caller, in milliseconds.
const JOB_INTERVAL_MS: u64 = 700;

/// Runs a soak until all jobs have ended, or a promise was broken.
///
/// Processes that were started have ended when this returns, also if it fails or is dropped.
///
/// # Errors
///
/// Fails if the soak cannot run, or is interrupted by SIGINT or SIGTERM.
pub async fn run(options: SoakOptions) -> Result<Summary, SoakError> {
    let mut terminate = signal(SignalKind::terminate()).context(IoSnafu {
        what: "the handler of SIGTERM",
    })?;
    tokio::select! {
        summary = play(options) => summary,
        _ = tokio::signal::ctrl_c() => InterruptedSnafu.fail(),
        _ = terminate.recv() => InterruptedSnafu.fail(),
    }
}

async fn play(options: SoakOptions) -> Result<Summary, SoakError> {
    let folder = options.folder.clone();
    std::fs::create_dir_all(&folder).context(FileSnafu { path: &folder })?;
    let plan = Plan::draw(&options.plan_options());
    let plan_file = folder.join("plan.txt");
    std::fs::write(&plan_file, plan.to_string()).context(FileSnafu { path: plan_file })?;
    let bounds = Bounds::new(options.stretch.into());
    let recorder = Recorder::create(&folder, bounds)?;
    let installation = Installation::start(InstallationOptions {
        binaries: options.binaries.clone(),
        folder,
        controls: options.controls,
        entries: options.entries,
    })?;
    let installation = Arc::new(Mutex::new(installation));
    let ended = ShutdownTrigger::new();
    let (links, routes) = start_proxies(&options).await?;
    let client = ControlClient::new(Arc::new(routes));
    let controls = addresses(options.controls, Program::Control, CONTROL_PORT);
    let operator = Operator::new(
        options.seed,
        client.clone(),
        controls.clone(),
        recorder.clone(),
    );
    let serving = tokio::time::timeout(START_LIMIT, operator.complete(&ended.subscribe())).await;
    let limit_s = START_LIMIT.as_secs();
    ensure!(serving == Ok(true), NotServingSnafu { limit_s });
    let executor_options = ExecutorOptions {
        seed: options.seed,
        controls,
        count: options.executors,
    };
    let executors = Executors::bind(
        executor_options,
        client,
        recorder.clone(),
        &ended.subscribe(),
    )
    .await?;
    let links = start_executors(links, &executors).await?;
    let injector = Injector {
        installation: Arc::clone(&installation),
        links: Arc::new(links),
        executors,
        recorder: recorder.clone(),
        controls: options.controls,
        entries: options.entries,
    };
    let soak = Soak {
        options,
        plan,
        injector,
        operator,
        recorder: recorder.clone(),
        ended,
    };
    let summary = soak.play().await;
    recorder.flush();
    summary
}

/// A running soak.
struct Soak {
    options: SoakOptions,
    plan: Plan,
    injector: Injector,
    operator: Operator,
    recorder: Recorder,
    ended: ShutdownTrigger,
}

impl Soak {
    async fn play(mut self) -> Result<Summary, SoakError> {
        let (handing_in, changing) = (ShutdownTrigger::new(), ShutdownTrigger::new());
        let callers = run_callers(
            self.caller_options(),
            self.recorder.clone(),
            handing_in.subscribe(),
            self.ended.subscribe(),
        );
        let callers = tokio::spawn(callers);
        let operating = tokio::spawn(self.operator.clone().run(changing.subscribe()));
        self.play_plan().await?;
        self.play_last().await?;
        let faults_over = Instant::now();
        let stretch = self.options.stretch;
        changing.shut_down();
        pass_panic_on(operating.await);
        // Jobs of queues that were withdrawn can be read again once these are back.
        self.check_recovery().await?;
        handing_in.shut_down();
        let limit = faults_over + (RECOVERY + FINISH) * stretch;
        if let Ok(ended) = tokio::time::timeout_at(limit.into(), callers).await {
            pass_panic_on(ended);
        }
        let settled_after = faults_over.elapsed();
        self.restart_ended()?;
        self.recorder.observe(Observation::RunOver);
        self.ended.shut_down();
        Ok(self.summary(settled_after))
    }

    fn caller_options(&self) -> CallerOptions {
        let entries = self.injector.links.callers.iter();
        CallerOptions {
            seed: self.options.seed,
            entries: entries.map(Proxy::address).collect(),
            count: self.options.callers,
            interval_ms: JOB_INTERVAL_MS,
        }
    }

    /// Injects the faults at their times, until all have ended.
    async fn play_plan(&mut self) -> Result<(), SoakError> {
        let started = Instant::now();
        let mut active = JoinSet::new();
        for planned in self.plan.faults.clone() {
            let at = started + Duration::from_millis(planned.at_ms);
            self.watch_until(at).await?;
            active.spawn(self.injector.clone().inject(planned));
        }
        self.watch_until(started + Duration::from_millis(self.options.length_ms))
            .await?;
        self.await_faults(active).await
    }

    /// Injects the last faults right after a configuration was acknowledged.
    async fn play_last(&mut self) -> Result<(), SoakError> {
        if self.plan.last.is_empty() {
            return Ok(());
        }
        let limit = RECOVERY * self.options.stretch;
        let shutdown = self.ended.subscribe();
        let changed = tokio::time::timeout(limit, self.operator.complete(&shutdown)).await;
        if changed != Ok(true) {
            let what = format!("no configuration was acknowledged within {limit:?}").into();
            self.recorder.observe(Observation::NotRecovered { what });
        }
        let injecting = self.plan.last.iter();
        let injecting = injecting.map(|planned| self.injector.clone().inject(*planned));
        self.await_faults(injecting.collect()).await
    }

    /// Watches the programs until faults have ended.
    async fn await_faults(
        &mut self,
        mut active: JoinSet<Result<(), SoakError>>,
    ) -> Result<(), SoakError> {
        while !active.is_empty() {
            self.restart_ended()?;
            let ended = tokio::time::timeout(POLL_INTERVAL, active.join_next()).await;
            if let Ok(Some(ended)) = ended {
                pass_panic_on(ended)?;
            }
        }
        Ok(())
    }

    /// Watches the programs until a time.
    async fn watch_until(&mut self, until: Instant) -> Result<(), SoakError> {
        while Instant::now() < until {
            self.restart_ended()?;
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(left.min(POLL_INTERVAL)).await;
        }
        Ok(())
    }

    /// Starts programs that have ended by themselves.
    fn restart_ended(&mut self) -> Result<(), SoakError> {
        let ends = self.injector.installation.lock().restart_ended()?;
        for end in ends {
            let name = format!("{:?} ({})", end.program, end.status);
            self.recorder.note(format_args!("ended: {name}"));
            let name = name.into();
            self.recorder.observe(Observation::ProgramEnded { name });
        }
        Ok(())
    }

    /// Checks that configurations are acknowledged and read again in time.
    async fn check_recovery(&mut self) -> Result<(), SoakError> {
        let limit = RECOVERY * self.options.stretch;
        let until = Instant::now() + limit;
        let shutdown = self.ended.subscribe();
        let changed = self.operator.complete(&shutdown);
        let changed = tokio::time::timeout_at(until.into(), changed).await;
        let mut read = false;
        while !read && Instant::now() < until {
            read = self.operator.read().await;
        }
        for (ok, what) in [
            (changed == Ok(true), "no configuration was acknowledged"),
            (read, "the configuration was not read"),
        ] {
            if !ok {
                let what = format!("{what} within {limit:?} after all faults").into();
                self.recorder.observe(Observation::NotRecovered { what });
            }
        }
        self.restart_ended()
    }

    fn summary(&self, settled_after: Duration) -> Summary {
        let mut faults = BTreeMap::new();
        for planned in self.plan.faults.iter().chain(&self.plan.last) {
            *faults.entry(planned.fault.kind()).or_insert(0) += 1;
        }
        let (counts, violations) = self
            .recorder
            .read(|checker| (checker.counts(), checker.violations().to_vec()));
        Summary {
            seed: self.options.seed,
            folder: self.options.folder.clone(),
            faults,
            counts,
            settled_after_ms: u64::try_from(settled_after.as_millis()).unwrap_or(u64::MAX),
            violations,
        }
    }
}

/// Returns the result of a task; a panic of the task, which is a bug of the soak, goes on here.
fn pass_panic_on<T>(ended: Result<T, JoinError>) -> T {
    ended.unwrap_or_else(|error| std::panic::resume_unwind(error.into_panic()))
}

/// Addresses of programs.
fn addresses(count: usize, program: fn(usize) -> Program, port: u16) -> Vec<SocketAddr> {
    let ips = (0..count).map(|index| Installation::ip(program(index)));
    ips.map(|ip| SocketAddr::new(ip, port)).collect()
}

/// Starts the proxies of control and entry programs.
async fn start_proxies(options: &SoakOptions) -> Result<(Links, Routes), SoakError> {
    let (mut links, mut routes) = (Links::default(), Routes::default());
    let ip = Installation::stand_in_ip();
    for address in addresses(options.controls, Program::Control, CONTROL_PORT) {
        let proxy = Proxy::start(ip, address).await?;
        routes.add(address, proxy.address());
        links.control.push(proxy);
    }
    for address in addresses(options.entries, Program::Entry, CALLERS_PORT) {
        links.callers.push(Proxy::start(ip, address).await?);
    }
    Ok((links, routes))
}

/// Starts the proxies of executors, and the executors.
async fn start_executors(mut links: Links, executors: &Executors) -> Result<Links, SoakError> {
    let ip = Installation::stand_in_ip();
    for (index, address) in executors.listening().iter().enumerate() {
        let proxy = Proxy::start(ip, *address).await?;
        executors.be_born(index, proxy.address(), true);
        links.executors.push(proxy);
    }
    Ok(links)
}
