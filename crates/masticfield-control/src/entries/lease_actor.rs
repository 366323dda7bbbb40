//! The leader's side of leases, over connections and the replicated state.

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

/// Grants leases while this replica leads.
#[derive(Debug, Actor)]
pub(crate) struct LeaseActor {
    control: ControlHandle,
    timing: LeaseTiming,
    started: Instant,
    leading: Option<Leading>,
    links: BTreeMap<EntryId, Link>,
    config: Arc<FleetConfig>,
    under_way: Arc<Mutex<HashSet<GranterAction>>>,
}

/// The lead of one term.
#[derive(Debug)]
struct Leading {
    term: u64,
    granter: LeaseGranter,
}

/// A connection of a registered entry stands.
#[derive(Debug)]
pub(super) struct Connected(pub Link);

/// A connection is gone.
#[derive(Debug)]
pub(super) struct Disconnected {
    /// The entry.
    pub entry: EntryId,
    /// Number of the connection.
    pub number: u64,
}

/// An entry asks for a lease.
#[derive(Debug)]
pub(super) struct Renewed {
    /// The entry.
    pub entry: EntryId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the renewal.
    pub sequence: u64,
    /// The version that it serves.
    pub version: u64,
}

/// Asks how far the entries are.
#[derive(Debug)]
pub(crate) struct ReadProgress;

/// How far the entries are, as the leader knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// The version that is known to be in force.
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
            leading: None,
            links: BTreeMap::new(),
            config: Arc::default(),
            under_way: Arc::default(),
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Steps the granter and carries out what follows.
    async fn step(&mut self, event: GranterEvent) {
        self.check_lead().await;
        let now = self.now();
        let lease_until = self.control.replica_status().lease_until;
        let Some(leading) = &mut self.leading else {
            return;
        };
        if let Some(until) = lease_until {
            // The granter counts from its own start.
            let until = now + until.saturating_sub(masticfield_core::clock::boot_now());
            leading
                .granter
                .step(now, GranterEvent::LeadershipLease { until });
        }
        let term = leading.term;
        for next in leading.granter.step(now, event) {
            self.carry_out(term, next).await;
        }
    }

    /// Drops the lead and the connections if another term has begun.
    async fn check_lead(&mut self) {
        let status = self.control.replica_status();
        let leads = status.leader == Some(status.id);
        let ended = |leading: &Leading| !leads || leading.term != status.term;
        if self.leading.as_ref().is_some_and(ended) {
            log::info!(term = status.term; "this replica leads no more");
            self.leading = None;
        }
        if !leads && !self.links.is_empty() {
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

    async fn carry_out(&mut self, term: u64, next: GranterAction) {
        match next {
            GranterAction::Register { entry, incarnation } => {
                self.propose(next, Command::EntryUp { entry, incarnation });
            }
            GranterAction::Remove { entry, incarnation } => {
                let command = Command::EntryGone {
                    entry,
                    incarnation,
                    term,
                };
                self.propose(next, command);
            }
            GranterAction::InForce { version } => {
                log::info!(version; "a release note is in force");
                self.propose(next, Command::InForce { version });
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
        let Some(leading) = &self.leading else {
            return;
        };
        let version = leading.granter.version();
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

    /// Sends a message over the connection of an incarnation; a connection that is full ends.
    fn send(&mut self, entry: EntryId, incarnation: Incarnation, msg: ControlToEntry) {
        let link = self.links.get(&entry);
        let Some(link) = link.filter(|link| link.info.incarnation == incarnation) else {
            return;
        };
        if !link.send(msg) {
            self.links.remove(&entry);
        }
    }

    /// Proposes a command, unless the same one is under way.
    fn propose(&self, next: GranterAction, command: Command) {
        if !self.under_way.lock().insert(next) {
            return;
        }
        let (control, under_way) = (self.control.clone(), Arc::clone(&self.under_way));
        tokio::spawn(async move {
            if let Err(error) = control.propose(command).await {
                let error = masticfield_node::program::chain(&error);
                log::info!(error; "a change of leases was not committed");
            }
            under_way.lock().remove(&next);
        });
    }
}

impl Handler<StateChange> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: StateChange, _ctx: &mut Context<Self>) {
        match message {
            StateChange::Led {
                term,
                version,
                roster,
            } => {
                let status = self.control.replica_status();
                if status.leader == Some(status.id) && status.term == term {
                    let granter = LeaseGranter::new(self.now(), self.timing, version, roster);
                    self.leading = Some(Leading { term, granter });
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
            StateChange::Accepted(version) => {
                self.step(GranterEvent::Committed { version }).await;
            }
        }
    }
}

impl Handler<Connected> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: Connected, _ctx: &mut Context<Self>) {
        let link = message.0;
        let held = self.links.get(&link.info.id);
        // A late connection of an incarnation that ended does not replace the next one's.
        if held.is_none_or(|held| held.info.incarnation <= link.info.incarnation) {
            self.links.insert(link.info.id, link);
        }
        self.check_lead().await;
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

impl Handler<Renewed> for LeaseActor {
    type Return = ();

    async fn handle(&mut self, message: Renewed, _ctx: &mut Context<Self>) {
        let Renewed {
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
    type Return = Progress;

    async fn handle(&mut self, _message: ReadProgress, _ctx: &mut Context<Self>) -> Progress {
        let Some(leading) = &self.leading else {
            return Progress::default();
        };
        let entries = leading.granter.progress(self.now());
        let (leased, idle): (Vec<_>, Vec<_>) = entries.partition(|entry| entry.leased);
        let leased = leased.into_iter().map(|entry| {
            let link = self.links.get(&entry.entry);
            EntryRow {
                entry: entry.entry,
                zone: link.map_or_else(Arc::default, |link| Arc::clone(&link.info.zone)),
                version: entry.acknowledged,
            }
        });
        let idle = idle.into_iter().map(|entry| entry.entry);
        Progress {
            in_force: leading.granter.in_force(),
            leased: leased.collect(),
            joining: idle
                .filter(|entry| self.links.contains_key(entry))
                .collect(),
        }
    }
}
