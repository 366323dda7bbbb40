//! One turn of the planning leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::fleet::{Generation, HostHealth, Observation, Ownership, Planned};
use masticfield_core::platform::PlatformOrder;
use masticfield_fleet::health::{AvailabilityLedger, FlapDamper, Observer};
use masticfield_fleet::placement::LearnedEstimates;
use masticfield_fleet::{FleetView, Planner, orders, service_shortages};
use masticfield_node::clock::since_epoch;
use masticfield_state::{Command, Reply, State, TaskEnd, Verdict};
use parking_lot::Mutex;

use super::platform_client::{PlatformClient, PlatformError};
use super::records::{Orders, Records};
use crate::{ControlHandle, ProposalError};

/// Silence after which every lease on a host has run out, with a margin for clocks.
const LEASES_ENDED_AFTER: Duration = Duration::from_mins(2);

/// Renewals of the leases of hosts within the time of one lease.
const RENEWALS_IN_LEASE: u32 = 3;

/// The health of hosts as last observed, for operators.
#[derive(Debug, Clone, Default)]
pub(crate) struct Healths(Arc<Mutex<BTreeMap<Arc<str>, HostHealth>>>);

/// Plans and carries out, as long as this replica leads.
#[derive(Debug)]
pub(super) struct FleetTurn {
    control: ControlHandle,
    platform: PlatformClient,
    healths: Healths,
    planner: Planner,
    observer: Observer,
    damper: FlapDamper,
    ledger: AvailabilityLedger,
    learnt: LearnedEstimates,
    orders: Orders,
    renewed: Option<Renewed>,
}

/// The last renewal of leases.
#[derive(Debug)]
struct Renewed {
    at: Instant,
    hosts: Vec<(Arc<str>, Generation)>,
}

impl Healths {
    /// The health of a host, if the platform has reported it.
    pub(crate) fn get(&self, host: &str) -> Option<HostHealth> {
        self.0.lock().get(host).copied()
    }

    fn replace(&self, observation: &Observation) {
        let seen = observation.hosts.iter();
        *self.0.lock() = seen
            .map(|seen| (Arc::clone(&seen.host), seen.health))
            .collect();
    }
}

impl FleetTurn {
    /// Creates the turn of a replica that has seen nothing yet.
    pub(super) fn new(control: ControlHandle, platform: PlatformClient, healths: Healths) -> Self {
        Self {
            control,
            platform,
            healths,
            planner: Planner::default(),
            observer: Observer::new(),
            damper: FlapDamper::new(),
            ledger: AvailabilityLedger::new(),
            learnt: LearnedEstimates::default(),
            orders: Orders::default(),
            renewed: None,
        }
    }

    /// Takes a turn if this replica leads; otherwise forgets what only a leader knows.
    pub(super) async fn take(&mut self) -> Result<(), PlatformError> {
        if !self.control.replica_status().holds_lease() {
            self.observer = Observer::new();
            self.orders = Orders::default();
            return Ok(());
        }
        let reports = self.platform.reports(self.observer.cursor()).await?;
        let now = since_epoch();
        self.observer.record(now, reports);
        let mut observation = self.observer.observation(now);
        self.damper.apply(now, &mut observation);
        self.learnt.record(&observation);
        self.healths.replace(&observation);
        if let Err(error) = self.plan(now, &observation).await {
            let error = masticfield_node::program::chain(&error);
            log::info!(error; "a plan was not committed");
        }
        Ok(())
    }

    async fn plan(&mut self, now: Duration, seen: &Observation) -> Result<(), ProposalError> {
        self.report(seen).await?;
        let records = self.records().await?;
        let seen = &records.with_ended_tasks(seen);
        let budgets = BTreeMap::new();
        for (service, lacks) in service_shortages(&self.view(&records, seen, &budgets), now) {
            self.ledger.record(&service, now, lacks);
        }
        let budgets = self.ledger.remaining(&records.config, now);
        let planned = self.planner.plan(&self.view(&records, seen, &budgets), now);
        self.commit(planned, now).await?;
        let records = self.records().await?;
        let orders = orders::pending_orders(&self.view(&records, seen, &budgets));
        for order in orders {
            if !self.is_due(&order) {
                continue;
            }
            if let Err(error) = self.platform.carry_out(&order).await {
                let error = masticfield_node::program::chain(&error);
                log::debug!(error, order:?; "an order was not carried out");
            }
        }
        Ok(())
    }

    /// Whether an order is to be sent in this turn.
    ///
    /// Leases are renewed when their hosts change, and else well within their time; everything
    /// else is sent until the platform has done it.
    fn is_due(&mut self, order: &PlatformOrder) -> bool {
        let PlatformOrder::Renew(renewal) = order else {
            return true;
        };
        let same = self.renewed.as_ref().is_some_and(|last| {
            let recent = last.at.elapsed() < renewal.lease / RENEWALS_IN_LEASE;
            recent && last.hosts == renewal.hosts
        });
        if !same {
            self.renewed = Some(Renewed {
                at: Instant::now(),
                hosts: renewal.hosts.clone(),
            });
        }
        !same
    }

    /// Commits the actions and notes those that changed the state.
    async fn commit(&mut self, planned: Vec<Planned>, now: Duration) -> Result<(), ProposalError> {
        if planned.is_empty() {
            return Ok(());
        }
        let reply = self
            .control
            .propose(Command::Actions(planned.clone()))
            .await?;
        let Reply::Actions(verdicts) = reply else {
            return Ok(());
        };
        for (planned, verdict) in planned.iter().zip(verdicts) {
            match verdict {
                Verdict::Refused(refusal) => {
                    log::info!(action:? = planned.action, refusal:%; "an action was refused");
                }
                Verdict::Done | Verdict::Repeated => self.orders.note(planned, now),
            }
        }
        Ok(())
    }

    /// Commits what hosts say of drains and tasks.
    async fn report(&self, seen: &Observation) -> Result<(), ProposalError> {
        let (seen, term) = (seen.clone(), self.control.replica_status().term);
        let commands = self
            .control
            .query(move |state| news(state, &seen, term))
            .await?;
        for command in commands {
            self.control.propose(command).await?;
        }
        Ok(())
    }

    async fn records(&self) -> Result<Records, ProposalError> {
        let orders = self.orders.clone();
        self.control
            .query(move |state| Records::read(state, &orders))
            .await
    }

    const fn view<'a>(
        &'a self,
        records: &'a Records,
        observation: &'a Observation,
        budgets: &'a BTreeMap<Arc<str>, Duration>,
    ) -> FleetView<'a> {
        FleetView {
            config: &records.config,
            hosts: &records.hosts,
            jobs: &records.jobs,
            observation,
            budgets,
            estimates: &self.learnt,
        }
    }
}

/// The commands that tell the state what it does not know yet.
fn news(state: &State, seen: &Observation, term: u64) -> Vec<Command> {
    let mut commands = Vec::new();
    for host in &seen.hosts {
        let Some(record) = state.hosts().host(&host.host) else {
            continue;
        };
        let Ownership::Draining { generation, .. } = *record.ownership() else {
            continue;
        };
        if record.drain_proof().is_some() {
            continue;
        }
        let host_name = Arc::clone(&host.host);
        if host.drained == Some(generation) {
            commands.push(Command::HostReport {
                host: host_name,
                drained: generation,
            });
        } else if host.silent_for > LEASES_ENDED_AFTER {
            commands.push(Command::LeasesEnded {
                host: host_name,
                generation,
                term,
            });
        }
    }
    let ends = ended_tasks(state, seen);
    if !ends.is_empty() {
        commands.push(Command::TasksEnded(ends));
    }
    commands
}

fn ended_tasks(state: &State, seen: &Observation) -> Vec<TaskEnd> {
    let held = state.tasks().held().filter_map(|(key, placement)| {
        let task = seen.tasks.iter().find(|task| {
            task.job == key.job && task.index == key.index && task.attempt == placement.attempt
        })?;
        (!task.phase.holds_resources()).then(|| TaskEnd {
            job: Arc::clone(&key.job),
            index: key.index,
            attempt: placement.attempt,
            phase: task.phase,
        })
    });
    held.collect()
}
