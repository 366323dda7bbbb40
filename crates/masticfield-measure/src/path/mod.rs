//! Experiment `path`: cost and latency that an entry adds to a request.
//!
//! The same callers send requests over loopback to the same fake upstream, first directly and then
//! through an entry, in one run. Throughput is measured with many callers, latency with one.

mod installation;

use std::time::{Duration, Instant};

use masticfield_fake::caller::{LoadGenerator, LoadReport, Pace};
use serde_json::{Value, json};
use snafu::Snafu;

use crate::experiment::{Experiment, ExperimentArgs, ExperimentError};
use installation::Installation;

inventory::submit! {
    Experiment { name: "path", about: "Cost and latency that an entry adds to a request", run }
}

/// Concurrent callers when throughput is measured.
const CALLERS: usize = 32;

/// Requests of one throughput measurement.
const THROUGHPUT_REQUESTS: u32 = 60_000;

/// Requests of one latency measurement.
const LATENCY_REQUESTS: u64 = 5_000;

/// Requests that warm up connections and caches.
const WARM_UP_REQUESTS: u64 = 2_000;

/// Time for which the installation is idle before its memory is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(2);

/// Error of the `path` experiment.
#[derive(Debug, Snafu)]
enum PathError {
    /// At least one request was not answered in full.
    #[snafu(display("not every request was answered: {report}"))]
    NotAnswered {
        /// Report of the load, as JSON.
        report: Value,
    },
    /// The entry did not answer a request in time.
    #[snafu(display("the entry did not become ready: {last_report}"))]
    NotReady {
        /// Report of the last request, as JSON.
        last_report: Value,
    },
}

fn run(_args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let idle_rss_mb = measure_idle_memory()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(async {
        let installation = Installation::start().await?;
        let direct = installation.direct_load();
        let entry = installation.entry_load();
        let (direct_throughput, entry_throughput) = (
            measure_throughput(&direct).await?,
            measure_throughput(&entry).await?,
        );
        let (direct_latency, entry_latency) = (
            measure_latency(&direct).await?,
            measure_latency(&entry).await?,
        );
        let added_us = |quantile| {
            let (through_entry, direct) = (
                entry_latency.latency_at(quantile),
                direct_latency.latency_at(quantile),
            );
            u64::try_from(through_entry.saturating_sub(direct).as_micros()).unwrap_or(u64::MAX)
        };
        Ok::<_, ExperimentError>(json!({
            "direct_rps": direct_throughput.per_s.round(),
            "entry_rps": entry_throughput.per_s.round(),
            "ratio": entry_throughput.per_s / direct_throughput.per_s,
            "direct_cpu_us": direct_throughput.cpu_us,
            "entry_cpu_us": entry_throughput.cpu_us,
            "added_p50_us": added_us(0.5),
            "added_p99_us": added_us(0.99),
            "direct_p50_us": direct_latency.latency_at(0.5).as_micros(),
            "entry_p50_us": entry_latency.latency_at(0.5).as_micros(),
            "idle_rss_mb": idle_rss_mb,
        }))
    });
    runtime.shutdown_background();
    report
}

/// Request rate and the processor time behind it.
struct Throughput {
    /// Requests per second.
    per_s: f64,
    /// Processor time of the whole process per request, in microseconds.
    cpu_us: f64,
}

/// Measures throughput with many callers.
async fn measure_throughput(load: &LoadGenerator) -> Result<Throughput, ExperimentError> {
    let load = load.clone().callers(CALLERS);
    require_answers(load.clone().pace(Pace::Count(WARM_UP_REQUESTS)).run().await)?;
    let (start, cpu_before) = (Instant::now(), cpu_time()?);
    require_answers(
        load.pace(Pace::Count(u64::from(THROUGHPUT_REQUESTS)))
            .run()
            .await,
    )?;
    let requests = f64::from(THROUGHPUT_REQUESTS);
    Ok(Throughput {
        per_s: requests / start.elapsed().as_secs_f64(),
        cpu_us: cpu_time()?.saturating_sub(cpu_before).as_secs_f64() * 1e6 / requests,
    })
}

/// Measures the latency that a single caller sees.
async fn measure_latency(load: &LoadGenerator) -> Result<LoadReport, ExperimentError> {
    let load = load.clone().callers(1);
    require_answers(load.clone().pace(Pace::Count(WARM_UP_REQUESTS)).run().await)?;
    require_answers(load.pace(Pace::Count(LATENCY_REQUESTS)).run().await)
}

/// Returns the report if every request was answered in full, and an error otherwise.
fn require_answers(report: LoadReport) -> Result<LoadReport, ExperimentError> {
    if report.answered() == report.total() {
        Ok(report)
    } else {
        let report = report.to_json();
        Err(PathError::NotAnswered { report }.into())
    }
}

/// Resident memory that an idle installation adds to this process, in megabytes.
fn measure_idle_memory() -> Result<f64, ExperimentError> {
    let before = resident_mb()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let after = runtime.block_on(async {
        let _installation = Installation::start().await?;
        tokio::time::sleep(IDLE_PERIOD).await;
        resident_mb()
    });
    runtime.shutdown_background();
    Ok(after? - before)
}

/// Processor time that this process has used so far.
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
