//! The experiment `path`: what an entry adds to a request.
//!
//! The same callers ask the same stand-in for an upstream over loopback, once directly and once
//! through an entry, in one run. Rates are measured with many callers, added waits with one.

mod installation;

use std::time::{Duration, Instant};

use masticfield_fake::caller::{Load, LoadReport, Pace};
use serde_json::{Value, json};
use snafu::Snafu;

use crate::experiment::{Experiment, ExperimentArgs, ExperimentError};
use installation::Installation;

inventory::submit! {
    Experiment { name: "path", about: "What an entry adds to a request", run }
}

/// Callers that ask at the same time when rates are measured.
const CALLERS: usize = 32;

/// Requests of one measurement of a rate.
const RATE_REQUESTS: u32 = 60_000;

/// Requests of one measurement of waits.
const WAIT_REQUESTS: u64 = 5_000;

/// Requests that warm up connections and caches.
const WARM_UP_REQUESTS: u64 = 2_000;

/// Time for which the idle entry is watched.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// The path cannot be measured.
#[derive(Debug, Snafu)]
enum PathError {
    /// A request got no whole answer.
    #[snafu(display("not every request was answered: {seen}"))]
    NotAnswered {
        /// What came of the requests.
        seen: Value,
    },
    /// The entry answered nothing in time.
    #[snafu(display("the entry did not become ready: {seen}"))]
    NotReady {
        /// What came of the last request.
        seen: Value,
    },
    /// A process did not tell an address.
    #[snafu(display("a process did not tell its address"))]
    NoAddress,
}

fn run(_args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let idle_rss_mb = idle_entry_memory()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let figures = runtime.block_on(async {
        let installation = Installation::start().await?;
        let direct = installation.direct_load();
        let entry = installation.entry_load();
        let (direct_rate, entry_rate) = (rate(&direct).await?, rate(&entry).await?);
        let (direct_wait, entry_wait) = (waits(&direct).await?, waits(&entry).await?);
        let added = |quantile| {
            let (with, without) = (entry_wait.wait(quantile), direct_wait.wait(quantile));
            u64::try_from(with.saturating_sub(without).as_micros()).unwrap_or(u64::MAX)
        };
        Ok::<_, ExperimentError>(json!({
            "direct_rps": direct_rate.per_s.round(),
            "entry_rps": entry_rate.per_s.round(),
            "ratio": entry_rate.per_s / direct_rate.per_s,
            "direct_cpu_us": direct_rate.cpu_us,
            "entry_cpu_us": entry_rate.cpu_us,
            "added_p50_us": added(0.5),
            "added_p99_us": added(0.99),
            "direct_p50_us": direct_wait.wait(0.5).as_micros(),
            "entry_p50_us": entry_wait.wait(0.5).as_micros(),
            "idle_rss_mb": idle_rss_mb,
        }))
    });
    runtime.shutdown_background();
    figures
}

/// A rate, and what it costs.
struct Rate {
    /// Requests per second.
    per_s: f64,
    /// Processor time of the whole process for one request, in microseconds.
    cpu_us: f64,
}

/// Requests per second with many callers.
async fn rate(load: &Load) -> Result<Rate, ExperimentError> {
    let load = load.clone().callers(CALLERS);
    whole(load.clone().pace(Pace::Count(WARM_UP_REQUESTS)).run().await)?;
    let (began, cpu) = (Instant::now(), cpu_time()?);
    whole(load.pace(Pace::Count(u64::from(RATE_REQUESTS))).run().await)?;
    let requests = f64::from(RATE_REQUESTS);
    Ok(Rate {
        per_s: requests / began.elapsed().as_secs_f64(),
        cpu_us: cpu_time()?.saturating_sub(cpu).as_secs_f64() * 1e6 / requests,
    })
}

/// Waits of one caller.
async fn waits(load: &Load) -> Result<LoadReport, ExperimentError> {
    let load = load.clone().callers(1);
    whole(load.clone().pace(Pace::Count(WARM_UP_REQUESTS)).run().await)?;
    whole(load.pace(Pace::Count(WAIT_REQUESTS)).run().await)
}

/// The report, if every request got its whole answer.
fn whole(report: LoadReport) -> Result<LoadReport, ExperimentError> {
    if report.answered() == report.total() {
        Ok(report)
    } else {
        let seen = report.to_json();
        Err(PathError::NotAnswered { seen }.into())
    }
}

/// Resident memory that an idle installation adds to this process, in megabytes.
fn idle_entry_memory() -> Result<f64, ExperimentError> {
    let before = resident_mb()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let after = runtime.block_on(async {
        let _installation = Installation::start().await?;
        tokio::time::sleep(IDLE_TIME).await;
        resident_mb()
    });
    runtime.shutdown_background();
    Ok(after? - before)
}

/// Processor time that this process has used.
fn cpu_time() -> Result<Duration, ExperimentError> {
    let stat = procfs::process::Process::myself()?.stat()?;
    let ticks = u32::try_from(stat.utime + stat.stime)?;
    let per_s = u32::try_from(procfs::ticks_per_second())?;
    Ok(Duration::from_secs_f64(f64::from(ticks) / f64::from(per_s)))
}

fn resident_mb() -> Result<f64, ExperimentError> {
    let pages = procfs::process::Process::myself()?.statm()?.resident;
    let kilobytes = u32::try_from(pages * procfs::page_size() / 1_000)?;
    Ok(f64::from(kilobytes) / 1e3)
}
