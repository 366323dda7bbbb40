//! The record of one request of an operator at this process.

use std::time::Duration;

use masticfield_core::clock::boot_now;

use super::{ControlView, JobMetrics};

/// What an operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorRequestKind {
    /// Puts a configuration in force.
    PutConfig,
    /// Reads the configuration in force.
    ReadConfig,
    /// Starts a wave of upkeep.
    StartWave,
    /// Reads the progress of a wave of upkeep.
    ReadWave,
}

/// How this process responded to a request of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorOutcome {
    /// The order was stored, or the value was read.
    Done,
    /// The request is invalid, so nothing was stored.
    Invalid,
    /// This process cannot serve the request now, or does not know whether it has stored the order.
    NotReady,
    /// The operator was referred to the leader.
    Redirected,
    /// The operator closed the connection before the response.
    Disconnected,
}

/// One request of an operator, from its receipt to the response.
///
/// Each request leaves a line when it arrives and one when it ends, and counts in
/// `masticfield_operator_request_seconds` by its kind and outcome. A request that is dropped without
/// an outcome was given up by the operator.
#[derive(Debug)]
pub struct OperatorRequest {
    kind: OperatorRequestKind,
    /// Version of the configuration or number of the wave, if it was read.
    number: Option<u64>,
    received: Duration,
    metrics: JobMetrics,
    is_recorded: bool,
}

impl OperatorRequest {
    pub(super) fn new(
        kind: OperatorRequestKind,
        number: Option<u64>,
        view: &ControlView,
        metrics: JobMetrics,
    ) -> Self {
        let received = boot_now();
        let leader = view.leader.map(|leader| leader.to_string());
        log::info!(
            request = kind.name(), number, leads = view.is_leader, term = view.term,
            leader = leader.as_deref().unwrap_or("none"), leader_known_ms = view.leader_age(received).as_millis();
            "operator request received"
        );
        Self {
            kind,
            number,
            received,
            metrics,
            is_recorded: false,
        }
    }

    /// Records how this process responded.
    pub fn finish(mut self, outcome: OperatorOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: OperatorOutcome) {
        self.is_recorded = true;
        let took = boot_now().saturating_sub(self.received);
        log::info!(
            request = self.kind.name(), number = self.number, outcome = outcome.name(),
            took_ms = took.as_millis();
            "operator request answered"
        );
        self.metrics
            .observe_operator_request(self.kind, outcome, took);
    }
}

impl Drop for OperatorRequest {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.record(OperatorOutcome::Disconnected);
        }
    }
}

impl OperatorRequestKind {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::PutConfig => "put-config",
            Self::ReadConfig => "read-config",
            Self::StartWave => "start-wave",
            Self::ReadWave => "read-wave",
        }
    }
}

impl OperatorOutcome {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Invalid => "invalid",
            Self::NotReady => "not-ready",
            Self::Redirected => "redirected",
            Self::Disconnected => "disconnected",
        }
    }
}
