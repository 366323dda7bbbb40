//! Requests that run at most once, from the claim of their key to their final response.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::claim::{Claim, ClaimEnd};
use masticfield_core::ids::RequestId;
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use masticfield_node::clock::since_epoch;
use masticfield_node::trace::RequestSpan;
use masticfield_routing::at_most_once::{
    AtMostOnceAction, AtMostOnceInput, AtMostOnceRequest, FinalAnswer, IdempotencyKey, KeyError,
    LookupResult, fingerprint,
};
use masticfield_wire::control::EndedClaim;

use super::caller_handler::{CallerHandler, FinalResponse};
use super::request::CallerRequest;
use crate::at_most_once::{BeginDispatch, EndDispatch, LookUp, LookupReply, StoredResponse};
use crate::peers::{FindPeer, look_up_response};

/// Longest wait for the verdict on a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

impl CallerHandler {
    /// Sends a request to an executor under a durable claim of its idempotency key.
    pub(super) async fn dispatch_at_most_once(
        &self,
        req: &CallerRequest,
        hop: &RequestSpan,
    ) -> FinalResponse {
        let claim = match claim_for(req, self.next_id()) {
            Ok(claim) => claim,
            Err(reason) => return FinalResponse::not_run(&req.service, reason),
        };
        // Without the store a resend gets no response, but the claim still prevents a second run.
        drop(self.responses.send(BeginDispatch(claim.request)).await);
        let (mut request, mut action) = AtMostOnceRequest::new(claim);
        let mut response = None;
        loop {
            let input = match action {
                AtMostOnceAction::Claim => self.claim(req, claim, hop).await,
                AtMostOnceAction::Dispatch => {
                    let dispatched = self.dispatch(req, claim.request, hop).await;
                    let end = claim_end(dispatched.outcome);
                    response = Some(dispatched);
                    AtMostOnceInput::ExchangeEnded(end)
                }
                AtMostOnceAction::LookUp { by } => {
                    let reply = self.look_up(req, by).await;
                    let (result, stored) = lookup_result(req, reply);
                    response = stored;
                    AtMostOnceInput::LookupEnded(result)
                }
                AtMostOnceAction::Finish { answer, end } => {
                    let response = final_response(req, answer, response);
                    self.report_end(claim, end, &response).await;
                    return response;
                }
                AtMostOnceAction::Ignored => {
                    return FinalResponse::unknown(&req.service, UnknownReason::EarlierAttempt);
                }
            };
            action = request.step(input);
        }
    }

    async fn claim(&self, req: &CallerRequest, claim: Claim, hop: &RequestSpan) -> AtMostOnceInput {
        let _step = hop.internal_span("claim");
        let wait = req.remaining().min(CLAIM_TIMEOUT);
        match tokio::time::timeout(wait, self.control.claim(claim)).await {
            Ok(Ok(verdict)) => AtMostOnceInput::Verdict(verdict),
            Ok(Err(_)) | Err(_) => AtMostOnceInput::GiveUp,
        }
    }

    /// Looks up the response to the first dispatch, here or at the entry that made it.
    ///
    /// Waits until the dispatch has ended, but no longer than the deadline of `req`.
    async fn look_up(&self, req: &CallerRequest, first: RequestId) -> LookupReply {
        let remaining = req.remaining();
        if first.entry() != self.entry {
            let Ok(Some(address)) = self.peers.send(FindPeer(first.entry())).await else {
                return LookupReply::Unknown;
            };
            return look_up_response(address, first, remaining).await;
        }
        let Ok(reply) = self.responses.send(LookUp(first)).await else {
            return LookupReply::Unknown;
        };
        let reply = tokio::time::timeout(remaining, reply).await;
        reply
            .ok()
            .and_then(Result::ok)
            .unwrap_or(LookupReply::Unknown)
    }

    /// Reports the end of a request to lookups that wait for it and to the control replicas.
    async fn report_end(
        &self,
        claim: Claim,
        end: Option<ClaimEnd>,
        final_response: &FinalResponse,
    ) {
        let request = claim.request;
        let response = match (&final_response.reply, end) {
            (Some(reply), Some(ClaimEnd::Ran)) => Some(StoredResponse::from_reply(reply).await),
            _ => None,
        };
        let ended = EndDispatch {
            request,
            end: end.unwrap_or(ClaimEnd::NotRun),
            response,
        };
        drop(self.responses.send(ended).await);
        if let Some(end) = end {
            let key = claim.key;
            self.control
                .end_claim(EndedClaim { key, request, end })
                .await;
        }
    }
}

/// Creates the claim of a request's idempotency key.
fn claim_for(req: &CallerRequest, request: RequestId) -> Result<Claim, NotRunReason> {
    let now_s = since_epoch().as_secs();
    let key = IdempotencyKey::parse(req.idempotency_key()?, now_s).map_err(KeyError::reason)?;
    Ok(Claim {
        key: key.claim_key(&req.service),
        fingerprint: fingerprint(&req.method, &req.path, &*req.body),
        request,
    })
}

const fn claim_end(outcome: Outcome) -> ClaimEnd {
    match outcome {
        Outcome::Answered => ClaimEnd::Ran,
        Outcome::NotRun { .. } => ClaimEnd::NotRun,
        Outcome::Unknown { .. } => ClaimEnd::Unknown,
    }
}

/// Splits the reply to a lookup into its result and the stored response, if there is one.
fn lookup_result(req: &CallerRequest, reply: LookupReply) -> (LookupResult, Option<FinalResponse>) {
    match reply {
        LookupReply::Response(stored) => match stored.into_reply() {
            Some(reply) => (
                LookupResult::Stored,
                Some(FinalResponse::answered(&req.service, reply)),
            ),
            None => (LookupResult::Ended(ClaimEnd::Ran), None),
        },
        LookupReply::Ended(end) => (LookupResult::Ended(end), None),
        LookupReply::Unknown => (LookupResult::NotFound, None),
    }
}

fn final_response(
    req: &CallerRequest,
    answer: FinalAnswer,
    response: Option<FinalResponse>,
) -> FinalResponse {
    let service: &Arc<str> = &req.service;
    match (answer, response) {
        (FinalAnswer::Exchange | FinalAnswer::Stored, Some(response)) => response,
        (FinalAnswer::NotRun(reason), _) => FinalResponse::not_run(service, reason),
        (FinalAnswer::Unknown(reason), _) => FinalResponse::unknown(service, reason),
        (FinalAnswer::Exchange | FinalAnswer::Stored, None) => {
            FinalResponse::unknown(service, UnknownReason::EarlierAttempt)
        }
    }
}
