//! A caller's request from its arrival to its final answer.

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
use tokio_util::task::TaskTracker;
use xtra::Address;

use super::exchange::{Exchange, Exchanged};
use super::problem::problem_reply;
use super::request::CallerRequest;
use crate::control::ControlLink;
use crate::metrics::Metrics;
use crate::once::BookActor;
use crate::peers::PeerActor;
use crate::router::{Admission, Admit, Finish, RouterActor};

/// When a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers callers.
#[derive(Debug, Clone)]
pub(super) struct Front {
    pub entry: EntryId,
    pub zone: Arc<str>,
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
    pub sequence: Arc<AtomicU64>,
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
    pub(super) async fn answer(&self, req: Request<Incoming>) -> Reply {
        let front = self.clone();
        let answered = self
            .tasks
            .spawn(async move { front.answer_whole(req).await });
        answered.await.unwrap_or_else(|_panicked| {
            problem_reply(Outcome::Unknown {
                reason: UnknownReason::ConnectionLost,
            })
        })
    }

    async fn answer_whole(&self, req: Request<Incoming>) -> Reply {
        let began = Instant::now();
        self.metrics.begin();
        let hop = self.tracing.arrive("caller request", req.headers());
        let answered = self.decide(req, &hop).await;
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

    async fn decide(&self, req: Request<Incoming>, hop: &Hop) -> Final {
        if self.shutdown.is_begun() {
            return Final::not_run("", NotRunReason::Stopping);
        }
        let served = self.control.served();
        if !served.holds(Instant::now()) {
            return Final::not_run("", NotRunReason::NoConfiguration);
        }
        match CallerRequest::read(&served, req, self.body_timeout).await {
            Ok(req) if req.is_idempotent() => self.run(&req, self.next_id(), hop).await,
            Ok(req) => self.run_once(&req, hop).await,
            Err(reason) => Final::not_run("", reason),
        }
    }

    /// Sends a request to one executor.
    pub(super) async fn run(&self, req: &CallerRequest, id: RequestId, hop: &Hop) -> Final {
        let zone = req.zone.as_ref().unwrap_or(&self.zone);
        let admit = Admit {
            service: Arc::clone(&req.service),
            zone: Arc::clone(zone),
        };
        let slot = match self.router.send(admit).await {
            Ok(Admission::Run(slot)) => slot,
            Ok(Admission::Refuse(reason)) => return Final::not_run(&req.service, reason),
            Err(_stopped) => return Final::not_run(&req.service, NotRunReason::Stopping),
        };
        if req.left().is_zero() {
            drop(self.router.send(Finish(slot)).await);
            return Final::not_run(&req.service, NotRunReason::DeadlinePassed);
        }
        let call = hop.call("upstream request");
        call.note("masticfield.upstream", slot.upstream.to_string());
        let exchanged = self.exchange.run(req, &slot, id, &call).await;
        // A router that is gone needs no slot back.
        drop(self.router.send(Finish(slot)).await);
        match exchanged {
            Exchanged::Answered(reply) => Final::answered(&req.service, reply),
            Exchanged::NotRun => Final::not_run(&req.service, NotRunReason::RefusedByUpstream),
            Exchanged::Unknown(reason) => Final::unknown(&req.service, reason),
        }
    }

    pub(super) fn next_id(&self) -> RequestId {
        RequestId::new(self.entry, self.sequence.fetch_add(1, Ordering::Relaxed))
    }
}

impl Final {
    pub(super) fn answered(service: &Arc<str>, reply: Reply) -> Self {
        Self {
            service: Arc::clone(service),
            outcome: Outcome::Answered,
            reply: Some(reply),
        }
    }

    pub(super) fn not_run(service: &str, reason: NotRunReason) -> Self {
        let outcome = Outcome::NotRun {
            reason,
            retry_after: RETRY_AFTER,
        };
        Self {
            service: service.into(),
            outcome,
            reply: None,
        }
    }

    pub(super) fn unknown(service: &str, reason: UnknownReason) -> Self {
        Self {
            service: service.into(),
            outcome: Outcome::Unknown { reason },
            reply: None,
        }
    }
}
