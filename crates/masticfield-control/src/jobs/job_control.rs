//! The loop that runs the leader's decision logic on a replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::{
    self, ClaimWatch, Decision, Effect, Event, HostError, JobRequestKind, Leader, LeaderOptions,
    Moment, Refusal, Reply, ReplyId,
};
use masticfield_jobs::protocol::ToEntry;
use masticfield_jobs::queue::RouteTable;
use masticfield_jobs::relay::{CallResult, ExecutorCall, RelayKey, Route};
use masticfield_jobs::state::{Command, State};
use masticfield_node::clock::epoch_ms;
use masticfield_replica::{Applied, AppliedKind, ReplicaHandle};
use tokio::sync::{mpsc, watch};

use super::JobMetrics;
use super::handle::{ControlView, EntrySession, Input, JobControlHandle, Request, WaveProgress};
use super::leadership::{Leadership, SettledDecision};
use super::observer::Observer;
use super::order::{HostOrder, OutboundOrder};
use super::reply_handle::ReplyHandle;
use super::work_times::{WorkPart, WorkTimes};

/// Bytes of log entries after which a snapshot of the state is stored.
const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

/// The same while the disk has hardly more space than a snapshot needs. Fewer bytes would not free
/// enough to be worth a snapshot, which is then a large part of the disk.
const EARLY_SNAPSHOT_BYTES: usize = SNAPSHOT_BYTES / 4;

/// Maximum number of proposals in flight. Under load the next proposal collects the inputs that
/// arrive until one is committed, so that many decisions share one sync and one round trip.
const MAX_IN_FLIGHT: usize = 2;

/// Maximum number of inputs that one iteration of the loop handles.
const MAX_BATCH: usize = 256;

/// Maximum number of orders about hosts in one term; each has its own fencing number.
const MAX_HOST_ORDERS_PER_TERM: u64 = 1 << 24;

/// Interval at which the gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval between two checks of the replica's status.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Applies committed commands and, while this replica leads, makes and proposes decisions.
pub struct JobControl {
    replica: ReplicaHandle,
    applied: mpsc::Receiver<Applied>,
    rx: mpsc::UnboundedReceiver<Input>,
    orders: mpsc::UnboundedSender<OutboundOrder>,
    options: LeaderOptions,
    /// The committed state, as far as this replica has applied it.
    state: State,
    routes: RouteTable,
    /// Version of the configuration that `routes` was built from; 0 without one.
    version: u64,
    claims: ClaimWatch,
    applied_index: u64,
    /// Bytes of log entries since the last snapshot.
    log_bytes: usize,
    /// Whether a committed entry could not be read, after which nothing more is applied.
    unreadable: bool,
    leadership: Option<Leadership>,
    observer: Observer,
    gauges_updated_at: Duration,
    work: WorkTimes,
    view: watch::Sender<ControlView>,
}

impl std::fmt::Debug for JobControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("JobControl")
            .field("options", &self.options)
            .field("applied_index", &self.applied_index)
            .field("leads", &self.leadership.is_some())
            .finish_non_exhaustive()
    }
}

impl JobControl {
    /// Creates the loop and its handle.
    ///
    /// `applied` receives what `replica` commits. Calls to executors and to the platform are sent
    /// to `orders`, whose receiver reports the results through the handle.
    pub fn new(
        replica: ReplicaHandle,
        applied: mpsc::Receiver<Applied>,
        options: LeaderOptions,
        orders: mpsc::UnboundedSender<OutboundOrder>,
        metrics: JobMetrics,
    ) -> (Self, JobControlHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let (view_tx, view) = watch::channel(ControlView::default());
        let status = replica.watch_status();
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
            unreadable: false,
            leadership: None,
            work: WorkTimes::new(metrics.work.clone()),
            observer: Observer::new(metrics.clone()),
            gauges_updated_at: Duration::ZERO,
            view: view_tx,
        };
        let handle = JobControlHandle {
            tx,
            view,
            status,
            metrics,
        };
        (control, handle)
    }

    /// Runs until the replica stops or every handle is dropped, or until a committed entry cannot be
    /// read: from then on the state would differ from that of the other replicas.
    pub async fn run(mut self) {
        let mut status = self.replica.watch_status();
        let mut inputs = Vec::new();
        loop {
            let leadership = self.leadership.as_mut();
            let idle = leadership
                .as_ref()
                .is_none_or(|leadership| leadership.in_flight.is_empty());
            let wait = leadership
                .as_ref()
                .map_or(STATUS_CHECK_INTERVAL, |leadership| {
                    if leadership.in_flight.len() < MAX_IN_FLIGHT {
                        leadership.leader.next_check().saturating_sub(boot_now())
                    } else {
                        STATUS_CHECK_INTERVAL
                    }
                });
            tokio::select! {
                biased;
                applied = self.applied.recv() => match applied {
                    Some(applied) => self.apply(&applied),
                    None => return,
                },
                result = next_committed(leadership), if !idle => match result {
                    Some(settled) => self.execute(settled),
                    None => self.step_down("a proposal was not committed"),
                },
                changed = status.changed() => if changed.is_err() {
                    return;
                },
                count = self.rx.recv_many(&mut inputs, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    let started = Instant::now();
                    for input in inputs.drain(..) {
                        self.handle(input).await;
                    }
                    self.work.add(WorkPart::Handle, started);
                }
                () = tokio::time::sleep(wait) => {}
            }
            self.update_leadership().await;
            if self.unreadable {
                return;
            }
            self.propose_decision();
            self.update_gauges();
        }
    }

    fn now() -> Moment {
        Moment {
            monotonic: boot_now(),
            wall_ms: epoch_ms(),
        }
    }

    fn apply(&mut self, applied: &Applied) {
        if self.unreadable {
            return;
        }
        let started = Instant::now();
        if let Err(error) = self.apply_entry(applied) {
            log::error!(index = applied.index, error:%; "cannot decode a committed entry");
            self.unreadable = true;
            self.step_down("a committed entry cannot be read");
        }
        self.work.add(WorkPart::Apply, started);
    }

    fn apply_entry(&mut self, applied: &Applied) -> Result<(), postcard::Error> {
        self.applied_index = applied.index;
        match applied.kind {
            AppliedKind::Snapshot => {
                self.state = State::from_snapshot(&applied.payload)?;
                self.claims = ClaimWatch::new(boot_now());
            }
            AppliedKind::Payload => {
                let commands = postcard::from_bytes::<Vec<Command>>(&applied.payload)?;
                let now = Self::now();
                for command in commands {
                    self.claims.record(now.monotonic, &command);
                    if self.leadership.is_some() {
                        self.observer.apply(&mut self.state, command, now.wall_ms);
                    } else {
                        self.state.apply(command);
                    }
                }
                self.log_bytes += applied.payload.len();
            }
        }
        if self.state.version() != self.version {
            self.update_config();
        }
        let limit = if self.replica.status().needs_compaction {
            EARLY_SNAPSHOT_BYTES
        } else {
            SNAPSHOT_BYTES
        };
        if self.log_bytes > limit {
            self.log_bytes = 0;
            self.replica
                .snapshot(applied.index, self.state.to_snapshot());
        }
        Ok(())
    }

    /// Applies a new configuration: rebuilds the routes and publishes the limits.
    fn update_config(&mut self) {
        self.version = self.state.version();
        let Some(stored) = self.state.config() else {
            return;
        };
        self.routes = self.state.route_table(&stored.config);
        let limits = stored.config.limits;
        log::info!(version = self.version; "configuration in force");
        if let Some(leadership) = &self.leadership {
            for session in leadership.entries.values() {
                drop(session.tx.send(ToEntry::Limits(limits)));
            }
        }
        self.view.send_modify(|view| view.limits = limits);
    }

    /// Applies all entries that the replica has committed so far.
    async fn catch_up(&mut self) {
        while self.applied_index < self.replica.status().committed {
            match self.applied.recv().await {
                Some(applied) => self.apply(&applied),
                None => return,
            }
        }
    }

    async fn handle(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.leader.handle(Self::now(), event);
                }
            }
            Input::Request {
                reply_handle,
                request,
            } => self.handle_request(reply_handle, request).await,
            Input::ReadConfig(reply) => {
                let content = if self.read_barrier().await {
                    self.state.config().map(|stored| stored.content.clone())
                } else {
                    None
                };
                drop(reply.send(content));
            }
            Input::ReadWave(number, reply) => {
                let progress = if self.read_barrier().await {
                    self.wave_progress(number)
                } else {
                    WaveProgress::NotReady
                };
                // The requester may have gone away.
                _ = reply.send(progress);
            }
            Input::EntryRequest {
                session,
                process,
                reply_handle,
                request,
            } => {
                let leadership = self.leadership.as_ref();
                let open = leadership.and_then(|leadership| leadership.entries.get(&process));
                // The entry may have repeated requests of an earlier connection over this one.
                if open.is_some_and(|open| open.number == session) {
                    self.handle_request(reply_handle, request).await;
                }
            }
            Input::EntryConnected {
                process,
                sent,
                session,
            } => self.connect_entry(process, sent, session),
            Input::EntryDisconnected { session } => self.disconnect_relay(RelayKey(session)),
            Input::EntryContact { session } => {
                if let Some(leadership) = &mut self.leadership {
                    leadership
                        .relays
                        .record_contact(boot_now(), RelayKey(session));
                }
            }
            Input::CallResult {
                session,
                number,
                result,
            } => self.handle_call_result(RelayKey(session), number, result),
            Input::FindRelay { id, zone, reply } => {
                let leadership = self.leadership.as_ref();
                let address = leadership.and_then(|leadership| {
                    let executors = leadership.leader.executor_count();
                    leadership.relays.announce_address(&id, &zone, executors)
                });
                // The requester may have gone away.
                _ = reply.send(address);
            }
        }
    }

    fn wave_progress(&self, number: u64) -> WaveProgress {
        match self.state.waves().get(&number) {
            None => WaveProgress::Unknown,
            Some(wave) if wave.remaining.is_empty() => WaveProgress::Completed,
            Some(_) => WaveProgress::Running,
        }
    }

    /// Applies all committed entries; returns whether the state is the latest of the group.
    ///
    /// This is the case only if the leader lease is still held after the entries were applied.
    async fn read_barrier(&mut self) -> bool {
        if self.leadership.is_none() || !self.replica.status().holds_lease() {
            return false;
        }
        self.catch_up().await;
        !self.unreadable && self.replica.status().holds_lease()
    }

    async fn handle_request(&mut self, reply_handle: ReplyHandle, request: Request) {
        if let Request::Job(request) = &request
            && request.kind == JobRequestKind::Read
        {
            let reply = if self.read_barrier().await {
                leader::read(&self.state, &self.routes, request)
            } else {
                Reply::Refused(Refusal::NotReady)
            };
            self.observer.metrics.count_reply(&reply);
            return reply_handle.send(reply);
        }
        let Some(leadership) = &mut self.leadership else {
            return reply_handle.send(Reply::Refused(Refusal::NotReady));
        };
        // Nothing can be stored before a majority has space again, so the refusal is accurate.
        if self.replica.status().majority_lacks_space && !matches!(request, Request::Announce(_)) {
            let reply = Reply::Refused(Refusal::NotReady);
            self.observer.metrics.count_reply(&reply);
            return reply_handle.send(reply);
        }
        let id = leadership.register(reply_handle);
        leadership
            .leader
            .handle(Self::now(), request.into_event(id));
    }

    /// Passes the result of a relayed call to the leader.
    fn handle_call_result(&mut self, relay: RelayKey, number: u64, result: CallResult) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        // The relay may return results of an earlier leadership, in which it had another key.
        if !leadership.relay_links.contains_key(&relay) {
            return;
        }
        let outcome = result.outcome();
        if let Some((tag, event)) = leadership.relays.resolve(number, result) {
            self.observer
                .metrics
                .count_relayed_call(tag.name(), outcome);
            leadership.leader.handle(Self::now(), event);
        }
    }

    fn disconnect_relay(&mut self, relay: RelayKey) {
        if let Some(leadership) = &mut self.leadership
            && leadership.relay_links.remove(&relay).is_some()
        {
            let unknown = leadership.relays.disconnect(relay);
            log::info!(relay = relay.0, calls = unknown.len(); "relay disconnected");
            for event in unknown {
                leadership.leader.handle(Self::now(), event);
            }
        }
    }

    fn connect_entry(&mut self, process: u64, sent: Duration, session: EntrySession) {
        drop(session.tx.send(self.group_message()));
        let limits = self.view.borrow().limits;
        drop(session.tx.send(ToEntry::Limits(limits)));
        let stamp = boot_now();
        drop(session.tx.send(ToEntry::Clock { sent, stamp }));
        if let Some(leadership) = &mut self.leadership {
            if let Some(offer) = session.relay.clone() {
                let key = RelayKey(session.number);
                leadership.relay_links.insert(key, session.tx.clone());
                leadership.relays.connect(stamp, key, offer);
            }
            // Replaces and thereby closes an earlier connection of the same process.
            leadership.entries.insert(process, session);
        }
    }

    /// Returns the message that tells an entry who leads and who the members are.
    fn group_message(&self) -> ToEntry {
        let view = self.view.borrow();
        ToEntry::Group {
            leads: self.leadership.is_some(),
            leader: view.leader,
            members: view.members.clone(),
        }
    }

    /// Sends the group to all connected entries.
    ///
    /// A connection lasts as long as the leadership, in which all other members may be replaced. An
    /// entry that knows only the replicas of its beginning does not find the next leader.
    fn notify_entries(&self) {
        let sessions = self.leadership.iter();
        for session in sessions.flat_map(|leadership| leadership.entries.values()) {
            drop(session.tx.send(self.group_message()));
        }
    }

    /// Begins or ends the leadership when the replica's status has changed, and publishes the view.
    async fn update_leadership(&mut self) {
        let status = self.replica.status();
        let leads = status.leader == Some(status.id) && status.lease_until.is_some();
        let term = self.leadership.as_ref().map(|leadership| leadership.term);
        if term.is_some_and(|term| !leads || term != status.term) {
            self.step_down("another term has begun");
        }
        if leads && self.leadership.is_none() {
            self.catch_up().await;
            if self.unreadable {
                return;
            }
            let now = Self::now();
            log::info!(term = status.term, index = self.applied_index; "leads");
            let claims = self.claims.clone();
            let leader = Leader::new(self.state.clone(), self.options, claims, now);
            self.leadership = Some(Leadership::new(status.term, leader));
        }
        let members = self.replica.members();
        let address = status.leader.and_then(|leader| {
            let leader = members.find(leader)?;
            members.address(leader)
        });
        self.publish_view(
            status.term,
            address,
            members.members().map(|(_, address)| address).collect(),
        );
    }

    fn publish_view(&self, term: u64, leader: Option<SocketAddr>, members: Vec<SocketAddr>) {
        let is_leader = self.leadership.is_some();
        let members_change = self.view.borrow().members != members;
        let uses_relays = self.leadership.as_ref().is_some_and(|leadership| {
            leadership
                .relays
                .are_used(leadership.leader.executor_count())
        });
        self.view.send_if_modified(|view| {
            let limits = view.limits;
            let leader_since = if (view.term, view.leader) == (term, leader) {
                view.leader_since
            } else {
                boot_now()
            };
            let current = ControlView {
                is_leader,
                leader,
                term,
                leader_since,
                members,
                uses_relays,
                limits,
            };
            let changed = *view != current;
            *view = current;
            changed
        });
        if members_change {
            self.notify_entries();
        }
    }

    fn step_down(&mut self, why: &str) {
        if let Some(leadership) = self.leadership.take() {
            log::info!(term = leadership.term, why; "leads no more");
            leadership.abandon();
            self.observer.step_down();
            drop(self.orders.send(OutboundOrder::Reset));
        }
    }

    fn update_gauges(&mut self) {
        let now = Self::now();
        if now.monotonic >= self.gauges_updated_at + GAUGE_INTERVAL {
            self.gauges_updated_at = now.monotonic;
            self.work.report(now.monotonic);
            let leader = self
                .leadership
                .as_ref()
                .map(|leadership| &leadership.leader);
            self.observer
                .metrics
                .update_gauges(now, self.version, leader, self.replica.status());
        }
    }

    /// Lets the leader decide and proposes its commands, unless enough proposals are in flight.
    fn propose_decision(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        let now = Self::now();
        for event in leadership.relays.expire(now.monotonic) {
            leadership.leader.handle(now, event);
        }
        let started = Instant::now();
        let decision: Decision = leadership.leader.decide(now);
        self.work.add(WorkPart::Decide, started);
        let started = Instant::now();
        let metrics = &self.observer.metrics;
        let effects = leadership.submit(&self.replica, decision, metrics);
        self.work.add(WorkPart::Propose, started);
        if let Some(settled) = effects {
            self.execute(settled);
        }
    }

    fn execute(&mut self, mut settled: SettledDecision) {
        let started = Instant::now();
        // If nothing was committed with these effects, only the lease shows that no other replica
        // leads, which may have another configuration. An earlier proposal may have been committed
        // by acknowledgements from before a pause of this process.
        if !settled.committed && !self.replica.status().holds_lease() {
            withdraw_replies(&mut settled.effects);
        }
        self.execute_effects(settled.effects);
        self.work.add(WorkPart::Execute, started);
    }

    fn execute_effects(&mut self, effects: Vec<Effect>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let now = Self::now();
        // The process may have been paused since the effects were decided. Another replica may lead
        // then, and nothing is sent under an expired lease.
        let status = self.replica.status();
        // A lease of a later term covers nothing that was decided before the term began.
        let may_act = status.holds_lease() && status.term == leadership.term;
        for effect in effects {
            match effect {
                Effect::Reply { reply_to, reply } => {
                    self.observer.metrics.count_reply(&reply);
                    send_reply(leadership, reply_to, reply);
                }
                Effect::Call {
                    executor,
                    id,
                    address,
                    mut call,
                } => {
                    let may_send =
                        may_act && leadership.leader.prepare_call(now, executor, &mut call);
                    let call = ExecutorCall {
                        executor,
                        id,
                        address,
                        term: leadership.term,
                        decided: now.monotonic,
                        call,
                    };
                    if may_send {
                        send_call(leadership, &self.orders, call);
                    } else {
                        leadership.leader.handle(now, call.tag().unanswered());
                    }
                }
                Effect::ListHosts => drop(self.orders.send(OutboundOrder::ListHosts)),
                Effect::OrderHost { host, claim, .. } if !may_act => {
                    let result = Err(HostError::Unknown);
                    let unanswered = Event::HostOrderResult {
                        host,
                        claim,
                        result,
                    };
                    leadership.leader.handle(now, unanswered);
                }
                Effect::OrderHost {
                    host,
                    claim,
                    number,
                } => {
                    let fence = leadership.term * MAX_HOST_ORDERS_PER_TERM + number;
                    let order = HostOrder { host, claim, fence };
                    drop(self.orders.send(OutboundOrder::Host(order)));
                }
                Effect::Disconnect { executor } => leadership.relays.forget(executor),
            }
        }
    }
}

/// Sends a call to its executor, through a relay if there are many executors.
fn send_call(
    leadership: &mut Leadership,
    orders: &mpsc::UnboundedSender<OutboundOrder>,
    call: ExecutorCall,
) {
    let executors = leadership.leader.executor_count();
    let record = leadership.leader.state().executor(call.executor);
    let zone = record.map(|record| Arc::clone(&record.incarnation.zone));
    let zone = zone.unwrap_or_default();
    match leadership
        .relays
        .route(call.decided, call, &zone, executors)
    {
        Route::Direct(call) => drop(orders.send(OutboundOrder::Call(call))),
        Route::Relay(relay, call) => {
            if let Some(link) = leadership.relay_links.get(&relay) {
                // A link that has closed is reported, and its calls then count as unanswered.
                drop(link.send(ToEntry::Call(call)));
            }
        }
    }
}

fn send_reply(leadership: &mut Leadership, id: ReplyId, reply: Reply) {
    if let Some(reply_handle) = leadership.reply_handles.remove(&id) {
        reply_handle.send(reply);
    }
}

/// Makes replies unknown, so that entries repeat the requests at the next leader.
fn withdraw_replies(effects: &mut [Effect]) {
    for effect in effects {
        if let Effect::Reply { reply, .. } = effect {
            *reply = Reply::Unknown;
        }
    }
}

/// Waits for the oldest proposal in flight; returns its effects, or none if it failed.
async fn next_committed(leadership: Option<&mut Leadership>) -> Option<SettledDecision> {
    let leadership = leadership?;
    let result = leadership.in_flight.next().await?;
    match result {
        Ok(settled) => Some(settled),
        Err(error) => {
            log::warn!(error:%; "a proposal was not committed");
            None
        }
    }
}
