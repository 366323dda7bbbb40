//! The handling of a caller's request, from its arrival to its final response.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::Request;
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_core::kernel::Shutdown;
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use masticfield_node::http::{Reply, RequestBody};
use masticfield_node::trace::{RequestSpan, Tracing};
use masticfield_routing::request::{Dispatch, DispatchOutcome, Request as RouterRequest};
use tokio_util::task::TaskTracker;
use xtra::Address;

use super::problem::problem_reply;
use super::request::CallerRequest;
use super::run_to_completion::RunToCompletion;
use super::upstream_client::{ExchangeResult, UpstreamClient};
use crate::at_most_once::ResponseStoreActor;
use crate::control::ControlLink;
use crate::metrics::Metrics;
use crate::peers::PeerActor;
use crate::router::{Admit, FinishDispatch, RouterActor, Step};

/// `Retry-After` of requests that are refused without an estimate of the router.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles the requests of callers.
#[derive(Debug)]
pub(super) struct CallerHandler {
    pub entry: EntryId,
    pub router: Address<RouterActor>,
    pub responses: Address<ResponseStoreActor>,
    pub peers: Address<PeerActor>,
    pub tasks: TaskTracker,
    pub control: ControlLink,
    pub upstreams: UpstreamClient,
    pub metrics: Metrics,
    pub tracing: Tracing,
    pub shutdown: Shutdown,
    /// Time limit for reading the body of a request.
    pub body_timeout: Duration,
    /// Number of the next dispatch.
    pub next_sequence: AtomicU64,
}

/// The final response to a request, with what is counted of it.
pub(super) struct FinalResponse {
    /// Name of the service; empty if the request was refused before it was read.
    pub service: Arc<str>,
    pub outcome: Outcome,
    /// The response of an upstream; `None` if the entry describes the outcome itself.
    pub reply: Option<Reply>,
}

impl CallerHandler {
    /// Handles one request, to its end even if the caller closes the connection.
    ///
    /// Otherwise an abandoned request would never release its slot, its claim and the gauges.
    pub(super) async fn handle(self: Arc<Self>, req: Request<RequestBody>, peer: IpAddr) -> Reply {
        let tasks = self.tasks.clone();
        RunToCompletion::new(async move { self.handle_to_end(req, peer).await }, tasks).await
    }

    async fn handle_to_end(&self, req: Request<RequestBody>, peer: IpAddr) -> Reply {
        let arrived_at = Instant::now();
        self.metrics.begin_request();
        let hop = self.tracing.server_span("caller request", req.headers());
        let response = self.process(req, peer, &hop).await;
        let FinalResponse {
            service,
            outcome,
            reply,
        } = response;
        hop.set_attribute("masticfield.outcome", outcome.label());
        self.metrics
            .end_request(&service, outcome, arrived_at.elapsed().as_secs_f64());
        let mut reply = reply.unwrap_or_else(|| problem_reply(outcome));
        hop.inject(reply.headers_mut());
        reply
    }

    async fn process(
        &self,
        req: Request<RequestBody>,
        peer: IpAddr,
        hop: &RequestSpan,
    ) -> FinalResponse {
        if self.shutdown.is_requested() {
            return FinalResponse::not_run("", NotRunReason::Stopping);
        }
        let leased = self.control.leased_config();
        if !leased.is_valid(Instant::now()) {
            return FinalResponse::not_run("", NotRunReason::NoConfiguration);
        }
        match CallerRequest::read(&leased, req, peer, self.body_timeout).await {
            Ok(req) if req.is_idempotent() => self.dispatch(&req, self.next_id(), hop).await,
            Ok(req) => self.dispatch_at_most_once(&req, hop).await,
            Err(reason) => FinalResponse::not_run("", reason),
        }
    }

    /// Sends a request to an executor, and to further ones if the router allows a retry.
    pub(super) async fn dispatch(
        &self,
        req: &CallerRequest,
        id: RequestId,
        hop: &RequestSpan,
    ) -> FinalResponse {
        let mut step = self.admit(req).await;
        loop {
            step = match step {
                Step::Wait(next) => {
                    let _waiting = hop.internal_span("slot");
                    next.await.unwrap_or(Step::Done(stopping()))
                }
                Step::Run(dispatch) => {
                    let key = dispatch.key;
                    let id = self.attempt_id(req, id, dispatch.attempt);
                    let result = self.send(req, &dispatch, id, hop).await;
                    let outcome = dispatch_outcome(&result);
                    if let ExchangeResult::Answered(reply) = result {
                        // The router has nothing left to decide, so the response does not wait.
                        drop(
                            self.router
                                .send(FinishDispatch(key, outcome))
                                .detach()
                                .await,
                        );
                        return FinalResponse::answered(&req.service, reply);
                    }
                    match self.router.send(FinishDispatch(key, outcome)).await {
                        Ok(Some(next)) => next,
                        Ok(None) | Err(_) => Step::Done(outcome_without_router(outcome)),
                    }
                }
                Step::Done(outcome) => return FinalResponse::new(&req.service, outcome),
            };
        }
    }

    async fn admit(&self, req: &CallerRequest) -> Step {
        let request = RouterRequest {
            service: Arc::clone(&req.service),
            caller: Arc::clone(&req.caller),
            zone: req.zone.clone(),
            deadline: Some(req.remaining()),
            idempotent: req.is_idempotent(),
        };
        let admitted = self.router.send(Admit(request)).await;
        admitted.unwrap_or(Step::Done(stopping()))
    }

    async fn send(
        &self,
        req: &CallerRequest,
        dispatch: &Dispatch,
        id: RequestId,
        hop: &RequestSpan,
    ) -> ExchangeResult {
        if req.remaining().is_zero() {
            return ExchangeResult::TooLate;
        }
        let call = hop.client_span("upstream request");
        call.set_attribute("masticfield.upstream", dispatch.id.to_string());
        self.upstreams.send(req, dispatch.address, id, &call).await
    }

    /// Returns the identifier of an attempt.
    ///
    /// Each retry of an idempotent request gets a new one, so that a late response to an earlier
    /// attempt is recognized. Other requests keep the identifier under which they are claimed.
    fn attempt_id(&self, req: &CallerRequest, first: RequestId, attempt: u32) -> RequestId {
        if attempt > 1 && req.is_idempotent() {
            self.next_id()
        } else {
            first
        }
    }

    pub(super) fn next_id(&self) -> RequestId {
        RequestId::new(
            self.entry,
            self.next_sequence.fetch_add(1, Ordering::Relaxed),
        )
    }
}

impl FinalResponse {
    fn new(service: &str, outcome: Outcome) -> Self {
        Self {
            service: service.into(),
            outcome,
            reply: None,
        }
    }

    pub(super) fn answered(service: &Arc<str>, reply: Reply) -> Self {
        Self {
            service: Arc::clone(service),
            outcome: Outcome::Answered,
            reply: Some(reply),
        }
    }

    pub(super) fn not_run(service: &str, reason: NotRunReason) -> Self {
        let retry_after = RETRY_AFTER;
        Self::new(
            service,
            Outcome::NotRun {
                reason,
                retry_after,
            },
        )
    }

    pub(super) fn unknown(service: &str, reason: UnknownReason) -> Self {
        Self::new(service, Outcome::Unknown { reason })
    }
}

const fn stopping() -> Outcome {
    Outcome::NotRun {
        reason: NotRunReason::Stopping,
        retry_after: RETRY_AFTER,
    }
}

fn dispatch_outcome(result: &ExchangeResult) -> DispatchOutcome {
    match result {
        ExchangeResult::Answered(reply) => DispatchOutcome::Answered {
            faulty: reply.status().is_server_error(),
        },
        ExchangeResult::Refused => DispatchOutcome::Refused,
        ExchangeResult::NotSent => DispatchOutcome::NotSent,
        // The upstream was not contacted, so this does not count against its health.
        ExchangeResult::TooLate => DispatchOutcome::Withdrawn(NotRunReason::DeadlinePassed),
        ExchangeResult::Unknown(reason) => DispatchOutcome::Lost(*reason),
    }
}

/// Returns the outcome of a request whose dispatch ended after the router stopped.
const fn outcome_without_router(outcome: DispatchOutcome) -> Outcome {
    match outcome {
        DispatchOutcome::Answered { .. } => Outcome::Answered,
        DispatchOutcome::Lost(reason) => Outcome::Unknown { reason },
        _ => stopping(),
    }
}
