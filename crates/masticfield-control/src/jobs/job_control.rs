//! The loop that joins a replica and the leader's decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::{
    self, ClaimWatch, Decision, Effect, JobRequestKind, Leader, LeaderOptions, Moment, Refusal,
    Reply, ReplyId,
};
use masticfield_jobs::protocol::ToEntry;
use masticfield_jobs::queue::RouteTable;
use masticfield_jobs::state::{Command, State};
use masticfield_node::clock::epoch_ms;
use masticfield_replica::{Applied, AppliedKind, ReplicaHandle};
use tokio::sync::{mpsc, watch};

use super::JobMetrics;
use super::asker::Asker;
use super::handle::{ControlView, EntrySession, Input, JobControlHandle, Question, WaveProgress};
use super::leading::Leading;
use super::observer::Observer;
use super::order::{ExecutorCall, HostOrder, OutboundOrder};

/// Bytes of the log after which the state is stored as a whole.
const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

/// Turns that are not committed yet, at most. Under load the next one gathers what comes until one
/// of them is, so that many decisions share a sync and a round of messages.
const MAX_IN_FLIGHT: usize = 2;

/// Inputs that one pass of the loop takes, at most.
const MAX_BATCH: usize = 256;

/// Orders about hosts in one leadership, at most; each has a fence of its own.
const ORDERS_OF_A_TERM: u64 = 1 << 24;

/// Time between two updates of the gauges.
const SHOW_EVERY: Duration = Duration::from_secs(1);

/// Longest wait between two looks at the replica's status.
const IDLE_CHECK: Duration = Duration::from_millis(250);

/// The loop that joins a replica and the leader's decisions.
pub struct JobControl {
    replica: ReplicaHandle,
    applied: mpsc::Receiver<Applied>,
    rx: mpsc::UnboundedReceiver<Input>,
    orders: mpsc::UnboundedSender<OutboundOrder>,
    options: LeaderOptions,
    /// What is committed.
    state: State,
    routes: RouteTable,
    version: u64,
    claims: ClaimWatch,
    applied_index: u64,
    log_bytes: usize,
    leading: Option<Leading>,
    observer: Observer,
    shown: Duration,
    view: watch::Sender<ControlView>,
}

impl std::fmt::Debug for JobControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("JobControl")
            .field("options", &self.options)
            .field("applied_index", &self.applied_index)
            .field("leads", &self.leading.is_some())
            .finish_non_exhaustive()
    }
}

impl JobControl {
    /// Creates the loop; calls to executors go to `orders`, and what is counted to `metrics`.
    pub fn new(
        replica: ReplicaHandle,
        applied: mpsc::Receiver<Applied>,
        options: LeaderOptions,
        orders: mpsc::UnboundedSender<OutboundOrder>,
        metrics: JobMetrics,
    ) -> (Self, JobControlHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let (view_tx, view) = watch::channel(ControlView::default());
        let control = Self {
            replica,
            applied,
            rx,
            orders,
            options,
            state: State::default(),
            routes: RouteTable::default(),
            version: 0,
            claims: ClaimWatch::new(boot_now()),
            applied_index: 0,
            log_bytes: 0,
            leading: None,
            observer: Observer::new(metrics),
            shown: Duration::ZERO,
            view: view_tx,
        };
        (control, JobControlHandle { tx, view })
    }

    /// Runs until the replica stops or every handle is dropped.
    pub async fn run(mut self) {
        let mut status = self.replica.watch_status();
        let mut inputs = Vec::new();
        loop {
            let leading = self.leading.as_mut();
            let idle = leading
                .as_ref()
                .is_none_or(|leading| leading.in_flight.is_empty());
            let wait = leading.as_ref().map_or(IDLE_CHECK, |leading| {
                if leading.in_flight.len() < MAX_IN_FLIGHT {
                    leading.leader.next_check().saturating_sub(boot_now())
                } else {
                    IDLE_CHECK
                }
            });
            tokio::select! {
                biased;
                applied = self.applied.recv() => match applied {
                    Some(applied) => self.apply(&applied),
                    None => return,
                },
                result = next_proposed(leading), if !idle => match result {
                    Some(effects) => self.carry_out(effects),
                    None => self.step_down("a proposal was not committed"),
                },
                changed = status.changed() => if changed.is_err() {
                    return;
                },
                count = self.rx.recv_many(&mut inputs, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for input in inputs.drain(..) {
                        self.take(input).await;
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            self.check_lead().await;
            self.turn();
            self.show_metrics();
        }
    }

    fn moment() -> Moment {
        Moment {
            monotonic: boot_now(),
            wall_ms: epoch_ms(),
        }
    }

    fn apply(&mut self, applied: &Applied) {
        self.applied_index = applied.index;
        match applied.kind {
            AppliedKind::Snapshot => match postcard::from_bytes(&applied.payload) {
                Ok(state) => {
                    self.state = state;
                    self.claims = ClaimWatch::new(boot_now());
                }
                Err(error) => log::error!(error:%; "the stored state cannot be read"),
            },
            AppliedKind::Payload => {
                match postcard::from_bytes::<Vec<Command>>(&applied.payload) {
                    Ok(commands) => {
                        let at = Self::moment();
                        for command in commands {
                            self.claims.record(at.monotonic, &command);
                            if self.leading.is_some() {
                                self.observer.apply(&mut self.state, command, at.wall_ms);
                            } else {
                                self.state.apply(command);
                            }
                        }
                    }
                    Err(error) => log::error!(error:%; "a command cannot be read"),
                }
                self.log_bytes += applied.payload.len();
            }
        }
        if self.state.version() != self.version {
            self.reconfigured();
        }
        if self.log_bytes > SNAPSHOT_BYTES {
            self.log_bytes = 0;
            let state = postcard::to_stdvec(&self.state).expect("the state is plain data");
            self.replica.snapshot(applied.index, state);
        }
    }

    fn reconfigured(&mut self) {
        self.version = self.state.version();
        let Some(stored) = self.state.config() else {
            return;
        };
        self.routes = self.state.route_table(&stored.config);
        let limits = stored.config.limits;
        log::info!(version = self.version; "configuration in force");
        if let Some(leading) = &self.leading {
            for session in leading.entries.values() {
                drop(session.tx.send(ToEntry::Limits(limits)));
            }
        }
        self.view.send_modify(|view| view.limits = limits);
    }

    /// Applies what is committed already.
    async fn catch_up(&mut self) {
        while self.applied_index < self.replica.status().committed {
            match self.applied.recv().await {
                Some(applied) => self.apply(&applied),
                None => return,
            }
        }
    }

    async fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if let Some(leading) = &mut self.leading {
                    leading.leader.handle(Self::moment(), event);
                }
            }
            Input::Ask { asker, event } => self.take_question(asker, event).await,
            Input::ReadConfig(reply) => {
                let content = if self.may_read().await {
                    self.state
                        .config()
                        .map(|stored| Arc::clone(&stored.content))
                } else {
                    None
                };
                drop(reply.send(content));
            }
            Input::ReadWave(number, reply) => {
                let progress = if self.may_read().await {
                    self.wave_progress(number)
                } else {
                    WaveProgress::NotReady
                };
                // Whoever asked may have gone.
                _ = reply.send(progress);
            }
            Input::EntryAsk {
                session,
                process,
                asker,
                event,
            } => {
                let leading = self.leading.as_ref();
                let open = leading.and_then(|leading| leading.entries.get(&process));
                // What an earlier connection has brought may have been asked again since.
                if open.is_some_and(|open| open.number == session) {
                    self.take_question(asker, event).await;
                }
            }
            Input::Entry { process, session } => self.take_entry(process, session),
        }
    }

    fn wave_progress(&self, number: u64) -> WaveProgress {
        match self.state.waves().get(&number) {
            None => WaveProgress::Unknown,
            Some(wave) if wave.remaining.is_empty() => WaveProgress::Completed,
            Some(_) => WaveProgress::Running,
        }
    }

    /// Whether what is applied here is the newest there is.
    async fn may_read(&mut self) -> bool {
        if self.leading.is_none() || !self.replica.status().holds_lease() {
            return false;
        }
        self.catch_up().await;
        self.replica.status().holds_lease()
    }

    async fn take_question(&mut self, asker: Asker, question: Question) {
        if let Question::JobRequest(intake) = &question
            && intake.kind == JobRequestKind::Read
        {
            let reply = if self.may_read().await {
                leader::read(&self.state, &self.routes, intake)
            } else {
                Reply::Refused(Refusal::NotReady)
            };
            self.observer.metrics.answered(&reply);
            return asker.answer(reply);
        }
        let Some(leading) = &mut self.leading else {
            return asker.answer(Reply::Refused(Refusal::NotReady));
        };
        let ask = leading.note(asker);
        leading.leader.handle(Self::moment(), question.event(ask));
    }

    fn take_entry(&mut self, process: u64, session: EntrySession) {
        let view = self.view.borrow().clone();
        let leads = self.leading.is_some();
        drop(session.tx.send(ToEntry::Group {
            leads,
            leader: view.leader,
            members: view.members,
        }));
        drop(session.tx.send(ToEntry::Limits(view.limits)));
        if let Some(leading) = &mut self.leading {
            // An earlier connection of the process closes here.
            leading.entries.insert(process, session);
        }
    }

    /// Takes up or gives up the leadership as the replica does.
    async fn check_lead(&mut self) {
        let status = self.replica.status();
        let leads = status.leader == Some(status.id) && status.lease_until.is_some();
        let term = self.leading.as_ref().map(|leading| leading.term);
        if term.is_some_and(|term| !leads || term != status.term) {
            self.step_down("another term has begun");
        }
        if leads && self.leading.is_none() {
            self.catch_up().await;
            let at = Self::moment();
            log::info!(term = status.term, index = self.applied_index; "leads");
            let claims = self.claims.clone();
            let leader = Leader::new(self.state.clone(), self.options, claims, at);
            self.leading = Some(Leading::new(status.term, leader));
        }
        let members = self.replica.members();
        let address = status.leader.and_then(|leader| {
            let leader = members.find(leader)?;
            members.address(leader)
        });
        self.publish(
            address,
            members.members().map(|(_, address)| address).collect(),
        );
    }

    fn publish(&self, leader: Option<SocketAddr>, members: Vec<SocketAddr>) {
        let is_leader = self.leading.is_some();
        self.view.send_if_modified(|view| {
            let limits = view.limits;
            let now = ControlView {
                is_leader,
                leader,
                members,
                limits,
            };
            let changed = *view != now;
            *view = now;
            changed
        });
    }

    fn step_down(&mut self, why: &str) {
        if let Some(leading) = self.leading.take() {
            log::info!(term = leading.term, why; "leads no more");
            leading.give_up();
            self.observer.step_down();
            drop(self.orders.send(OutboundOrder::Reset));
        }
    }

    fn show_metrics(&mut self) {
        let at = Self::moment();
        if at.monotonic >= self.shown + SHOW_EVERY {
            self.shown = at.monotonic;
            let leader = self.leading.as_ref().map(|leading| &leading.leader);
            self.observer.metrics.show(at, self.version, leader);
        }
    }

    fn turn(&mut self) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if leading.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        let turn: Decision = leading.leader.decide(Self::moment());
        let metrics = &self.observer.metrics;
        if let Some(effects) = leading.submit(&self.replica, turn, metrics) {
            self.carry_out(effects);
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        for effect in effects {
            match effect {
                Effect::Reply {
                    reply_to: ask,
                    reply,
                } => {
                    self.observer.metrics.answered(&reply);
                    answer(leading, ask, reply);
                }
                Effect::Call {
                    executor,
                    id,
                    address,
                    call,
                } => {
                    let order = ExecutorCall {
                        executor,
                        id,
                        address,
                        fence: leading.term,
                        call,
                    };
                    drop(self.orders.send(OutboundOrder::Call(order)));
                }
                Effect::ListHosts => drop(self.orders.send(OutboundOrder::ListHosts)),
                Effect::OrderHost {
                    host,
                    claim,
                    number,
                } => {
                    let fence = leading.term * ORDERS_OF_A_TERM + number;
                    let order = HostOrder { host, claim, fence };
                    drop(self.orders.send(OutboundOrder::Host(order)));
                }
                Effect::Disconnect { executor } => {
                    drop(self.orders.send(OutboundOrder::Forget(executor)));
                }
            }
        }
    }
}

fn answer(leading: &mut Leading, ask: ReplyId, reply: Reply) {
    if let Some(asker) = leading.asks.remove(&ask) {
        asker.answer(reply);
    }
}

async fn next_proposed(leading: Option<&mut Leading>) -> Option<Vec<Effect>> {
    let leading = leading?;
    let result = leading.in_flight.next().await?;
    match result {
        Ok(effects) => Some(effects),
        Err(error) => {
            log::warn!(error:%; "a proposal was not committed");
            None
        }
    }
}
