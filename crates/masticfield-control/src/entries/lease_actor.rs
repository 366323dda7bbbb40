//! Grants configuration leases to the connected entries.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::config::FleetConfig;
use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::operator::EntryRow;
use masticfield_core::timer::Tick;
use masticfield_state::Command;
use masticfield_state::in_force::{GranterAction, GranterEvent, LeaseGranter, LeaseTiming};
use masticfield_wire::control::ControlToEntry;
use parking_lot::Mutex;
use xtra::prelude::*;

use super::link::Link;
use crate::ControlHandle;
use crate::actor::StateChange;

/// Grants configuration leases while this replica leads.
#[derive(Debug, Actor)]
pub(crate) struct LeaseActor {
    control: ControlHandle,
    timing: LeaseTiming,
    started: Instant,
    leadership: Option<Leadership>,
    links: BTreeMap<EntryId, Link>,
    /// The configuration that was sent last; cached, as each entry gets the same one.
    config: Arc<FleetConfig>,
    /// Actions whose command is proposed and not decided yet.
    pending_proposals: Arc<Mutex<HashSet<GranterAction>>>,
}

/// The state of one term as leader.
#[derive(Debug)]
struct Leadership {
    term: u64,
    granter: LeaseGranter,
}

/// An entry has connected and its incarnation is registered.
#[derive(Debug)]
pub(super) struct Connected(pub Link);

/// The connection of an entry has ended.
#[derive(Debug)]
pub(super) struct Disconnected {
    /// The entry.
    pub entry: EntryId,
    /// Number of the connection.
    pub number: u64,
}

/// An entry requests a renewal of its lease.
#[derive(Debug)]
pub(super) struct RenewLease {
    /// The entry.
    pub entry: EntryId,
    /// Incarnation of the entry.
    pub incarnation: Incarnation,
    /// Number of the renewal.
    pub sequence: u64,
    /// Version of the configuration that the entry serves.
    pub version: u64,
}

/// Reads the progress of the roll-out.
#[derive(Debug)]
pub(crate) struct ReadProgress;

/// Progress of the roll-out of the configuration; empty on a replica that does not lead.
#[derive(Debug, Clone, Default)]
pub(crate) struct RolloutProgress {
    /// The highest version that is known to be in force.
    pub in_force: u64,
    /// The entries that may hold a lease, with the version that each acknowledged.
    pub leased: Vec<EntryRow>,
    /// The connected entries that hold no lease yet.
    pub joining: Vec<EntryId>,
}

impl LeaseActor {
    /// Creates the actor of a replica that does not lead yet.
    pub(super) fn new(control: ControlHandle, timing: LeaseTiming) -> Self {
        Self {
            control,
            timing,
            started: Instant::now(),
            leadership: None,
            links: BTreeMap::new(),
            config: Arc::default(),
            pending_proposals: Arc::default(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Passes an event to the granter and carries out its actions.
    async fn step(&mut self, event: GranterEvent) {
        self.check_leadership().await;
        let now = self.now();
        let lease_until = self.control.replica_status().lease_until;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if let Some(until) = lease_until {
            // The granter measures time from the start of this actor, not from boot.
            let until = now + until.saturating_sub(masticfield_core::clock::boot_now());
            leadership
                .granter
                .step(now, GranterEvent::LeadershipLease { until });
        }
        let term = leadership.term;
        for action in leadership.granter.step(now, event) {
            self.execute(term, action).await;
        }
    }

    /// Ends the leadership if another term has begun, and closes all connections if this replica
    /// does not lead.
    async fn check_leadership(&mut self) {
        let status = self.control.replica_status();
        let is_leader = status.leader == Some(status.id);
        let ended = |leadership: &Leadership| !is_leader || leadership.term != status.term;
        if self.leadership.as_ref().is_some_and(ended) {
            log::info!(term = status.term; "this replica no longer leads");
            self.leadership = None;
        }
        if !is_leader && !self.links.is_empty() {
            let leader = self
                .control
                .leader_addresses()
                .await
                .unwrap_or_default()
                .entry;
            for link in std::mem::take(&mut self.links).into_values() {
                link.send(ControlToEntry::NotLeader { leader });
            }
        }
    }

    async fn execute(&mut self, term: u64, action: GranterAction) {
        match action {
            GranterAction::Register { entry, incarnation } => {
                self.propose(action, Command::EntryUp { entry, incarnation });
            }
            GranterAction::Remove { entry, incarnation } => {
                let command = Command::EntryGone {
                    entry,
                    incarnation,
                    term,
                };
                self.propose(action, command);
            }
            GranterAction::InForce { version } => {
                log::info!(version; "a release note is in force");
                self.propose(action, Command::InForce { version });
            }
            GranterAction::SendConfig { entry, incarnation } => {
                self.send_config(entry, incarnation).await;
            }
            GranterAction::Grant {
                entry,
                incarnation,
                sequence,
                version,
                ttl,
            } => {
                let msg = ControlToEntry::Lease {
                    sequence,
                    version,
                    ttl,
                };
                self.send(entry, incarnation, msg);
            }
        }
    }

    /// Sends the latest configuration, unless it was sent over this connection before.
    async fn send_config(&mut self, entry: EntryId, incarnation: Incarnation) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let version = leadership.granter.version();
        if self.config.version() < version {
            let Ok(config) = self.control.query(|state| state.config().clone()).await else {
                return;
            };
            self.config = Arc::new(config);
        }
        let version = self.config.version();
        let Some(link) = self.links.get_mut(&entry) else {
            return;
        };
        if version == 0 || link.sent_version >= version || link.info.incarnation != incarnation {
            return;
        }
        link.sent_version = version;
        let config = Box::new(FleetConfig::clone(&self.config));
        self.send(entry, incarnation, ControlToEntry::Config(config));
    }

    /// Sends a message to an incarnation, if it is connected; a connection whose queue is full is
    /// closed.
    fn send(&mut self, entry: EntryId, incarnation: Incarnation, msg: ControlToEntry) {
        let link = self.links.get(&entry);
        let Some(link) = link.filter(|link| link.info.incarnation == incarnation) else {
            return;
        };
        if !link.send(msg) {
            self.links.remove(&entry);
        }
    }

    /// Proposes the command of an action, unless a proposal for the same action is pending.
    fn propose(&self, action: GranterAction, command: Command) {
        if !self.pending_proposals.lock().insert(action) {
            return;
        }
        let (control, pending) = (self.control.clone(), Arc::clone(&self.pending_proposals));
        tokio::spawn(async move {
            if let Err(error) = control.propose(command).await {
                let error = masticfield_node::program::error_chain(&error);
                log::info!(error; "a change of leases was not committed");
            }
            pending.lock().remove(&action);
        });
    }
}

impl Handler<StateChange> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: StateChange, _ctx: &mut Context<Self>) {
        match message {
            StateChange::LeaderStarted {
                term,
                version,
                roster,
            } => {
                let status = self.control.replica_status();
                if status.leader == Some(status.id) && status.term == term {
                    let granter = LeaseGranter::new(self.now(), self.timing, version, roster);
                    self.leadership = Some(Leadership { term, granter });
                    self.step(GranterEvent::Tick).await;
                }
            }
            StateChange::Registered(entry, incarnation) => {
                self.step(GranterEvent::Registered { entry, incarnation })
                    .await;
            }
            StateChange::Removed(entry, incarnation) => {
                self.step(GranterEvent::Removed { entry, incarnation })
                    .await;
            }
            StateChange::NoteAccepted(version) => {
                self.step(GranterEvent::Committed { version }).await;
            }
        }
    }
}

impl Handler<Connected> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: Connected, _ctx: &mut Context<Self>) {
        let link = message.0;
        let current = self.links.get(&link.info.id);
        // A delayed connection of an earlier incarnation must not replace that of a later one.
        if current.is_none_or(|current| current.info.incarnation <= link.info.incarnation) {
            self.links.insert(link.info.id, link);
        }
        self.check_leadership().await;
    }
}

impl Handler<Disconnected> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: Disconnected, _ctx: &mut Context<Self>) {
        let Disconnected { entry, number } = message;
        if self
            .links
            .get(&entry)
            .is_some_and(|link| link.number == number)
        {
            self.links.remove(&entry);
        }
    }
}

impl Handler<RenewLease> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: RenewLease, _ctx: &mut Context<Self>) {
        let RenewLease {
            entry,
            incarnation,
            sequence,
            version,
        } = message;
        let renew = GranterEvent::Renew {
            entry,
            incarnation,
            sequence,
            version,
        };
        self.step(renew).await;
    }
}

impl Handler<Tick> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, _message: Tick, _ctx: &mut Context<Self>) {
        self.step(GranterEvent::Tick).await;
    }
}

impl Handler<ReadProgress> for LeaseActor {
    type Return = RolloutProgress;

    async fn handle(
        &mut self,
        _message: ReadProgress,
        _ctx: &mut Context<Self>,
    ) -> RolloutProgress {
        let Some(leadership) = &self.leadership else {
            return RolloutProgress::default();
        };
        let entries = leadership.granter.progress(self.now());
        let (leased, unleased): (Vec<_>, Vec<_>) = entries.partition(|entry| entry.leased);
        let leased = leased.into_iter().map(|entry| {
            let link = self.links.get(&entry.entry);
            EntryRow {
                entry: entry.entry,
                zone: link.map_or_else(Arc::default, |link| Arc::clone(&link.info.zone)),
                version: entry.acknowledged,
            }
        });
        let unleased = unleased.into_iter().map(|entry| entry.entry);
        RolloutProgress {
            in_force: leadership.granter.in_force(),
            leased: leased.collect(),
            joining: unleased
                .filter(|entry| self.links.contains_key(entry))
                .collect(),
        }
    }
}
