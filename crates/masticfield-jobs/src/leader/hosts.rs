//! Host operations: draining, requests to the platform, and its list of hosts.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::executor::ExecutorView;
use super::host::{HostOperation, HostView, OperationPhase};
use super::options::AWAY_MARGIN;
use super::retirement::Retirement;
use super::{ClaimWatch, Defect, Effect, HostError, HostOptions, Leader, ListedHost, Moment};
use crate::schedule::OrderWindow;
use crate::state::{ClaimTimes, Command, ExecutorIncarnation, ExecutorKey, HostClaim};

/// Interval of requests for the list while an executor's host is unknown, or a request about a
/// host was refused.
const PENDING_LIST_INTERVAL: Duration = Duration::from_millis(800);

/// Interval of requests for the list while hosts of a wave are not up by the last list.
const WAVE_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval of requests for the list otherwise.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which an unanswered request for the list is abandoned.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time before a request about a host that was refused or not answered is repeated.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum time for which an upkeep waits for finite tasks to end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two commands that date the claims of hosts. A new leader may take a claim to be
/// later than it was by this much.
const DATE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive lists without a host after which the host is gone.
const MAX_MISSING_LISTS: u32 = 2;

/// The leader's view of all hosts, and of its requests to the platform.
#[derive(Debug)]
pub(super) struct Hosts {
    pub(super) views: BTreeMap<Arc<str>, HostView>,
    /// Time of the latest request for the list.
    list_requested: Option<Duration>,
    /// Whether the latest request for the list is unanswered.
    list_pending: bool,
    /// Whether any list was received.
    pub(super) listed: bool,
    /// Times at which former leaders last claimed hosts, as this replica has observed them.
    claims: ClaimWatch,
    /// The same from the state when the leadership began, for a replica that has restarted since.
    former_claims: ClaimTimes,
    /// Time of the leader's last [`Command::Elapsed`].
    measured: Duration,
    /// Time at which the leadership began.
    leading_since: Duration,
    /// Number of the latest request about a host.
    last_order: u64,
    /// Requests about hosts in the last second.
    pub(super) orders: OrderWindow,
    /// Pairs of a kind of hosts and a pool that this kind does not suit.
    pub(super) unsuitable: HashSet<(Option<Arc<str>>, Arc<str>)>,
    /// Executors whose hosts are due for upkeep in a wave that is under way.
    pub(super) upkeep_due: HashSet<ExecutorKey>,
    /// Hosts that are not moved any more, as their upkeep would otherwise be late.
    pub(super) kept_for_upkeep: HashSet<Arc<str>>,
    /// Surplus of each pool at the latest checks; see [`FALLEN_SURPLUS_DELAY`].
    ///
    /// [`FALLEN_SURPLUS_DELAY`]: super::pools::FALLEN_SURPLUS_DELAY
    pub(super) latest_surplus: BTreeMap<Arc<str>, VecDeque<(Duration, usize)>>,
    /// Time since which a pool has had more hosts than it needs.
    pub(super) surplus_since: BTreeMap<Arc<str>, Duration>,
}

impl Hosts {
    pub(super) fn new(
        claims: ClaimWatch,
        former_claims: ClaimTimes,
        leading_since: Duration,
    ) -> Self {
        Self {
            views: BTreeMap::new(),
            list_requested: None,
            list_pending: false,
            listed: false,
            claims,
            former_claims,
            measured: leading_since,
            leading_since,
            last_order: 0,
            orders: OrderWindow::default(),
            unsuitable: HashSet::new(),
            upkeep_due: HashSet::new(),
            kept_for_upkeep: HashSet::new(),
            latest_surplus: BTreeMap::new(),
            surplus_since: BTreeMap::new(),
        }
    }
}

impl Leader {
    /// Starts and advances host operations, once the platform's list is known.
    pub(super) fn check_hosts(&mut self, now: Moment) {
        let Some(options) = self.options.hosts else {
            return;
        };
        self.date_claims(now, options);
        self.request_list_if_due(now);
        if !self.hosts.listed {
            return;
        }
        // Until then, hosts that a former leader has sent to upkeep may be away and count towards
        // the wave's cap.
        if now.monotonic >= self.hosts.leading_since + options.upkeep_over() {
            self.check_waves(now);
        }
        self.check_pools(now);
        self.advance_operations(now);
    }

    fn request_list_if_due(&mut self, now: Moment) {
        let hosts = &self.hosts;
        let elapsed = hosts
            .list_requested
            .map(|requested| now.monotonic.saturating_sub(requested));
        if hosts.list_pending && elapsed.is_some_and(|elapsed| elapsed < LIST_TIMEOUT) {
            return;
        }
        let known: HashSet<_> = hosts
            .views
            .values()
            .flat_map(|host| &host.executor)
            .collect();
        let unknown = self
            .state
            .executors()
            .any(|(_, record)| !known.contains(&record.incarnation.id));
        let refused = self.hosts.views.values().any(|host| {
            let operation = host.operation.as_ref();
            operation.is_some_and(|operation| match operation.phase {
                OperationPhase::Refused(_) => true,
                // The host is drained once a list shows that it has no other executor.
                OperationPhase::Draining => {
                    host.executor.is_some() && self.executor_of(host).is_none()
                }
                OperationPhase::Ordered(_) | OperationPhase::Retry(_) => false,
            })
        });
        let down = |name: &Arc<str>| {
            let host = self.hosts.views.get(name);
            host.is_some_and(|host| !host.up && !host.is_away(now.monotonic))
        };
        let mut waves = self.state.waves().values();
        let interval = if unknown || refused {
            PENDING_LIST_INTERVAL
        } else if waves.any(|wave| wave.remaining.iter().any(down)) {
            WAVE_LIST_INTERVAL
        } else {
            LIST_INTERVAL
        };
        if elapsed.is_none_or(|elapsed| elapsed >= interval) {
            self.hosts.list_requested = Some(now.monotonic);
            self.hosts.list_pending = true;
            self.after_commit(Effect::ListHosts);
        }
    }

    pub(super) fn on_host_list(&mut self, now: Moment, listed: Option<Vec<ListedHost>>) {
        let Some(listed) = listed else {
            self.hosts.list_pending = false;
            return;
        };
        let names: HashSet<_> = listed.iter().map(|host| Arc::clone(&host.name)).collect();
        self.on_partial_host_list(now, listed);
        for (name, view) in &mut self.hosts.views {
            view.missing_lists = if names.contains(name) {
                0
            } else {
                view.missing_lists + 1
            };
        }
        let gone = self
            .hosts
            .views
            .iter()
            .filter(|(_, view)| view.missing_lists >= MAX_MISSING_LISTS);
        let gone: Vec<_> = gone.map(|(name, _)| Arc::clone(name)).collect();
        for name in gone {
            log::info!(host = name.as_ref(); "host gone");
            self.hosts.views.remove(&name);
            self.propose(Command::Unclaim {
                host: Arc::clone(&name),
            });
            self.remove_from_waves(&name);
        }
    }

    /// Updates the views of listed hosts; those of others stay as they are.
    pub(super) fn on_partial_host_list(&mut self, now: Moment, listed: Vec<ListedHost>) {
        self.hosts.list_pending = false;
        self.hosts.listed = true;
        for host in listed {
            self.update_host(now, host);
        }
    }

    /// Updates the view of a host from the platform's list.
    fn update_host(&mut self, now: Moment, listed: ListedHost) {
        let claim = self.state.claims().get(&listed.name).cloned();
        let requested = self.hosts.list_requested.unwrap_or_default();
        let view = self.hosts.views.entry(Arc::clone(&listed.name));
        let view = view.or_insert_with(|| HostView {
            pool: Arc::clone(&listed.pool),
            kind: None,
            capacity: listed.capacity,
            executor: None,
            up: false,
            away_until: None,
            taken_at: Duration::ZERO,
            upkeep_wave: None,
            inherited: claim.as_ref().map(|(claim, _)| claim.clone()),
            // An operation that a former leader began is completed first.
            operation: claim.map(|(claim, _)| HostOperation {
                claim,
                started_at: now.monotonic,
                phase: OperationPhase::Retry(now.monotonic),
            }),
            last_listed: requested,
            missing_lists: 0,
        });
        view.last_listed = requested;
        let made_before = requested <= view.taken_at || listed.executor == view.executor;
        if view.is_away(now.monotonic) && made_before {
            // The list was made before the host went away.
            return;
        }
        if listed.executor != view.executor && listed.executor.is_some() {
            view.away_until = None;
            view.upkeep_wave = None;
        }
        let has_operation = view.operation.is_some();
        view.pool = listed.pool;
        view.kind = listed.kind;
        view.capacity = listed.capacity;
        let listed_executor = listed.executor.clone();
        view.executor = listed.executor;
        // A list that was made while the host moves shows it as not up. Without the next list, which may
        // take seconds, the host would not be used once it has arrived.
        if listed.up || !view.is_away(now.monotonic) {
            view.up = listed.up;
        }
        if has_operation {
            self.set_cordoned(&listed.name, true);
        }
        if let Some(key) = listed_executor.and_then(|id| self.key_by_id.get(&id).copied())
            && let Some(view) = self.executors.get_mut(&key)
        {
            view.host_unknown_until = Duration::ZERO;
        }
    }

    /// Returns the key of a host's executor, if the executor is known.
    pub(super) fn executor_of(&self, host: &HostView) -> Option<ExecutorKey> {
        self.key_by_id.get(host.executor.as_ref()?).copied()
    }

    pub(super) fn executor_view(&self, host: &HostView) -> Option<&ExecutorView> {
        self.executors.get(&self.executor_of(host)?)
    }

    /// Returns whether the host of an executor has an operation.
    pub(super) fn has_operation(&self, id: &Arc<str>) -> bool {
        let mut hosts = self.hosts.views.values();
        hosts.any(|host| host.operation.is_some() && host.executor.as_ref() == Some(id))
    }

    /// Begins an operation: the host starts draining.
    pub(super) fn begin_operation(&mut self, now: Moment, name: &Arc<str>, claim: HostClaim) {
        let Some(host) = self.hosts.views.get_mut(name) else {
            return;
        };
        log::info!(
            host = name.as_ref(), pool = host.pool.as_ref(), claim:? = claim;
            "draining host"
        );
        host.operation = Some(HostOperation {
            claim,
            started_at: now.monotonic,
            phase: OperationPhase::Draining,
        });
        self.set_cordoned(name, true);
    }

    /// Cancels an operation; the host accepts tasks again.
    pub(super) fn cancel_operation(&mut self, name: &Arc<str>) {
        if let Some(host) = self.hosts.views.get_mut(name) {
            host.operation = None;
        }
        self.set_cordoned(name, false);
    }

    /// Sets whether the executor of a host accepts no more tasks.
    fn set_cordoned(&mut self, name: &Arc<str>, cordoned: bool) {
        let Some(host) = self.hosts.views.get(name) else {
            return;
        };
        let pool = Arc::clone(&host.pool);
        if let Some(key) = self.executor_of(host)
            && let Some(view) = self.executors.get_mut(&key)
        {
            view.cordoned = cordoned;
        }
        if !cordoned {
            self.changed_pools.insert(pool);
        }
    }

    /// Returns whether a former leader's requests about a host can no longer be in effect.
    pub(super) fn is_handed_over(&self, now: Moment, name: &Arc<str>) -> bool {
        let Some(options) = self.options.hosts else {
            return false;
        };
        if self.options.defect == Some(Defect::HandoverAtOnce) {
            return true;
        }
        let host = self.hosts.views.get(name);
        let hosts = &self.hosts;
        let led = now.monotonic.saturating_sub(hosts.leading_since);
        let (elapsed, time) = match host.and_then(|host| host.inherited.as_ref()) {
            Some(HostClaim::Upkeep { .. }) => (led, options.upkeep_over()),
            Some(HostClaim::Move { .. }) => (led, options.handover),
            None => {
                let observed = now.monotonic.saturating_sub(hosts.claims.last_claim(name));
                let recorded = hosts.former_claims.least_age(name).saturating_add(led);
                (observed.max(recorded), options.handover)
            }
        };
        elapsed >= time
    }

    /// Commits how much time has passed, as long as the next leader may need it to know for how
    /// long hosts have not been claimed.
    fn date_claims(&mut self, now: Moment, options: HostOptions) {
        let elapsed = now.monotonic.saturating_sub(self.hosts.measured);
        if elapsed < DATE_INTERVAL || !self.state.claim_times().any_since(options.handover) {
            return;
        }
        self.hosts.measured = now.monotonic;
        let ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.propose(Command::Elapsed { ms });
    }

    fn advance_operations(&mut self, now: Moment) {
        let hosts = self
            .hosts
            .views
            .iter()
            .filter(|(_, host)| host.operation.is_some());
        // Requests are limited, and a release to standby can wait.
        let mut names: Vec<_> = hosts
            .map(|(name, host)| (self.is_released(host), Arc::clone(name)))
            .collect();
        names.sort_unstable();
        for (_, name) in names {
            self.advance_operation(now, &name);
        }
    }

    /// Returns how many requests about hosts the platform accepts now; `None` if not known.
    pub(super) fn available_orders(&mut self, now: Moment) -> Option<usize> {
        let per_second = self.options.hosts?.orders_per_s?;
        Some(self.hosts.orders.available(now.monotonic, per_second))
    }

    /// Sends the request of an operation if it is due: the host is drained, the wave's cap allows
    /// it, and no former leader's request can be in effect.
    fn advance_operation(&mut self, now: Moment, name: &Arc<str>) {
        let Some(host) = self.hosts.views.get(name) else {
            return;
        };
        let Some(operation) = &host.operation else {
            return;
        };
        let due = match operation.phase {
            OperationPhase::Draining => {
                let ignore_finite = matches!(operation.claim, HostClaim::Upkeep { .. })
                    && now.monotonic > operation.started_at + DRAIN_TIMEOUT;
                self.is_drained(now, name, ignore_finite) && self.is_within_wave_cap(now, name)
            }
            OperationPhase::Refused(due) => {
                now.monotonic >= due
                    && self.is_drained(now, name, false)
                    && self.is_within_wave_cap(now, name)
            }
            OperationPhase::Retry(due) => now.monotonic >= due && self.is_drained_again(now, name),
            OperationPhase::Ordered(_) => false,
        };
        if due && self.is_handed_over(now, name) && self.may_order(now, name) {
            self.order_host(now, name);
        }
    }

    /// Returns whether the platform accepts the request of an operation now.
    ///
    /// Half of the requests are kept for other operations than releases to standby: a surge of one
    /// pool often begins when that of another ends.
    fn may_order(&mut self, now: Moment, name: &Arc<str>) -> bool {
        let Some(available) = self.available_orders(now) else {
            return true;
        };
        let per_second = self.options.hosts.and_then(|hosts| hosts.orders_per_s);
        let host = self.hosts.views.get(name);
        let kept = if host.is_some_and(|host| self.is_released(host)) {
            per_second.unwrap_or_default() as usize / 2
        } else {
            0
        };
        available > kept
    }

    /// Returns whether a host is to be moved to standby.
    pub(super) fn is_released(&self, host: &HostView) -> bool {
        let operation = host.operation.as_ref();
        operation.is_some_and(|operation| match &operation.claim {
            HostClaim::Move { pool } => self.is_standby_pool(pool),
            HostClaim::Upkeep { .. } => false,
        })
    }

    /// Stops the long-running tasks on a host, and returns whether the host is drained.
    ///
    /// With `ignore_finite`, the host counts as drained while finite tasks still run.
    fn is_drained(&mut self, now: Moment, name: &Arc<str>, ignore_finite: bool) -> bool {
        let Some(host) = self.hosts.views.get(name) else {
            return false;
        };
        let Some(operation) = &host.operation else {
            return false;
        };
        // The host may have come back with a new executor that runs tasks. So unless the known
        // executor answers, the list must be newer than the operation. Hosts on standby run none.
        let since = match operation.phase {
            OperationPhase::Refused(due) => due,
            _ => operation.started_at,
        };
        let is_responsive = |view: &ExecutorView| view.responsive || view.failed_holds == 0;
        let refused = matches!(operation.phase, OperationPhase::Refused(_));
        let known = !refused && self.executor_view(host).is_some_and(is_responsive);
        let listed = host.up && host.last_listed > since;
        if !known && !self.is_standby_pool(&host.pool) && !listed {
            return false;
        }
        match self.executor_of(host) {
            Some(key) => self.drain(now, key, ignore_finite),
            None => true,
        }
    }

    /// Stops the long-running tasks that a host has got since its operation was requested, and
    /// returns whether it has none.
    ///
    /// A host may come back with a new executor while the outcome of a request is not known.
    /// Repeating a move that has been carried out ends nothing.
    fn is_drained_again(&mut self, now: Moment, name: &Arc<str>) -> bool {
        let Some(host) = self.hosts.views.get(name) else {
            return false;
        };
        if self.options.defect == Some(Defect::RepeatRefused) {
            return true;
        }
        let operation = host.operation.as_ref();
        let moved = operation.is_some_and(
            |operation| matches!(&operation.claim, HostClaim::Move { pool } if *pool == host.pool),
        );
        match self.executor_of(host) {
            Some(key) if !moved => self.drain(now, key, true),
            _ => true,
        }
    }

    /// Makes the drain of a host whose executor has ended wait for a list that shows the next one.
    pub(super) fn restart_drain(&mut self, now: Moment, id: &Arc<str>) {
        let mut hosts = self.hosts.views.values_mut();
        let host = hosts.find(|host| host.executor.as_ref() == Some(id));
        if let Some(operation) = host.and_then(|host| host.operation.as_mut()) {
            match &mut operation.phase {
                OperationPhase::Draining => operation.started_at = now.monotonic,
                OperationPhase::Refused(due) => *due = now.monotonic.max(*due),
                OperationPhase::Ordered(_) | OperationPhase::Retry(_) => {}
            }
        }
    }

    /// Returns whether a new executor may be on a host that the platform has been asked to take
    /// away: no list shows its host, and the executor of such a host of its pool has ended.
    pub(super) fn may_be_claimed(&self, incarnation: &ExecutorIncarnation) -> bool {
        let mut hosts = self.hosts.views.values();
        let listed = hosts.any(|host| host.executor.as_ref() == Some(&incarnation.id));
        if self.options.defect == Some(Defect::RepeatRefused) {
            return false;
        }
        let mut hosts = self.hosts.views.values();
        !listed
            && hosts.any(|host| {
                let operation = host.operation.is_some() && host.pool == incarnation.pool;
                operation && self.executor_of(host).is_none()
            })
    }

    /// Returns whether a pool is a standby pool, whose hosts are switched off.
    pub(super) fn is_standby_pool(&self, pool: &Arc<str>) -> bool {
        let config = self.state.config();
        let mut pools = config.into_iter().flat_map(|stored| &stored.config.pools);
        pools.any(|known| known.standby && known.name == *pool)
    }

    /// Records a claim, and sends the request to the platform after the commit.
    fn order_host(&mut self, now: Moment, name: &Arc<str>) {
        let Some(host) = self.hosts.views.get_mut(name) else {
            return;
        };
        let Some(operation) = &mut host.operation else {
            return;
        };
        operation.phase = OperationPhase::Ordered(now.monotonic);
        let claim = operation.claim.clone();
        let executor = self
            .hosts
            .views
            .get(name)
            .and_then(|host| self.executor_of(host));
        self.propose(Command::Claim {
            host: Arc::clone(name),
            claim: claim.clone(),
            executor,
        });
        self.hosts.last_order += 1;
        self.hosts.orders.record(now.monotonic);
        let number = self.hosts.last_order;
        self.after_commit(Effect::OrderHost {
            host: Arc::clone(name),
            claim,
            number,
        });
    }

    pub(super) fn on_host_order_result(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        claim: &HostClaim,
        result: Result<(), HostError>,
    ) {
        let Some(host) = self.hosts.views.get_mut(name) else {
            return;
        };
        let Some(operation) = host
            .operation
            .as_mut()
            .filter(|operation| operation.claim == *claim)
        else {
            return;
        };
        log::info!(host = name.as_ref(), claim:?, result:?; "host order answered");
        match result {
            Ok(()) => self.on_host_order_accepted(now, name, claim),
            Err(HostError::Unknown | HostError::Busy | HostError::Fence) => {
                operation.phase = OperationPhase::Retry(now.monotonic + ORDER_RETRY_DELAY);
            }
            Err(HostError::NotUp) => match claim {
                HostClaim::Upkeep { .. } => {
                    let retry_at = now.monotonic + ORDER_RETRY_DELAY;
                    let skip_drain = self.options.defect == Some(Defect::RepeatRefused);
                    operation.phase = if skip_drain {
                        OperationPhase::Retry(retry_at)
                    } else {
                        OperationPhase::Refused(retry_at)
                    };
                    // The next request may end another incarnation than this one would have.
                    self.propose(Command::Unclaim {
                        host: Arc::clone(name),
                    });
                }
                HostClaim::Move { .. } => self.abandon_operation(name),
            },
            Err(HostError::OtherWave) => {
                self.abandon_operation(name);
                // The host may belong to other waves, which the refusal does not concern.
                if let HostClaim::Upkeep { wave } = claim {
                    let (wave, host) = (*wave, Arc::clone(name));
                    self.propose(Command::UpkeepBegun { wave, host });
                }
            }
            Err(HostError::Unsuitable) => {
                if let HostClaim::Move { pool } = claim {
                    let kind = host.kind.clone();
                    self.hosts.unsuitable.insert((kind, Arc::clone(pool)));
                } else {
                    self.remove_from_waves(name);
                }
                self.abandon_operation(name);
            }
        }
    }

    /// Handles the platform's confirmation of an operation: the host's executor has ended.
    fn on_host_order_accepted(&mut self, now: Moment, name: &Arc<str>, claim: &HostClaim) {
        let Some(options) = self.options.hosts else {
            return;
        };
        let Some(host) = self.hosts.views.get_mut(name) else {
            return;
        };
        host.operation = None;
        let time = match claim {
            HostClaim::Move { pool } => {
                host.pool = Arc::clone(pool);
                options.move_time
            }
            HostClaim::Upkeep { wave } => {
                host.upkeep_wave = Some(*wave);
                options.upkeep_time
            }
        };
        // A repeated request may have been carried out long before. Only the incarnation that it
        // was first sent for has ended.
        let ended = self
            .state
            .claims()
            .get(name)
            .and_then(|(_, executor)| *executor);
        let current = self
            .hosts
            .views
            .get(name)
            .and_then(|host| self.executor_of(host));
        let has_returned = current.is_some() && current != ended;
        if has_returned {
            self.set_cordoned(name, false);
        }
        // An upkeep may have begun just now, also if the executor has changed since the first
        // request, and counts towards the cap of its wave.
        let may_be_away = !has_returned || matches!(claim, HostClaim::Upkeep { .. });
        if let Some(host) = self.hosts.views.get_mut(name).filter(|_| may_be_away) {
            host.taken_at = now.monotonic;
            host.away_until = Some(now.monotonic + time + AWAY_MARGIN);
        }
        if let Some(key) = ended {
            self.retire(now, key, Retirement::HostTaken);
        }
        if let HostClaim::Upkeep { wave } = claim {
            self.propose(Command::UpkeepBegun {
                wave: *wave,
                host: Arc::clone(name),
            });
        }
        self.propose(Command::Unclaim {
            host: Arc::clone(name),
        });
    }

    /// Removes the claim on a host, and cancels its operation.
    fn abandon_operation(&mut self, name: &Arc<str>) {
        self.propose(Command::Unclaim {
            host: Arc::clone(name),
        });
        self.cancel_operation(name);
    }

    /// Removes a host from every wave.
    fn remove_from_waves(&mut self, name: &Arc<str>) {
        let waves: Vec<_> = self.state.waves().keys().copied().collect();
        for wave in waves {
            let host = Arc::clone(name);
            self.propose(Command::UpkeepBegun { wave, host });
        }
    }
}
