//! Workers of the fake platform.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Generation, HostHealth};
use masticfield_core::note::{HostSpec, Resources};
use masticfield_core::platform::{HostCommand, HostOrder, WorkerReport};

use super::{OrderOutcome, Timings};

/// State of one worker, which stands for a host.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    spec: HostSpec,
    state: WorkerState,
    isolated: bool,
    /// Since when the worker is down or isolated.
    unreachable_since: Option<Duration>,
    /// Highest generation seen; orders of lower ones are fenced.
    generation: Generation,
    drain_ends_at: Option<Duration>,
    drained: Option<Generation>,
    reboots: u64,
    recovers_after_reboot: bool,
    pub(super) fails_all_tasks: bool,
    /// Generation that holds the lease of the host, and when it expires.
    pub(super) lease: Option<(Generation, Duration)>,
    /// Cursor of the last change, which decides which reports include the worker.
    pub(super) changed_at: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkerState {
    Up,
    Down,
    Rebooting { until: Duration },
}

impl Worker {
    pub(super) const fn new(spec: HostSpec) -> Self {
        Self {
            spec,
            state: WorkerState::Up,
            isolated: false,
            unreachable_since: None,
            generation: Generation::new(0),
            drain_ends_at: None,
            drained: None,
            reboots: 0,
            recovers_after_reboot: true,
            fails_all_tasks: false,
            lease: None,
            changed_at: 0,
        }
    }

    /// Whether the worker accepts orders and renewals.
    pub(super) const fn is_reachable(&self) -> bool {
        matches!(self.state, WorkerState::Up) && !self.isolated
    }

    /// Whether the worker is powered on, so that its tasks run.
    pub(super) const fn is_up(&self) -> bool {
        matches!(self.state, WorkerState::Up)
    }

    /// Whether the worker is up, holds a lease of `generation` that is valid at `now`, and has not
    /// been drained for that generation.
    pub(super) fn is_leased_to(&self, generation: Generation, now: Duration) -> bool {
        let drained = self.drained.is_some_and(|drained| drained >= generation);
        let leased = self
            .lease
            .is_some_and(|(holder, expires_at)| holder == generation && now < expires_at);
        self.is_up() && leased && !drained
    }

    /// Whether the worker drains or is drained for its generation, so that no task may start.
    pub(super) const fn is_draining(&self) -> bool {
        self.drain_ends_at.is_some()
            || matches!(self.drained, Some(drained) if drained.number() >= self.generation.number())
    }

    /// Lets the next reboot end with the worker down.
    pub(super) const fn fail_next_reboot(&mut self) {
        self.recovers_after_reboot = false;
    }

    pub(super) const fn fail(&mut self, now: Duration) {
        self.state = WorkerState::Down;
        self.unreachable_since = Some(now);
        self.lease = None;
    }

    pub(super) const fn isolate(&mut self, now: Duration, isolated: bool) {
        self.isolated = isolated;
        self.unreachable_since = if isolated { Some(now) } else { None };
    }

    /// Brings the worker up with nothing running; the highest generation seen is kept.
    pub(super) const fn repair(&mut self) {
        self.state = WorkerState::Up;
        self.isolated = false;
        self.unreachable_since = None;
        self.recovers_after_reboot = true;
        self.drain_ends_at = None;
        self.drained = Some(self.generation);
        self.reboots += 1;
    }

    pub(super) fn order(
        &mut self,
        now: Duration,
        command: HostCommand,
        order: HostOrder,
        timings: Timings,
    ) -> OrderOutcome {
        if !self.is_reachable() {
            return OrderOutcome::Unreachable;
        }
        if order.generation < self.generation {
            return OrderOutcome::Fenced;
        }
        self.generation = order.generation;
        match command {
            HostCommand::Drain if !self.is_draining() => {
                self.drain_ends_at = Some(now + timings.drain);
            }
            HostCommand::Resume => {
                self.drain_ends_at = None;
                self.drained = None;
            }
            HostCommand::Reboot
                if order
                    .completed
                    .is_none_or(|completed| completed >= self.reboots) =>
            {
                let until = now + timings.reboot;
                self.state = WorkerState::Rebooting { until };
                self.lease = None;
            }
            HostCommand::Drain | HostCommand::Reboot => {}
        }
        OrderOutcome::Accepted
    }

    /// Accepts a higher generation as the owner of the host, which ends a drain.
    pub(super) fn adopt_generation(&mut self, generation: Generation) {
        if generation > self.generation {
            self.generation = generation;
            self.drain_ends_at = None;
        }
    }

    /// Advances the worker to `now`; `busy` is whether tasks still hold resources on it.
    pub(super) fn advance(&mut self, now: Duration, busy: bool) {
        if let WorkerState::Rebooting { until } = self.state
            && now >= until
        {
            if self.recovers_after_reboot {
                self.state = WorkerState::Up;
                self.reboots += 1;
            } else {
                self.state = WorkerState::Down;
                self.unreachable_since = Some(now);
            }
        }
        if self.drain_ends_at.is_some_and(|end| now >= end) && !busy && self.is_up() {
            self.drain_ends_at = None;
            self.drained = Some(self.generation);
            self.lease = None;
        }
    }

    fn health(&self, now: Duration, timings: Timings) -> HostHealth {
        match (self.state, self.unreachable_since) {
            (WorkerState::Rebooting { .. }, _) => HostHealth::Rebooting,
            (_, Some(since)) if now >= since + timings.failure_detection => HostHealth::Failed,
            (_, Some(_)) => HostHealth::Suspect,
            _ => HostHealth::Healthy,
        }
    }

    pub(super) fn report(&self, now: Duration, timings: Timings) -> WorkerReport {
        WorkerReport {
            host: Arc::clone(&self.spec.name),
            zone: Arc::clone(&self.spec.zone),
            rack: Arc::clone(&self.spec.rack),
            capacity: self.capacity(),
            health: self.health(now, timings),
            drained: self.drained.filter(|_| self.is_reachable()),
            reboots: self.reboots,
        }
    }

    pub(super) const fn capacity(&self) -> Resources {
        Resources::new(
            self.spec.cores * 1_000,
            self.spec.memory_gb * 1_024,
            self.spec.accelerators,
        )
    }
}
