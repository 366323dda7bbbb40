//! The actor that carries out the decisions of the router.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::config::FleetConfig;
use masticfield_core::ids::{EntryId, WaiterKey};
use masticfield_core::membership::MembershipEvent;
use masticfield_core::outcome::{NotRunReason, Outcome};
use masticfield_routing::request::{
    Admission, Dispatch, DispatchKey, DispatchOutcome, NextStep, Request, RouterAction,
};
use masticfield_routing::router::Router;
use masticfield_routing::slots::SlotMessage;
use tokio::sync::{mpsc, oneshot, watch};
use xtra::prelude::*;

use super::entries::Entries;
use super::metrics::RouterMetrics;

/// Owns the router and the reply handles of requests that wait for its decisions.
#[derive(Debug, Actor)]
pub(crate) struct RouterActor {
    router: Router,
    started_at: Instant,
    entries: Entries,
    waiters: HashMap<WaiterKey, oneshot::Sender<Step>>,
    outbox: mpsc::UnboundedSender<(EntryId, SlotMessage)>,
    next_tick: watch::Sender<Instant>,
    metrics: RouterMetrics,
}

/// What to do next with a request.
#[derive(Debug)]
pub(crate) enum Step {
    /// Send it to an upstream, and report the result with [`FinishDispatch`].
    Run(Dispatch),
    /// Wait for the next step.
    Wait(oneshot::Receiver<Step>),
    /// Respond to the caller with this outcome.
    Done(Outcome),
}

/// Admits a request.
#[derive(Debug)]
pub(crate) struct Admit(pub Request);

/// Reports how a dispatch ended; the reply is the next step, if the dispatch is known.
#[derive(Debug)]
pub(crate) struct FinishDispatch(pub DispatchKey, pub DispatchOutcome);

/// Applies a change of the membership.
#[derive(Debug)]
pub(crate) struct ApplyMembershipEvent(pub MembershipEvent);

/// Applies a new configuration.
#[derive(Debug)]
pub(crate) struct Configure(pub Arc<FleetConfig>);

/// Handles a message about slots from another entry.
#[derive(Debug)]
pub(crate) struct ReceiveSlotMessage(pub EntryId, pub SlotMessage);

/// Advances the router's time; sent when its next tick is due.
#[derive(Debug)]
pub(super) struct Tick;

/// Refuses waiting and new requests, because the entry is stopping.
#[derive(Debug)]
pub(super) struct Stop;

impl RouterActor {
    /// Creates the actor.
    ///
    /// It puts messages to other entries into `outbox` and the time of its next tick into
    /// `next_tick`.
    pub(super) fn new(
        router: Router,
        entries: Entries,
        outbox: mpsc::UnboundedSender<(EntryId, SlotMessage)>,
        next_tick: watch::Sender<Instant>,
        metrics: RouterMetrics,
    ) -> Self {
        let mut actor = Self {
            router,
            started_at: Instant::now(),
            entries,
            waiters: HashMap::new(),
            outbox,
            next_tick,
            metrics,
        };
        actor.update_router_entries();
        actor
    }

    /// Returns the time of the router, which counts from the start of the actor.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn update_router_entries(&mut self) {
        let now = self.now();
        let (all, live) = (self.entries.all(), self.entries.live());
        self.router.set_entries(now, &all, &live);
    }

    fn apply_membership_event(&mut self, event: MembershipEvent) {
        let now = self.now();
        match event {
            MembershipEvent::Upstream(announcement) => {
                self.router.upsert_upstream(now, &announcement);
            }
            MembershipEvent::UpstreamExpired(id, incarnation) => {
                self.router.remove_upstream(&id, incarnation);
            }
            MembershipEvent::EntryUp(info) => {
                self.entries.mark_live(info.id);
                self.update_router_entries();
            }
            MembershipEvent::EntryLeft(id, _) | MembershipEvent::EntrySuspected(id, _) => {
                self.entries.mark_down(id);
                self.update_router_entries();
            }
        }
    }

    /// Registers a waiting request and returns the step that waits for its next one.
    fn wait(&mut self, waiter: WaiterKey) -> Step {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(waiter, tx);
        Step::Wait(rx)
    }

    /// Carries out the actions of the router until there are none left.
    fn carry_out_actions(&mut self) {
        loop {
            let actions = self.router.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.carry_out(action);
            }
        }
        let next_tick = self.started_at + self.router.next_tick();
        // A tick that comes too early is harmless, so a later time is not worth a wake-up.
        self.next_tick.send_if_modified(|due| {
            let earlier = next_tick < *due;
            if earlier {
                *due = next_tick;
            }
            earlier
        });
    }

    /// Sets the time of the next tick after one has come.
    fn schedule_next_tick(&self) {
        let next_tick = self.started_at + self.router.next_tick();
        self.next_tick.send_replace(next_tick);
    }

    fn carry_out(&mut self, action: RouterAction) {
        match action {
            RouterAction::Run(waiter, dispatch) => {
                let key = dispatch.key;
                if !self.send_step(waiter, Step::Run(dispatch)) {
                    let outcome = DispatchOutcome::Withdrawn(NotRunReason::Stopping);
                    let now = self.now();
                    self.router.finish(now, key, outcome);
                }
            }
            RouterAction::Done(waiter, outcome) => {
                self.send_step(waiter, Step::Done(outcome));
            }
            RouterAction::Send(to, msg) => {
                // Fails only if the sending task has ended; such messages may get lost.
                drop(self.outbox.send((to, msg)));
            }
        }
    }

    /// Sends a waiting request its next step; returns false if the request no longer waits.
    fn send_step(&mut self, waiter: WaiterKey, step: Step) -> bool {
        let waiter = self.waiters.remove(&waiter);
        waiter.is_some_and(|tx| tx.send(step).is_ok())
    }
}

impl Handler<Admit> for RouterActor {
    type Return = Step;

    async fn handle(&mut self, message: Admit, _ctx: &mut Context<Self>) -> Step {
        let now = self.now();
        let step = match self.router.admit(now, message.0) {
            Admission::Run(dispatch) => Step::Run(dispatch),
            Admission::Wait(waiter) => self.wait(waiter),
            Admission::Refuse(refusal) => Step::Done(Outcome::NotRun {
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            }),
        };
        self.carry_out_actions();
        step
    }
}

impl Handler<FinishDispatch> for RouterActor {
    type Return = Option<Step>;

    async fn handle(&mut self, message: FinishDispatch, _ctx: &mut Context<Self>) -> Option<Step> {
        let now = self.now();
        let next = self.router.finish(now, message.0, message.1);
        let step = next.map(|next| match next {
            NextStep::Done(outcome) => Step::Done(outcome),
            NextStep::Run(dispatch) => Step::Run(dispatch),
            NextStep::Wait(waiter) => self.wait(waiter),
        });
        self.carry_out_actions();
        step
    }
}

impl Handler<ApplyMembershipEvent> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyMembershipEvent, _ctx: &mut Context<Self>) {
        self.apply_membership_event(message.0);
        self.carry_out_actions();
    }
}

impl Handler<Configure> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: Configure, _ctx: &mut Context<Self>) {
        self.router.configure(message.0.services().values());
        self.carry_out_actions();
    }
}

impl Handler<ReceiveSlotMessage> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveSlotMessage, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.router.receive(now, message.0, message.1);
        self.carry_out_actions();
    }
}

impl Handler<Tick> for RouterActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.router.tick(now);
        self.carry_out_actions();
        self.schedule_next_tick();
        let (waiting, in_flight) = (self.router.waiting(), self.router.in_flight());
        self.metrics
            .update(self.router.counters(), waiting, in_flight);
    }
}

impl Handler<Stop> for RouterActor {
    type Return = ();

    async fn handle(&mut self, _stop: Stop, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.router.stop(now);
        self.carry_out_actions();
    }
}
