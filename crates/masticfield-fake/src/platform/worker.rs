//! A worker of the platform.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Generation, HostHealth};
use masticfield_core::note::{HostSpec, Resources};
use masticfield_core::platform::{HostCommand, HostOrder, WorkerReport};

use super::{OrderOutcome, Timings};

/// A worker with what it would say of itself.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    spec: HostSpec,
    state: State,
    isolated: bool,
    down_since: Option<Duration>,
    generation: Generation,
    drain_ends: Option<Duration>,
    drained: Option<Generation>,
    reboots: u64,
    returns: bool,
    pub(super) fails_all_tasks: bool,
    pub(super) lease: Option<(Generation, Duration)>,
    pub(super) changed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Up,
    Down,
    Rebooting { until: Duration },
}

impl Worker {
    pub(super) const fn new(spec: HostSpec) -> Self {
        Self {
            spec,
            state: State::Up,
            isolated: false,
            down_since: None,
            generation: Generation::new(0),
            drain_ends: None,
            drained: None,
            reboots: 0,
            returns: true,
            fails_all_tasks: false,
            lease: None,
            changed: 0,
        }
    }

    /// Whether it takes orders and sends reports.
    pub(super) const fn is_reachable(&self) -> bool {
        matches!(self.state, State::Up) && !self.isolated
    }

    /// Whether its tasks run.
    pub(super) const fn is_up(&self) -> bool {
        matches!(self.state, State::Up)
    }

    /// Whether it works for an owner of `generation` at `now`.
    pub(super) fn is_leased_to(&self, generation: Generation, now: Duration) -> bool {
        let drained = self.drained.is_some_and(|drained| drained >= generation);
        let leased = self
            .lease
            .is_some_and(|(of, until)| of == generation && now < until);
        self.is_up() && leased && !drained
    }

    pub(super) const fn is_draining(&self) -> bool {
        self.drain_ends.is_some()
            || matches!(self.drained, Some(it) if it.number() >= self.generation.number())
    }

    pub(super) const fn fail_next_reboot(&mut self) {
        self.returns = false;
    }

    pub(super) const fn fail(&mut self, now: Duration) {
        self.state = State::Down;
        self.down_since = Some(now);
        self.lease = None;
    }

    pub(super) const fn isolate(&mut self, now: Duration, isolated: bool) {
        self.isolated = isolated;
        self.down_since = if isolated { Some(now) } else { None };
    }

    /// Brings it back with nothing running; its generations are remembered.
    pub(super) const fn repair(&mut self) {
        self.state = State::Up;
        self.isolated = false;
        self.down_since = None;
        self.returns = true;
        self.drain_ends = None;
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
                self.drain_ends = Some(now + timings.drain);
            }
            HostCommand::Resume => {
                self.drain_ends = None;
                self.drained = None;
            }
            HostCommand::Reboot if order.completed.is_none_or(|it| it >= self.reboots) => {
                let until = now + timings.reboot;
                self.state = State::Rebooting { until };
                self.lease = None;
            }
            HostCommand::Drain | HostCommand::Reboot => {}
        }
        OrderOutcome::Accepted
    }

    /// Takes a generation that starts work on it.
    pub(super) fn adopt(&mut self, generation: Generation) {
        if generation > self.generation {
            self.generation = generation;
            self.drain_ends = None;
        }
    }

    /// Lets time pass; `busy` tells whether tasks are left on it.
    pub(super) fn advance(&mut self, now: Duration, busy: bool) {
        if let State::Rebooting { until } = self.state
            && now >= until
        {
            if self.returns {
                self.state = State::Up;
                self.reboots += 1;
            } else {
                self.state = State::Down;
                self.down_since = Some(now);
            }
        }
        if self.drain_ends.is_some_and(|end| now >= end) && !busy && self.is_up() {
            self.drain_ends = None;
            self.drained = Some(self.generation);
            self.lease = None;
        }
    }

    fn health(&self, now: Duration, timings: Timings) -> HostHealth {
        match (self.state, self.down_since) {
            (State::Rebooting { .. }, _) => HostHealth::Rebooting,
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
