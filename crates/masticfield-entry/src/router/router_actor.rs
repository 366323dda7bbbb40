//! The thin shell round the router.

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

/// Holds the router and those who wait for its decisions.
#[derive(Debug, Actor)]
pub(crate) struct RouterActor {
    router: Router,
    started: Instant,
    entries: Entries,
    waiting: HashMap<WaiterKey, oneshot::Sender<Step>>,
    slots: mpsc::UnboundedSender<(EntryId, SlotMessage)>,
    wake_at: watch::Sender<Instant>,
    metrics: RouterMetrics,
}

/// What to do next with a request.
#[derive(Debug)]
pub(crate) enum Step {
    /// Send it, and tell how that ended.
    Run(Dispatch),
    /// Wait for the next step.
    Wait(oneshot::Receiver<Step>),
    /// Tell the caller the outcome.
    Done(Outcome),
}

/// Admits a request.
#[derive(Debug)]
pub(crate) struct Admit(pub Request);

/// A dispatch ended.
#[derive(Debug)]
pub(crate) struct Finish(pub DispatchKey, pub DispatchOutcome);

/// The membership changed.
#[derive(Debug)]
pub(crate) struct Learn(pub MembershipEvent);

/// The configuration changed.
#[derive(Debug)]
pub(crate) struct Configure(pub Arc<FleetConfig>);

/// Another entry sent a message about slots.
#[derive(Debug)]
pub(crate) struct ReceiveSlots(pub EntryId, pub SlotMessage);

/// The moment has come that the router waited for.
#[derive(Debug)]
pub(super) struct Tick;

/// The entry stops.
#[derive(Debug)]
pub(super) struct Stop;

impl RouterActor {
    /// Creates the actor; messages to other entries and the next wake-up go out by channels.
    pub(super) fn new(
        router: Router,
        entries: Entries,
        slots: mpsc::UnboundedSender<(EntryId, SlotMessage)>,
        wake_at: watch::Sender<Instant>,
        metrics: RouterMetrics,
    ) -> Self {
        let mut actor = Self {
            router,
            started: Instant::now(),
            entries,
            waiting: HashMap::new(),
            slots,
            wake_at,
            metrics,
        };
        actor.tell_entries();
        actor
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn tell_entries(&mut self) {
        let now = self.now();
        let (all, live) = (self.entries.all(), self.entries.live());
        self.router.set_entries(now, &all, &live);
    }

    fn learn(&mut self, event: MembershipEvent) {
        let now = self.now();
        match event {
            MembershipEvent::Upstream(announcement) => {
                self.router.upsert_upstream(now, &announcement);
            }
            MembershipEvent::UpstreamExpired(id, incarnation) => {
                self.router.remove_upstream(&id, incarnation);
            }
            MembershipEvent::EntryUp(info) => {
                self.entries.up(info.id);
                self.tell_entries();
            }
            MembershipEvent::EntryLeft(id, _) | MembershipEvent::EntrySuspected(id, _) => {
                self.entries.down(id);
                self.tell_entries();
            }
        }
    }

    /// Keeps the sender of a waiting request's next step.
    fn wait(&mut self, waiter: WaiterKey) -> Step {
        let (tx, rx) = oneshot::channel();
        self.waiting.insert(waiter, tx);
        Step::Wait(rx)
    }

    /// Carries out what the router decided beside its answer.
    fn carry_out(&mut self) {
        loop {
            let actions = self.router.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.carry_out_one(action);
            }
        }
        let wake_at = self.started + self.router.next_tick();
        // A tick that comes too early does no harm, so only an earlier moment is told.
        self.wake_at.send_if_modified(|due| {
            let earlier = wake_at < *due;
            if earlier {
                *due = wake_at;
            }
            earlier
        });
    }

    /// Sets the moment of the next tick after one has come.
    fn wait_for_next_tick(&self) {
        let wake_at = self.started + self.router.next_tick();
        self.wake_at.send_replace(wake_at);
    }

    fn carry_out_one(&mut self, action: RouterAction) {
        match action {
            RouterAction::Run(waiter, dispatch) => {
                let key = dispatch.key;
                if !self.tell(waiter, Step::Run(dispatch)) {
                    let ending = DispatchOutcome::Withdrawn(NotRunReason::Stopping);
                    let now = self.now();
                    self.router.finish(now, key, ending);
                }
            }
            RouterAction::Done(waiter, outcome) => {
                self.tell(waiter, Step::Done(outcome));
            }
            RouterAction::Send(to, msg) => {
                // Without the task that sends, the message counts as lost.
                drop(self.slots.send((to, msg)));
            }
        }
    }

    /// Tells a waiting request its next step; false if nobody waits for it any more.
    fn tell(&mut self, waiter: WaiterKey, step: Step) -> bool {
        let waiting = self.waiting.remove(&waiter);
        waiting.is_some_and(|tx| tx.send(step).is_ok())
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
        self.carry_out();
        step
    }
}

impl Handler<Finish> for RouterActor {
    type Return = Option<Step>;

    async fn handle(&mut self, message: Finish, _ctx: &mut Context<Self>) -> Option<Step> {
        let now = self.now();
        let next = self.router.finish(now, message.0, message.1);
        let step = next.map(|next| match next {
            NextStep::Done(outcome) => Step::Done(outcome),
            NextStep::Run(dispatch) => Step::Run(dispatch),
            NextStep::Wait(waiter) => self.wait(waiter),
        });
        self.carry_out();
        step
    }
}

impl Handler<Learn> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: Learn, _ctx: &mut Context<Self>) {
        self.learn(message.0);
        self.carry_out();
    }
}

impl Handler<Configure> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: Configure, _ctx: &mut Context<Self>) {
        self.router.configure(message.0.services().values());
        self.carry_out();
    }
}

impl Handler<ReceiveSlots> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveSlots, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.router.receive(now, message.0, message.1);
        self.carry_out();
    }
}

impl Handler<Tick> for RouterActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.router.tick(now);
        self.carry_out();
        self.wait_for_next_tick();
        let (waiting, in_flight) = (self.router.waiting(), self.router.in_flight());
        self.metrics
            .show(self.router.counters(), waiting, in_flight);
    }
}

impl Handler<Stop> for RouterActor {
    type Return = ();

    async fn handle(&mut self, _stop: Stop, _ctx: &mut Context<Self>) {
        let now = self.now();
        self.router.stop(now);
        self.carry_out();
    }
}
