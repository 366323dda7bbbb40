//! A request that must run at most once, from its claim to its final answer.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::claim::{Claim, ClaimEnd};
use masticfield_core::ids::RequestId;
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use masticfield_node::clock::since_epoch;
use masticfield_node::trace::Hop;
use masticfield_routing::at_most_once::{
    AtMostOnceAction, AtMostOnceInput, AtMostOnceRequest, FinalAnswer, IdempotencyKey, KeyError,
    LookupResult, fingerprint,
};
use masticfield_wire::control::EndedClaim;

use super::front::{Final, Front};
use super::request::CallerRequest;
use crate::once::{Begin, End, Find, Found, StoredAnswer};
use crate::peers::{FindPeer, ask_answer};

/// Longest wait for the verdict on a claim.
const CLAIM_WAIT: Duration = Duration::from_secs(2);

impl Front {
    /// Runs a request under a durable claim of its key.
    pub(super) async fn run_once(&self, req: &CallerRequest, hop: &Hop) -> Final {
        let claim = match claim_of(req, self.next_id()) {
            Ok(claim) => claim,
            Err(reason) => return Final::not_run(&req.service, reason),
        };
        // A book that is gone holds no answers; the claim protects all the same.
        drop(self.book.send(Begin(claim.request)).await);
        let (mut once, mut next) = AtMostOnceRequest::new(claim);
        let mut given = None;
        loop {
            let input = match next {
                AtMostOnceAction::Claim => self.claim(req, claim, hop).await,
                AtMostOnceAction::Dispatch => {
                    let answered = self.run(req, claim.request, hop).await;
                    let end = end_of(answered.outcome);
                    given = Some(answered);
                    AtMostOnceInput::ExchangeEnded(end)
                }
                AtMostOnceAction::LookUp { by } => {
                    let found = self.seek(req, by).await;
                    let (first, answered) = first_answer(req, found);
                    given = answered;
                    AtMostOnceInput::LookupEnded(first)
                }
                AtMostOnceAction::Finish { answer, end } => {
                    let answered = finish(req, answer, given);
                    self.report(claim, end, &answered).await;
                    return answered;
                }
                AtMostOnceAction::Ignored => {
                    return Final::unknown(&req.service, UnknownReason::EarlierAttempt);
                }
            };
            next = once.step(input);
        }
    }

    async fn claim(&self, req: &CallerRequest, claim: Claim, hop: &Hop) -> AtMostOnceInput {
        let _step = hop.step("claim");
        let wait = req.left().min(CLAIM_WAIT);
        match tokio::time::timeout(wait, self.control.claim(claim)).await {
            Ok(Ok(verdict)) => AtMostOnceInput::Verdict(verdict),
            Ok(Err(_)) | Err(_) => AtMostOnceInput::GiveUp,
        }
    }

    /// Waits for the first answer, here or at the entry that made the dispatch.
    async fn seek(&self, req: &CallerRequest, by: RequestId) -> Found {
        let left = req.left();
        if by.entry() != self.entry {
            let Ok(Some(address)) = self.peers.send(FindPeer(by.entry())).await else {
                return Found::NotKnown;
            };
            return ask_answer(address, by, left).await;
        }
        let Ok(found) = self.book.send(Find(by)).await else {
            return Found::NotKnown;
        };
        let found = tokio::time::timeout(left, found).await;
        found.ok().and_then(Result::ok).unwrap_or(Found::NotKnown)
    }

    /// Tells those who wait for the answer, and the control replicas, how the request ended.
    async fn report(&self, claim: Claim, end: Option<ClaimEnd>, answered: &Final) {
        let request = claim.request;
        let answer = match (&answered.reply, end) {
            (Some(reply), Some(ClaimEnd::Ran)) => Some(StoredAnswer::of(reply).await),
            _ => None,
        };
        let ended = End {
            request,
            how: end.unwrap_or(ClaimEnd::NotRun),
            answer,
        };
        drop(self.book.send(ended).await);
        if let Some(end) = end {
            let key = claim.key;
            self.control.end(EndedClaim { key, request, end }).await;
        }
    }
}

/// The claim of a request's key.
fn claim_of(req: &CallerRequest, request: RequestId) -> Result<Claim, NotRunReason> {
    let now_s = since_epoch().as_secs();
    let key = IdempotencyKey::parse(req.key()?, now_s).map_err(KeyError::reason)?;
    Ok(Claim {
        key: key.claim_key(&req.service),
        fingerprint: fingerprint(&req.method, &req.path, &req.body),
        request,
    })
}

const fn end_of(outcome: Outcome) -> ClaimEnd {
    match outcome {
        Outcome::Answered => ClaimEnd::Ran,
        Outcome::NotRun { .. } => ClaimEnd::NotRun,
        Outcome::Unknown { .. } => ClaimEnd::Unknown,
    }
}

fn first_answer(req: &CallerRequest, found: Found) -> (LookupResult, Option<Final>) {
    match found {
        Found::Answer(answer) => match answer.into_reply() {
            Some(reply) => (
                LookupResult::Stored,
                Some(Final::answered(&req.service, reply)),
            ),
            None => (LookupResult::Ended(ClaimEnd::Ran), None),
        },
        Found::Ended(end) => (LookupResult::Ended(end), None),
        Found::NotKnown => (LookupResult::NotFound, None),
    }
}

fn finish(req: &CallerRequest, answer: FinalAnswer, given: Option<Final>) -> Final {
    let service: &Arc<str> = &req.service;
    match (answer, given) {
        (FinalAnswer::Exchange | FinalAnswer::Stored, Some(answered)) => answered,
        (FinalAnswer::NotRun(reason), _) => Final::not_run(service, reason),
        (FinalAnswer::Unknown(reason), _) => Final::unknown(service, reason),
        (FinalAnswer::Exchange | FinalAnswer::Stored, None) => {
            Final::unknown(service, UnknownReason::EarlierAttempt)
        }
    }
}
