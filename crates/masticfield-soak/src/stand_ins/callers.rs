//! Stand-ins for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use masticfield_core::kernel::Shutdown;
use masticfield_jobs::job::{JobId, JobSpec, Resources, StepSpec};
use masticfield_jobs::state::JobStatus;
use masticfield_node::http::Client;
use masticfield_platform_stand_ins::{decode_status, encode_job};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::operator::AUTHORITY;
use super::{QUEUES, pool_of};
use crate::checker::{Observation, SubmitAnswer};
use crate::recorder::Recorder;

/// Time limit for a response, which callers also send along.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Pause before another attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between two requests for the status, in milliseconds.
const STATUS_INTERVAL_MS: std::ops::Range<u64> = 300..1_500;

/// Maximum number of jobs that callers follow at the same time, for each caller.
const MAX_OPEN_JOBS: usize = 40;

/// What is done with a share of the jobs: cancelled, sent again after the acceptance, sent again
/// after the end, handed in again after a refusal.
const SHARES: [f64; 4] = [0.1, 0.15, 0.1, 0.5];

/// Options of the callers.
#[derive(Debug, Clone)]
pub(crate) struct CallerOptions {
    pub(crate) seed: u64,
    /// Addresses of the entries.
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) count: usize,
    /// Average interval between two jobs of one caller, in milliseconds.
    pub(crate) interval_ms: u64,
}

/// A caller, which keeps its connections open.
#[derive(Debug, Clone)]
struct Caller {
    client: Client,
    entries: Arc<[SocketAddr]>,
    recorder: Recorder,
    /// Ends following jobs; handing in ends earlier.
    stop: Shutdown,
}

/// A job of a caller.
#[derive(Debug)]
struct OwnJob {
    id: JobId,
    queue: &'static str,
    spec: Arc<JobSpec>,
    body: Bytes,
    rng: ChaCha8Rng,
}

/// Hands in jobs until `handing_in` is over, and follows them to their ends or until `stop`.
pub(crate) async fn run_callers(
    options: CallerOptions,
    recorder: Recorder,
    handing_in: Shutdown,
    stop: Shutdown,
) {
    let mut tasks = Vec::new();
    for number in 0..options.count {
        let caller = Caller {
            client: Client::new(TIMEOUT),
            entries: options.entries.clone().into(),
            recorder: recorder.clone(),
            stop: stop.clone(),
        };
        let seed = options.seed ^ (number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let (rng, interval_ms) = (ChaCha8Rng::seed_from_u64(seed), options.interval_ms);
        tasks.push(tokio::spawn(caller.run(
            rng,
            interval_ms,
            handing_in.clone(),
        )));
    }
    for task in tasks {
        if let Err(error) = task.await {
            std::panic::resume_unwind(error.into_panic());
        }
    }
}

impl Caller {
    async fn run(self, mut rng: ChaCha8Rng, interval_ms: u64, mut handing_in: Shutdown) {
        let open = Arc::new(AtomicUsize::new(0));
        let mut tasks = Vec::new();
        loop {
            let pause = Duration::from_millis(rng.random_range(1..=interval_ms * 2));
            if tokio::time::timeout(pause, handing_in.requested())
                .await
                .is_ok()
            {
                break;
            }
            if open.load(Ordering::Relaxed) >= MAX_OPEN_JOBS {
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let (caller, open, job) = (self.clone(), Arc::clone(&open), OwnJob::draw(&mut rng));
            tasks.push(tokio::spawn(async move {
                caller.follow(job).await;
                open.fetch_sub(1, Ordering::Relaxed);
            }));
        }
        for task in tasks {
            if let Err(error) = task.await {
                std::panic::resume_unwind(error.into_panic());
            }
        }
    }

    /// Hands in a job and follows it to its end.
    async fn follow(&self, mut job: OwnJob) {
        loop {
            match self.submit(&mut job).await {
                SubmitAnswer::Accepted => break,
                SubmitAnswer::Refused if job.rng.random_bool(SHARES[3]) => {
                    tokio::time::sleep(RETRY_INTERVAL * 3).await;
                }
                SubmitAnswer::Refused | SubmitAnswer::NoQueue => return,
                SubmitAnswer::Unknown => tokio::time::sleep(RETRY_INTERVAL).await,
            }
            if self.stop.is_requested() {
                return;
            }
        }
        let cancels = job.rng.random_bool(SHARES[0]);
        let resends = job.rng.random_bool(SHARES[1]);
        let resends_late = job.rng.random_bool(SHARES[2]);
        if resends {
            self.pause(&mut job).await;
            self.submit(&mut job).await;
        }
        if cancels {
            self.pause(&mut job).await;
            self.cancel(&mut job).await;
        }
        self.await_end(&mut job, cancels).await;
        if resends_late {
            self.submit(&mut job).await;
            self.read(&mut job).await;
        }
    }

    async fn pause(&self, job: &mut OwnJob) {
        let pause = job.rng.random_range(STATUS_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    async fn submit(&self, job: &mut OwnJob) -> SubmitAnswer {
        self.recorder.observe(Observation::SubmitSent {
            job: job.id,
            queue: job.queue.into(),
            pool: pool_of(job.queue).into(),
            spec: Arc::clone(&job.spec),
        });
        let sent_at = self.recorder.now_ms();
        let answer = match self.send(Method::POST, job, job.body.clone()).await {
            Some((status, _)) if status.is_success() => SubmitAnswer::Accepted,
            Some((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _)) => {
                SubmitAnswer::Refused
            }
            Some((StatusCode::NOT_FOUND, _)) => SubmitAnswer::NoQueue,
            Some(_) | None => SubmitAnswer::Unknown,
        };
        self.recorder.observe(Observation::SubmitAnswered {
            job: job.id,
            sent_at,
            answer,
        });
        answer
    }

    /// Cancels a job, until that is acknowledged.
    async fn cancel(&self, job: &mut OwnJob) {
        let id = job.id;
        self.recorder.observe(Observation::CancelSent { job: id });
        while !self.stop.is_requested() {
            let sent = self.send(Method::DELETE, job, Bytes::new()).await;
            if sent.is_some_and(|(status, _)| status.is_success() || status == StatusCode::GONE) {
                let acknowledged = Observation::CancelAcknowledged { job: id };
                return self.recorder.observe(acknowledged);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Reads the status until the job has ended; one that is cancelled may be unknown then.
    async fn await_end(&self, job: &mut OwnJob, cancelled: bool) {
        while !self.stop.is_requested() {
            match self.read(job).await {
                Some(JobStatus::Completed | JobStatus::Failed | JobStatus::Cancelled) => return,
                None if cancelled => return,
                _ => self.pause(job).await,
            }
        }
    }

    async fn read(&self, job: &mut OwnJob) -> Option<JobStatus> {
        let (id, sent_at) = (job.id, self.recorder.now_ms());
        let (status, body) = self.send(Method::GET, job, Bytes::new()).await?;
        if status == StatusCode::GONE {
            self.recorder
                .observe(Observation::StatusGone { job: id, sent_at });
            return None;
        }
        let status = decode_status(&body).filter(|_| status == StatusCode::OK)?;
        self.recorder
            .observe(Observation::StatusSeen { job: id, status });
        Some(status)
    }

    /// Sends a request about a job to one of the entries; none if there is no response.
    async fn send(
        &self,
        method: Method,
        job: &mut OwnJob,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let entry = self.entries[job.rng.random_range(0..self.entries.len())];
        let uri = format!("http://{entry}/{}/{}", job.queue, job.id);
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static(AUTHORITY));
        let deadline = u64::try_from(TIMEOUT.as_millis()).unwrap_or(0);
        headers.insert("deadline-ms", HeaderValue::from(deadline));
        let sent = self.client.send(method, &uri, headers, body).await;
        sent.ok().map(|(status, _, body)| (status, body))
    }
}

impl OwnJob {
    /// Draws a job of one to three steps in a row.
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let steps = rng.random_range(1..=3_u16);
        let steps = (0..steps).map(|number| StepSpec {
            count: rng.random_range(1..=4),
            need: Resources {
                cpu_milli: 250 * rng.random_range(1..=8),
                memory_mb: 128,
                gpus: 0,
            },
            estimate_ms: rng.random_range(100..1_500),
            depends_on: (number > 0).then(|| number - 1).into_iter().collect(),
            ..StepSpec::default()
        });
        let steps = steps.collect();
        let spec = JobSpec {
            payload: format!("payload-{}", rng.random::<u32>()).into(),
            steps,
            timetable: None,
        };
        let id = JobId::new(rng.random());
        Self {
            id,
            queue: QUEUES[rng.random_range(0..QUEUES.len())],
            body: encode_job(&spec).into(),
            spec: Arc::new(spec),
            rng: ChaCha8Rng::seed_from_u64(id.number()),
        }
    }
}
