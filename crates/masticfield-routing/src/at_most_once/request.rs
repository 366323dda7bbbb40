//! State machine of one request that must run at most once.

use masticfield_core::claim::{Claim, ClaimEnd, ClaimVerdict};
use masticfield_core::ids::RequestId;
use masticfield_core::outcome::{NotRunReason, UnknownReason};

use super::AtMostOnceDefect;

/// Maximum number of claims made for one request.
const MAX_CLAIMS: u8 = 2;

/// A request from the claim of its key to its final answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AtMostOnceRequest {
    claim: Claim,
    stage: Stage,
    claims: u8,
    defect: AtMostOnceDefect,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The claim is pending.
    Claiming,
    /// The request was sent to an upstream.
    Dispatched,
    /// The response to an earlier dispatch is looked up; `ran` if the claim says that it ran.
    LookingUp { ran: bool },
    /// The final answer was given.
    Finished,
}

/// An event that advances an [`AtMostOnceRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AtMostOnceInput {
    /// The verdict on the claim arrived.
    Verdict(ClaimVerdict),
    /// The exchange with the upstream ended.
    ExchangeEnded(ClaimEnd),
    /// The entry of the first dispatch answered, or could not be reached.
    LookupEnded(LookupResult),
    /// The time is up, or the claim cannot be made.
    GiveUp,
}

/// What the entry of the first dispatch has recorded of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LookupResult {
    /// The whole response is stored.
    Stored,
    /// The dispatch ended in this way, and no response is stored.
    Ended(ClaimEnd),
    /// The entry has no record of the dispatch, or cannot be reached.
    NotFound,
}

/// What the caller of [`AtMostOnceRequest::step`] has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AtMostOnceAction {
    /// Claim the key, possibly for the second time.
    Claim,
    /// Send the request to an upstream.
    Dispatch,
    /// Look up the response at the entry of the first dispatch, which may be this one.
    LookUp {
        /// The first dispatch.
        by: RequestId,
    },
    /// Give the final answer, and report the end of the claim if there is one.
    Finish {
        /// The final answer.
        answer: FinalAnswer,
        /// The end to report; `None` if this request does not hold the claim.
        end: Option<ClaimEnd>,
    },
    /// Do nothing: the input does not apply at this stage.
    Ignored,
}

/// The final answer to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The result of this request's own exchange with the upstream.
    Exchange,
    /// The stored response to the first dispatch.
    Stored,
    /// The request did not run.
    NotRun(NotRunReason),
    /// The first dispatch may have run, or its response is no longer stored.
    Unknown(UnknownReason),
}

impl AtMostOnceRequest {
    /// Creates a request together with its first action, the claim.
    pub const fn new(claim: Claim) -> (Self, AtMostOnceAction) {
        let request = Self {
            claim,
            stage: Stage::Claiming,
            claims: 1,
            defect: AtMostOnceDefect::None,
        };
        (request, AtMostOnceAction::Claim)
    }

    /// Leaves out a guard, for tests that must detect the defect.
    #[must_use]
    pub const fn with_defect(mut self, defect: AtMostOnceDefect) -> Self {
        self.defect = defect;
        self
    }

    /// The claim of the request's key.
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Processes an input and returns the next action.
    ///
    /// Inputs that do not apply at this stage, such as a verdict after the final answer, are
    /// ignored.
    pub fn step(&mut self, input: AtMostOnceInput) -> AtMostOnceAction {
        match (self.stage, input) {
            (Stage::Claiming, AtMostOnceInput::Verdict(verdict)) => self.on_verdict(verdict),
            (Stage::Claiming, AtMostOnceInput::GiveUp) => self.give_up(),
            (Stage::Dispatched, AtMostOnceInput::ExchangeEnded(end)) => self.on_exchange_ended(end),
            (Stage::LookingUp { ran }, AtMostOnceInput::LookupEnded(result)) => {
                self.on_lookup_ended(ran, result)
            }
            (Stage::LookingUp { ran }, AtMostOnceInput::GiveUp) => {
                self.on_lookup_ended(ran, LookupResult::NotFound)
            }
            (Stage::Finished, AtMostOnceInput::Verdict(ClaimVerdict::Granted))
                if self.defect == AtMostOnceDefect::RunAfterGivingUp =>
            {
                self.dispatch()
            }
            _ => AtMostOnceAction::Ignored,
        }
    }

    fn on_verdict(&mut self, verdict: ClaimVerdict) -> AtMostOnceAction {
        match verdict {
            ClaimVerdict::Granted | ClaimVerdict::AlreadyYours => self.dispatch(),
            ClaimVerdict::Held { .. } if self.defect == AtMostOnceDefect::RunWhenHeld => {
                self.dispatch()
            }
            ClaimVerdict::Held { by } => self.look_up(by, false),
            ClaimVerdict::Ran { by } => self.look_up(by, true),
            ClaimVerdict::Unknown { .. } => self.unknown(UnknownReason::EarlierAttempt),
            ClaimVerdict::OtherRequest => self.not_run(NotRunReason::KeyReused, None),
            ClaimVerdict::Expired => self.not_run(NotRunReason::KeyExpired, None),
        }
    }

    const fn dispatch(&mut self) -> AtMostOnceAction {
        self.stage = Stage::Dispatched;
        AtMostOnceAction::Dispatch
    }

    const fn look_up(&mut self, by: RequestId, ran: bool) -> AtMostOnceAction {
        self.stage = Stage::LookingUp { ran };
        AtMostOnceAction::LookUp { by }
    }

    /// Ends a request without a verdict.
    ///
    /// The claim may still become durable. As the request is never dispatched, it is reported as
    /// not run, which frees the key.
    fn give_up(&mut self) -> AtMostOnceAction {
        let end = match self.defect {
            AtMostOnceDefect::GivingUpReportsRan => ClaimEnd::Ran,
            _ => ClaimEnd::NotRun,
        };
        self.not_run(NotRunReason::ClaimUnavailable, Some(end))
    }

    fn on_exchange_ended(&mut self, end: ClaimEnd) -> AtMostOnceAction {
        let frees = self.defect == AtMostOnceDefect::FreeWhenUnknown && end == ClaimEnd::Unknown;
        let end = if frees { ClaimEnd::NotRun } else { end };
        self.finish(FinalAnswer::Exchange, Some(end))
    }

    fn on_lookup_ended(&mut self, ran: bool, result: LookupResult) -> AtMostOnceAction {
        match result {
            LookupResult::Stored => self.finish(FinalAnswer::Stored, None),
            // The key is free again, or will be as soon as this end is durable.
            LookupResult::Ended(ClaimEnd::NotRun) if !ran && self.claims < MAX_CLAIMS => {
                self.claims += 1;
                self.stage = Stage::Claiming;
                AtMostOnceAction::Claim
            }
            LookupResult::Ended(ClaimEnd::Ran) => self.unknown(UnknownReason::AlreadyRan),
            _ if ran => self.unknown(UnknownReason::AlreadyRan),
            _ => self.unknown(UnknownReason::EarlierAttempt),
        }
    }

    fn not_run(&mut self, reason: NotRunReason, end: Option<ClaimEnd>) -> AtMostOnceAction {
        self.finish(FinalAnswer::NotRun(reason), end)
    }

    fn unknown(&mut self, reason: UnknownReason) -> AtMostOnceAction {
        self.finish(FinalAnswer::Unknown(reason), None)
    }

    const fn finish(&mut self, answer: FinalAnswer, end: Option<ClaimEnd>) -> AtMostOnceAction {
        self.stage = Stage::Finished;
        AtMostOnceAction::Finish { answer, end }
    }
}
