//! The decisions on one request that must run at most once.

use masticfield_core::claim::{Claim, ClaimEnd, ClaimVerdict};
use masticfield_core::ids::RequestId;
use masticfield_core::outcome::{NotRunReason, UnknownReason};

use super::OnceDefect;

/// Claims that are made for one request, at most.
const MAX_CLAIMS: u8 = 2;

/// One request from its claim to its final answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OnceRequest {
    claim: Claim,
    stage: Stage,
    claims: u8,
    defect: OnceDefect,
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
pub enum OnceInput {
    /// The verdict on the claim arrived.
    Verdict(ClaimVerdict),
    /// The exchange with the upstream ended.
    Exchanged(ClaimEnd),
    /// What the entry of the first dispatch says.
    First(FirstAnswer),
    /// No more time is left, or the claim cannot be made.
    GiveUp,
}

/// What the entry of the first dispatch knows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FirstAnswer {
    /// It holds the whole answer.
    Held,
    /// The dispatch ended so, and no answer is held.
    Ended(ClaimEnd),
    /// It knows nothing, or cannot be reached.
    NotKnown,
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnceNext {
    /// Claim the key, or claim it again.
    Claim,
    /// Send the request to an upstream.
    Dispatch,
    /// Ask the entry of the first dispatch, this one or another, for its answer.
    Seek {
        /// The first dispatch.
        by: RequestId,
    },
    /// Give the final answer, and report the end of the claim if there is one.
    Finish {
        /// The final answer.
        answer: OnceAnswer,
        /// The end to report.
        end: Option<ClaimEnd>,
    },
    /// Nothing; the final answer is given already.
    Nothing,
}

/// The final answer to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnceAnswer {
    /// What came of the exchange with the upstream.
    Exchanged,
    /// The answer of the first dispatch.
    First,
    /// The request did not run.
    NotRun(NotRunReason),
    /// There is no proof, or no answer any more.
    Unknown(UnknownReason),
}

impl OnceRequest {
    /// Creates a request, which begins with its claim.
    pub const fn new(claim: Claim) -> (Self, OnceNext) {
        let request = Self {
            claim,
            stage: Stage::Claiming,
            claims: 1,
            defect: OnceDefect::None,
        };
        (request, OnceNext::Claim)
    }

    /// Leaves out a guard, for tests that show that they can fail.
    #[must_use]
    pub const fn with_defect(mut self, defect: OnceDefect) -> Self {
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
    pub fn step(&mut self, input: OnceInput) -> OnceNext {
        match (self.stage, input) {
            (Stage::Claiming, OnceInput::Verdict(verdict)) => self.judge(verdict),
            (Stage::Claiming, OnceInput::GiveUp) => self.give_up(),
            (Stage::Dispatched, OnceInput::Exchanged(end)) => self.exchanged(end),
            (Stage::Seeking { ran }, OnceInput::First(first)) => self.found(ran, first),
            (Stage::Seeking { ran }, OnceInput::GiveUp) => self.found(ran, FirstAnswer::NotKnown),
            (Stage::Done, OnceInput::Verdict(ClaimVerdict::Granted))
                if self.defect == OnceDefect::RunAfterGivingUp =>
            {
                self.dispatch()
            }
            _ => OnceNext::Nothing,
        }
    }

    fn judge(&mut self, verdict: ClaimVerdict) -> OnceNext {
        match verdict {
            ClaimVerdict::Granted | ClaimVerdict::AlreadyYours => self.dispatch(),
            ClaimVerdict::Held { .. } if self.defect == OnceDefect::RunWhenHeld => self.dispatch(),
            ClaimVerdict::Held { by } => self.seek(by, false),
            ClaimVerdict::Ran { by } => self.seek(by, true),
            ClaimVerdict::Unknown { .. } => self.unknown(UnknownReason::EarlierAttempt),
            ClaimVerdict::OtherRequest => self.not_run(NotRunReason::KeyReused, None),
            ClaimVerdict::Expired => self.not_run(NotRunReason::KeyExpired, None),
        }
    }

    const fn dispatch(&mut self) -> OnceNext {
        self.stage = Stage::Dispatched;
        OnceNext::Dispatch
    }

    const fn seek(&mut self, by: RequestId, ran: bool) -> OnceNext {
        self.stage = Stage::Seeking { ran };
        OnceNext::Seek { by }
    }

    /// The claim may be durable or become so; its end frees the key, for it never runs.
    fn give_up(&mut self) -> OnceNext {
        let end = match self.defect {
            OnceDefect::ClaimMeansRan => ClaimEnd::Ran,
            _ => ClaimEnd::NotRun,
        };
        self.not_run(NotRunReason::ClaimUnavailable, Some(end))
    }

    fn exchanged(&mut self, end: ClaimEnd) -> OnceNext {
        let frees = self.defect == OnceDefect::FreeWhenUnknown && end == ClaimEnd::Unknown;
        let end = if frees { ClaimEnd::NotRun } else { end };
        self.finish(OnceAnswer::Exchanged, Some(end))
    }

    fn found(&mut self, ran: bool, first: FirstAnswer) -> OnceNext {
        match first {
            FirstAnswer::Held => self.finish(OnceAnswer::First, None),
            // The key is free again, or will be as soon as the end is durable.
            FirstAnswer::Ended(ClaimEnd::NotRun) if !ran && self.claims < MAX_CLAIMS => {
                self.claims += 1;
                self.stage = Stage::Claiming;
                OnceNext::Claim
            }
            FirstAnswer::Ended(ClaimEnd::Ran) => self.unknown(UnknownReason::AlreadyRan),
            _ if ran => self.unknown(UnknownReason::AlreadyRan),
            _ => self.unknown(UnknownReason::EarlierAttempt),
        }
    }

    fn not_run(&mut self, reason: NotRunReason, end: Option<ClaimEnd>) -> OnceNext {
        self.finish(OnceAnswer::NotRun(reason), end)
    }

    fn unknown(&mut self, reason: UnknownReason) -> OnceNext {
        self.finish(OnceAnswer::Unknown(reason), None)
    }

    const fn finish(&mut self, answer: OnceAnswer, end: Option<ClaimEnd>) -> OnceNext {
        self.stage = Stage::Done;
        OnceNext::Finish { answer, end }
    }
}
