//! A caller's request from its arrival to its final answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::Request;
use hyper::body::Incoming;
use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_core::kernel::Shutdown;
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use masticfield_node::http::Reply;
use masticfield_node::trace::{Hop, Tracing};
use masticfield_wire::control::EndedClaim;
use sha2::{Digest, Sha256};
use xtra::Address;

use super::exchange::{Exchange, Exchanged};
use super::problem::problem_reply;
use super::request::CallerRequest;
use crate::control::ControlLink;
use crate::metrics::Metrics;
use crate::router::{Admission, Admit, Finish, RouterActor};

/// When a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers callers.
#[derive(Debug, Clone)]
pub(super) struct Front {
    pub entry: EntryId,
    pub zone: Arc<str>,
    pub router: Address<RouterActor>,
    pub control: ControlLink,
    pub exchange: Exchange,
    pub metrics: Metrics,
    pub tracing: Tracing,
    pub shutdown: Shutdown,
    pub body_timeout: Duration,
    pub sequence: Arc<AtomicU64>,
}

/// A final answer and what it says.
struct Final {
    service: Arc<str>,
    outcome: Outcome,
    reply: Option<Reply>,
}

impl Front {
    /// Answers one request.
    pub(super) async fn answer(&self, req: Request<Incoming>) -> Reply {
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

    /// Runs a request under a durable claim of its key.
    async fn run_once(&self, req: &CallerRequest, hop: &Hop) -> Final {
        let id = self.next_id();
        let claim = match claim(req, id) {
            Ok(claim) => claim,
            Err(reason) => return Final::not_run(&req.service, reason),
        };
        let step = hop.step("claim");
        let left = req.deadline.saturating_duration_since(Instant::now());
        let verdict = tokio::time::timeout(left, self.control.claim(claim)).await;
        drop(step);
        match verdict {
            Ok(Ok(ClaimVerdict::Granted | ClaimVerdict::AlreadyYours)) => {}
            Ok(Ok(verdict)) => return refused_claim(&req.service, verdict),
            Ok(Err(_)) | Err(_) => {
                return Final::not_run(&req.service, NotRunReason::ClaimUnavailable);
            }
        }
        let answered = self.run(req, id, hop).await;
        let end = match answered.outcome {
            Outcome::Answered => ClaimEnd::Ran,
            Outcome::NotRun { .. } => ClaimEnd::NotRun,
            Outcome::Unknown { .. } => ClaimEnd::Unknown,
        };
        self.control
            .end(EndedClaim {
                key: claim.key,
                request: id,
                end,
            })
            .await;
        answered
    }

    /// Sends a request to one executor.
    async fn run(&self, req: &CallerRequest, id: RequestId, hop: &Hop) -> Final {
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

    fn next_id(&self) -> RequestId {
        RequestId::new(self.entry, self.sequence.fetch_add(1, Ordering::Relaxed))
    }
}

impl Final {
    fn answered(service: &Arc<str>, reply: Reply) -> Self {
        Self {
            service: Arc::clone(service),
            outcome: Outcome::Answered,
            reply: Some(reply),
        }
    }

    fn not_run(service: &str, reason: NotRunReason) -> Self {
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

    fn unknown(service: &str, reason: UnknownReason) -> Self {
        Self {
            service: service.into(),
            outcome: Outcome::Unknown { reason },
            reply: None,
        }
    }
}

fn refused_claim(service: &str, verdict: ClaimVerdict) -> Final {
    match verdict {
        ClaimVerdict::Expired => Final::not_run(service, NotRunReason::KeyExpired),
        ClaimVerdict::OtherRequest => Final::not_run(service, NotRunReason::BadRequest),
        _ => Final::unknown(service, UnknownReason::EarlierAttempt),
    }
}

/// The claim of a request's key.
fn claim(req: &CallerRequest, request: RequestId) -> Result<Claim, NotRunReason> {
    let text = req.key()?;
    let issued = text
        .split_once('-')
        .and_then(|(seconds, _)| seconds.parse().ok());
    let key = ClaimKey::from_digest(digest([&*req.service, &*text]), issued.unwrap_or(0));
    let fingerprint = digest([
        req.method.as_str().as_bytes(),
        req.path.as_bytes(),
        &req.body,
    ]);
    Ok(Claim {
        key,
        fingerprint,
        request,
    })
}

/// The first 128 bits of the digest of parts with their lengths.
fn digest<const N: usize, P: AsRef<[u8]>>(parts: [P; N]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        let part = part.as_ref();
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize()[..16]);
    first
}
