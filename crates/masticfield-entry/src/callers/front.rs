//! A caller's request from its arrival to its final answer.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::Request;
use hyper::body::Incoming;
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_core::kernel::Shutdown;
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use masticfield_node::http::Reply;
use masticfield_node::trace::{Hop, Tracing};
use masticfield_routing::request::{Dispatch, DispatchOutcome, Request as RouterRequest};
use tokio_util::task::TaskTracker;
use xtra::Address;

use super::complete::Complete;
use super::exchange::{Exchange, Exchanged};
use super::problem::problem_reply;
use super::request::CallerRequest;
use crate::control::ControlLink;
use crate::metrics::Metrics;
use crate::once::BookActor;
use crate::peers::PeerActor;
use crate::router::{Admit, Finish, RouterActor, Step};

/// When a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers callers.
#[derive(Debug)]
pub(super) struct Front {
    pub entry: EntryId,
    pub router: Address<RouterActor>,
    pub book: Address<BookActor>,
    pub peers: Address<PeerActor>,
    pub tasks: TaskTracker,
    pub control: ControlLink,
    pub exchange: Exchange,
    pub metrics: Metrics,
    pub tracing: Tracing,
    pub shutdown: Shutdown,
    pub body_timeout: Duration,
    pub sequence: AtomicU64,
}

/// A final answer and what it says.
pub(super) struct Final {
    pub service: Arc<str>,
    pub outcome: Outcome,
    pub reply: Option<Reply>,
}

impl Front {
    /// Answers one request, to its end even if the caller vanishes.
    ///
    /// The slot, the claim and the metrics of a request that is dropped half-way would stay.
    pub(super) async fn answer(self: Arc<Self>, req: Request<Incoming>, peer: IpAddr) -> Reply {
        let tasks = self.tasks.clone();
        Complete::new(async move { self.answer_whole(req, peer).await }, tasks).await
    }

    async fn answer_whole(&self, req: Request<Incoming>, peer: IpAddr) -> Reply {
        let began = Instant::now();
        self.metrics.begin();
        let hop = self.tracing.arrive("caller request", req.headers());
        let answered = self.decide(req, peer, &hop).await;
        let Final {
            service,
            outcome,
            reply,
        } = answered;
        hop.note("masticfield.outcome", outcome.label());
        self.metrics
            .end(&service, outcome, began.elapsed().as_secs_f64());
        let mut reply = reply.unwrap_or_else(|| problem_reply(outcome));
        hop.inject(reply.headers_mut());
        reply
    }

    async fn decide(&self, req: Request<Incoming>, peer: IpAddr, hop: &Hop) -> Final {
        if self.shutdown.is_begun() {
            return Final::not_run("", NotRunReason::Stopping);
        }
        let served = self.control.served();
        if !served.holds(Instant::now()) {
            return Final::not_run("", NotRunReason::NoConfiguration);
        }
        match CallerRequest::read(&served, req, peer, self.body_timeout).await {
            Ok(req) if req.is_idempotent() => self.run(&req, self.next_id(), hop).await,
            Ok(req) => self.run_once(&req, hop).await,
            Err(reason) => Final::not_run("", reason),
        }
    }

    /// Sends a request to an executor, and again to others as far as that is safe.
    pub(super) async fn run(&self, req: &CallerRequest, id: RequestId, hop: &Hop) -> Final {
        let mut step = self.admit(req).await;
        loop {
            step = match step {
                Step::Wait(next) => {
                    let _waiting = hop.step("slot");
                    next.await.unwrap_or(Step::Done(stopping()))
                }
                Step::Run(dispatch) => {
                    let key = dispatch.key;
                    let id = self.attempt_id(req, id, dispatch.attempt);
                    let exchanged = self.exchange(req, &dispatch, id, hop).await;
                    let ending = ending_of(&exchanged);
                    if let Exchanged::Answered(answer) = exchanged {
                        // Nothing is left to decide, so the answer does not wait for the router.
                        drop(self.router.send(Finish(key, ending)).detach().await);
                        return Final::answered(&req.service, answer);
                    }
                    match self.router.send(Finish(key, ending)).await {
                        Ok(Some(next)) => next,
                        Ok(None) | Err(_) => Step::Done(outcome_of(ending)),
                    }
                }
                Step::Done(outcome) => return Final::new(&req.service, outcome),
            };
        }
    }

    async fn admit(&self, req: &CallerRequest) -> Step {
        let request = RouterRequest {
            service: Arc::clone(&req.service),
            caller: Arc::clone(&req.caller),
            zone: req.zone.clone(),
            deadline: Some(req.left()),
            idempotent: req.is_idempotent(),
        };
        let admitted = self.router.send(Admit(request)).await;
        admitted.unwrap_or(Step::Done(stopping()))
    }

    async fn exchange(
        &self,
        req: &CallerRequest,
        dispatch: &Dispatch,
        id: RequestId,
        hop: &Hop,
    ) -> Exchanged {
        if req.left().is_zero() {
            return Exchanged::TooLate;
        }
        let call = hop.call("upstream request");
        call.note("masticfield.upstream", dispatch.id.to_string());
        self.exchange.run(req, dispatch.address, id, &call).await
    }

    /// The identifier of an attempt; a repeated request is told apart from its first attempt.
    fn attempt_id(&self, req: &CallerRequest, first: RequestId, attempt: u32) -> RequestId {
        if attempt > 1 && req.is_idempotent() {
            self.next_id()
        } else {
            first
        }
    }

    pub(super) fn next_id(&self) -> RequestId {
        RequestId::new(self.entry, self.sequence.fetch_add(1, Ordering::Relaxed))
    }
}

impl Final {
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

fn ending_of(exchanged: &Exchanged) -> DispatchOutcome {
    match exchanged {
        Exchanged::Answered(reply) => DispatchOutcome::Answered {
            faulty: reply.status().is_server_error(),
        },
        Exchanged::Refused => DispatchOutcome::Refused,
        Exchanged::NotSent => DispatchOutcome::NotSent,
        // The upstream is not to blame.
        Exchanged::TooLate => DispatchOutcome::Withdrawn(NotRunReason::DeadlinePassed),
        Exchanged::Unknown(reason) => DispatchOutcome::Lost(*reason),
    }
}

/// The outcome of a dispatch whose router is gone.
const fn outcome_of(ending: DispatchOutcome) -> Outcome {
    match ending {
        DispatchOutcome::Answered { .. } => Outcome::Answered,
        DispatchOutcome::Lost(reason) => Outcome::Unknown { reason },
        _ => stopping(),
    }
}
