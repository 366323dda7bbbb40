//! One turn of the planning loop.

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
use super::recorded_state::{IssuedActions, RecordedState};
use crate::{ControlHandle, ProposalError};

/// Time without a report from a host after which all leases on it have expired, including a margin
/// for clock drift.
const LEASES_EXPIRED_AFTER: Duration = Duration::from_mins(2);

/// Number of times that the leases of hosts are renewed within the duration of one lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// The latest observed health of each host, shared with the reports for operators.
#[derive(Debug, Clone, Default)]
pub(crate) struct HealthTable(Arc<Mutex<BTreeMap<Arc<str>, HostHealth>>>);

/// Plans the fleet and carries the plan out while this replica leads.
#[derive(Debug)]
pub(super) struct PlanningTurn {
    control: ControlHandle,
    platform: PlatformClient,
    health: HealthTable,
    planner: Planner,
    observer: Observer,
    damper: FlapDamper,
    ledger: AvailabilityLedger,
    estimates: LearnedEstimates,
    issued: IssuedActions,
    last_renewal: Option<LastRenewal>,
}

/// The last renewal of leases that was sent.
#[derive(Debug)]
struct LastRenewal {
    sent_at: Instant,
    hosts: Vec<(Arc<str>, Generation)>,
}

impl HealthTable {
    /// The health of a host, if the platform has reported it.
    pub(crate) fn get(&self, host: &str) -> Option<HostHealth> {
        self.0.lock().get(host).copied()
    }

    fn replace(&self, observation: &Observation) {
        let hosts = observation.hosts.iter();
        *self.0.lock() = hosts
            .map(|host| (Arc::clone(&host.host), host.health))
            .collect();
    }
}

impl PlanningTurn {
    /// Creates the turn without any observation.
    pub(super) fn new(
        control: ControlHandle,
        platform: PlatformClient,
        health: HealthTable,
    ) -> Self {
        Self {
            control,
            platform,
            health,
            planner: Planner::default(),
            observer: Observer::new(),
            damper: FlapDamper::new(),
            ledger: AvailabilityLedger::new(),
            estimates: LearnedEstimates::default(),
            issued: IssuedActions::default(),
            last_renewal: None,
        }
    }

    /// Runs one turn if this replica leads; otherwise drops observations and issued actions.
    pub(super) async fn run(&mut self) -> Result<(), PlatformError> {
        if !self.control.replica_status().holds_lease() {
            self.observer = Observer::new();
            self.issued = IssuedActions::default();
            return Ok(());
        }
        let reports = self.platform.reports(self.observer.cursor()).await?;
        let now = since_epoch();
        self.observer.record(now, reports);
        let mut observation = self.observer.observation(now);
        self.damper.apply(now, &mut observation);
        self.estimates.record(&observation);
        self.health.replace(&observation);
        if let Err(error) = self.plan(now, &observation).await {
            let error = masticfield_node::program::error_chain(&error);
            log::info!(error; "a plan was not committed");
        }
        Ok(())
    }

    async fn plan(
        &mut self,
        now: Duration,
        observation: &Observation,
    ) -> Result<(), ProposalError> {
        self.commit_observation(observation).await?;
        let recorded = self.recorded_state().await?;
        let observed = &recorded.with_ended_tasks(observation);
        let budgets = BTreeMap::new();
        for (service, is_short) in service_shortages(&self.view(&recorded, observed, &budgets), now)
        {
            self.ledger.record(&service, now, is_short);
        }
        let budgets = self.ledger.remaining(&recorded.config, now);
        let planned = self
            .planner
            .plan(&self.view(&recorded, observed, &budgets), now);
        self.commit_actions(planned, now).await?;
        let recorded = self.recorded_state().await?;
        let orders = orders::pending_orders(&self.view(&recorded, observed, &budgets));
        for order in orders {
            if !self.is_due(&order) {
                continue;
            }
            if let Err(error) = self.platform.send_order(&order).await {
                let error = masticfield_node::program::error_chain(&error);
                log::debug!(error, order:?; "the platform did not accept an order");
            }
        }
        Ok(())
    }

    /// Whether an order is sent in this turn.
    ///
    /// Leases are renewed when the list of their hosts changes, and otherwise several times within
    /// their duration. Every other order is repeated until the platform has carried it out.
    fn is_due(&mut self, order: &PlatformOrder) -> bool {
        let PlatformOrder::Renew(renewal) = order else {
            return true;
        };
        let renewed = self.last_renewal.as_ref().is_some_and(|last| {
            let recent = last.sent_at.elapsed() < renewal.lease / RENEWALS_PER_LEASE;
            recent && last.hosts == renewal.hosts
        });
        if !renewed {
            self.last_renewal = Some(LastRenewal {
                sent_at: Instant::now(),
                hosts: renewal.hosts.clone(),
            });
        }
        !renewed
    }

    /// Commits the planned actions and records those that the state accepted.
    async fn commit_actions(
        &mut self,
        planned: Vec<Planned>,
        now: Duration,
    ) -> Result<(), ProposalError> {
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
                    log::info!(action:? = planned.action, refusal:%; "a planned action was refused");
                }
                Verdict::Done | Verdict::Repeated => self.issued.record(planned, now),
            }
        }
        Ok(())
    }

    /// Commits the observed ends of drains and of tasks that the state does not hold yet.
    async fn commit_observation(&self, observation: &Observation) -> Result<(), ProposalError> {
        let (observation, term) = (observation.clone(), self.control.replica_status().term);
        let commands = self
            .control
            .query(move |state| observation_commands(state, &observation, term))
            .await?;
        for command in commands {
            self.control.propose(command).await?;
        }
        Ok(())
    }

    async fn recorded_state(&self) -> Result<RecordedState, ProposalError> {
        let issued = self.issued.clone();
        self.control
            .query(move |state| RecordedState::read(state, &issued))
            .await
    }

    const fn view<'a>(
        &'a self,
        recorded: &'a RecordedState,
        observation: &'a Observation,
        budgets: &'a BTreeMap<Arc<str>, Duration>,
    ) -> FleetView<'a> {
        FleetView {
            config: &recorded.config,
            hosts: &recorded.hosts,
            jobs: &recorded.jobs,
            observation,
            budgets,
            estimates: &self.estimates,
        }
    }
}

/// The commands that record what was observed and the state does not hold yet.
fn observation_commands(state: &State, observation: &Observation, term: u64) -> Vec<Command> {
    let mut commands = Vec::new();
    for host in &observation.hosts {
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
        } else if host.silent_for > LEASES_EXPIRED_AFTER {
            commands.push(Command::LeasesEnded {
                host: host_name,
                generation,
                term,
            });
        }
    }
    let ends = task_ends(state, observation);
    if !ends.is_empty() {
        commands.push(Command::TasksEnded(ends));
    }
    commands
}

fn task_ends(state: &State, observation: &Observation) -> Vec<TaskEnd> {
    let ends = state.tasks().held().filter_map(|(key, placement)| {
        let task = observation.tasks.iter().find(|task| {
            task.job == key.job && task.index == key.index && task.attempt == placement.attempt
        })?;
        (!task.phase.holds_resources()).then(|| TaskEnd {
            job: Arc::clone(&key.job),
            index: key.index,
            attempt: placement.attempt,
            phase: task.phase,
        })
    });
    ends.collect()
}
