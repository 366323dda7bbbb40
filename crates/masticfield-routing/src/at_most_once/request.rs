//! The decisions on one request that must run at most once.

use masticfield_core::claim::{Claim, ClaimEnd, ClaimVerdict};
use masticfield_core::ids::RequestId;
use masticfield_core::outcome::{NotRunReason, UnknownReason};

use super::AtMostOnceDefect;

/// Claims that are made for one request, at most.
const MAX_CLAIMS: u8 = 2;

/// One request from its claim to its final answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AtMostOnceRequest {
    claim: Claim,
    stage: Stage,
    claims: u8,
    defect: AtMostOnceDefect,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The verdict is awaited.
    Claiming,
    /// The request is at an upstream.
    Dispatched,
    /// The first answer is sought; `ran` if the claim says that the request ran.
    Seeking { ran: bool },
    /// The final answer is given.
    Done,
}

/// Something that happened to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AtMostOnceInput {
    /// The verdict on the claim arrived.
    Verdict(ClaimVerdict),
    /// The exchange with the upstream ended.
    ExchangeEnded(ClaimEnd),
    /// What the entry of the first dispatch says.
    LookupEnded(LookupResult),
    /// No more time is left, or the claim cannot be made.
    GiveUp,
}

/// What the entry of the first dispatch knows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LookupResult {
    /// It holds the whole answer.
    Stored,
    /// The dispatch ended so, and no answer is held.
    Ended(ClaimEnd),
    /// It knows nothing, or cannot be reached.
    NotFound,
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AtMostOnceAction {
    /// Claim the key, or claim it again.
    Claim,
    /// Send the request to an upstream.
    Dispatch,
    /// Ask the entry of the first dispatch, this one or another, for its answer.
    LookUp {
        /// The first dispatch.
        by: RequestId,
    },
    /// Give the final answer, and report the end of the claim if there is one.
    Finish {
        /// The final answer.
        answer: FinalAnswer,
        /// The end to report.
        end: Option<ClaimEnd>,
    },
    /// Nothing; the final answer is given already.
    Ignored,
}

/// The final answer to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// What came of the exchange with the upstream.
    Exchange,
    /// The answer of the first dispatch.
    Stored,
    /// The request did not run.
    NotRun(NotRunReason),
    /// There is no proof, or no answer any more.
    Unknown(UnknownReason),
}

impl AtMostOnceRequest {
    /// Creates a request, which begins with its claim.
    pub const fn new(claim: Claim) -> (Self, AtMostOnceAction) {
        let request = Self {
            claim,
            stage: Stage::Claiming,
            claims: 1,
            defect: AtMostOnceDefect::None,
        };
        (request, AtMostOnceAction::Claim)
    }

    /// Leaves out a guard, for tests that show that they can fail.
    #[must_use]
    pub const fn with_defect(mut self, defect: AtMostOnceDefect) -> Self {
        self.defect = defect;
        self
    }

    /// The claim of the request.
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Takes an input and returns what is to be done.
    ///
    /// An input that no longer matters, such as a verdict after the final answer, is ignored.
    pub fn step(&mut self, input: AtMostOnceInput) -> AtMostOnceAction {
        match (self.stage, input) {
            (Stage::Claiming, AtMostOnceInput::Verdict(verdict)) => self.judge(verdict),
            (Stage::Claiming, AtMostOnceInput::GiveUp) => self.give_up(),
            (Stage::Dispatched, AtMostOnceInput::ExchangeEnded(end)) => self.exchanged(end),
            (Stage::Seeking { ran }, AtMostOnceInput::LookupEnded(first)) => self.found(ran, first),
            (Stage::Seeking { ran }, AtMostOnceInput::GiveUp) => {
                self.found(ran, LookupResult::NotFound)
            }
            (Stage::Done, AtMostOnceInput::Verdict(ClaimVerdict::Granted))
                if self.defect == AtMostOnceDefect::RunAfterGivingUp =>
            {
                self.dispatch()
            }
            _ => AtMostOnceAction::Ignored,
        }
    }

    fn judge(&mut self, verdict: ClaimVerdict) -> AtMostOnceAction {
        match verdict {
            ClaimVerdict::Granted | ClaimVerdict::AlreadyYours => self.dispatch(),
            ClaimVerdict::Held { .. } if self.defect == AtMostOnceDefect::RunWhenHeld => {
                self.dispatch()
            }
            ClaimVerdict::Held { by } => self.seek(by, false),
            ClaimVerdict::Ran { by } => self.seek(by, true),
            ClaimVerdict::Unknown { .. } => self.unknown(UnknownReason::EarlierAttempt),
            ClaimVerdict::OtherRequest => self.not_run(NotRunReason::KeyReused, None),
            ClaimVerdict::Expired => self.not_run(NotRunReason::KeyExpired, None),
        }
    }

    const fn dispatch(&mut self) -> AtMostOnceAction {
        self.stage = Stage::Dispatched;
        AtMostOnceAction::Dispatch
    }

    const fn seek(&mut self, by: RequestId, ran: bool) -> AtMostOnceAction {
        self.stage = Stage::Seeking { ran };
        AtMostOnceAction::LookUp { by }
    }

    /// The claim may be durable or become so; its end frees the key, for it never runs.
    fn give_up(&mut self) -> AtMostOnceAction {
        let end = match self.defect {
            AtMostOnceDefect::ClaimMeansRan => ClaimEnd::Ran,
            _ => ClaimEnd::NotRun,
        };
        self.not_run(NotRunReason::ClaimUnavailable, Some(end))
    }

    fn exchanged(&mut self, end: ClaimEnd) -> AtMostOnceAction {
        let frees = self.defect == AtMostOnceDefect::FreeWhenUnknown && end == ClaimEnd::Unknown;
        let end = if frees { ClaimEnd::NotRun } else { end };
        self.finish(FinalAnswer::Exchange, Some(end))
    }

    fn found(&mut self, ran: bool, first: LookupResult) -> AtMostOnceAction {
        match first {
            LookupResult::Stored => self.finish(FinalAnswer::Stored, None),
            // The key is free again, or will be as soon as the end is durable.
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
        self.stage = Stage::Done;
        AtMostOnceAction::Finish { answer, end }
    }
}
