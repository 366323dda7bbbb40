//! Orders about hosts, and the platform's list of them.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::executor::ExecutorView;
use super::host::{Errand, ErrandPhase, HostView};
use super::options::AWAY_MARGIN;
use super::{ClaimWatch, Defect, Effect, HostError, Leader, ListedHost, Moment};
use crate::state::{Command, ExecutorKey, HostClaim};

/// Time between two readings of the list while an executor is there whose host is not known.
const LIST_SOON: Duration = Duration::from_millis(800);

/// Time between two readings of the list otherwise.
const LIST_EVERY: Duration = Duration::from_secs(10);

/// Time after which a reading that got no answer is given up.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time before the platform is asked again after it refused or did not answer.
const ORDER_AGAIN: Duration = Duration::from_millis(400);

/// Longest time that passing tasks may hold up an upkeep.
const EMPTY_TIMEOUT: Duration = Duration::from_secs(3);

/// Lists in a row without a host after which it is gone.
const MISSING_LISTS: u32 = 2;

/// The hosts and what is asked about them.
#[derive(Debug)]
pub(super) struct Hosts {
    pub(super) views: BTreeMap<Arc<str>, HostView>,
    /// When the list was last asked for.
    asked: Option<Duration>,
    /// Whether an answer is awaited.
    reading: bool,
    pub(super) listed: bool,
    /// When former leaders last claimed hosts.
    claims: ClaimWatch,
    /// When the leadership began.
    since: Duration,
    last_order: u64,
    /// Pools that hosts of a kind do not suit.
    pub(super) unsuitable: HashSet<(Option<Arc<str>>, Arc<str>)>,
    /// Since when a pool has had more hosts than it needs.
    pub(super) surplus: BTreeMap<Arc<str>, Duration>,
}

impl Hosts {
    pub(super) fn new(claims: ClaimWatch, since: Duration) -> Self {
        Self {
            views: BTreeMap::new(),
            asked: None,
            reading: false,
            listed: false,
            claims,
            since,
            last_order: 0,
            unsuitable: HashSet::new(),
            surplus: BTreeMap::new(),
        }
    }
}

impl Leader {
    /// Looks at what is to be done about hosts.
    pub(super) fn check_hosts(&mut self, now: Moment) {
        let Some(options) = self.options.hosts else {
            return;
        };
        self.list_if_due(now);
        if !self.hosts.listed {
            return;
        }
        // Hosts that the former leader has taken for upkeep may be away, and count.
        if now.monotonic >= self.hosts.since + options.upkeep_over() {
            self.check_waves(now);
        }
        self.check_pools(now);
        self.go_errands(now);
    }

    fn list_if_due(&mut self, now: Moment) {
        let hosts = &self.hosts;
        let waited = hosts.asked.map(|asked| now.monotonic.saturating_sub(asked));
        if hosts.reading && waited.is_some_and(|waited| waited < LIST_TIMEOUT) {
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
            let errand = host.errand.as_ref();
            errand.is_some_and(|errand| matches!(errand.phase, ErrandPhase::Refused(_)))
        });
        let every = if unknown || refused {
            LIST_SOON
        } else {
            LIST_EVERY
        };
        if waited.is_none_or(|waited| waited >= every) {
            self.hosts.asked = Some(now.monotonic);
            self.hosts.reading = true;
            self.then(Effect::ListHosts);
        }
    }

    pub(super) fn on_listed(&mut self, now: Moment, listed: Option<Vec<ListedHost>>) {
        self.hosts.reading = false;
        let Some(listed) = listed else {
            return;
        };
        self.hosts.listed = true;
        let names: HashSet<_> = listed.iter().map(|host| Arc::clone(&host.name)).collect();
        for host in listed {
            self.note_host(now, host);
        }
        for (name, view) in &mut self.hosts.views {
            view.missing = if names.contains(name) {
                0
            } else {
                view.missing + 1
            };
        }
        let gone = self
            .hosts
            .views
            .iter()
            .filter(|(_, view)| view.missing >= MISSING_LISTS);
        let gone: Vec<_> = gone.map(|(name, _)| Arc::clone(name)).collect();
        for name in gone {
            log::info!(host = name.as_ref(); "host gone");
            self.hosts.views.remove(&name);
            self.commit(Command::Unclaim {
                host: Arc::clone(&name),
            });
            self.tend_everywhere(&name);
        }
    }

    fn note_host(&mut self, now: Moment, listed: ListedHost) {
        let claim = self.state.claims().get(&listed.name).cloned();
        let view = self.hosts.views.entry(Arc::clone(&listed.name));
        let view = view.or_insert_with(|| HostView {
            pool: Arc::clone(&listed.pool),
            kind: None,
            capacity: listed.capacity,
            executor: None,
            up: false,
            away_until: None,
            in_upkeep: None,
            inherited: claim.as_ref().map(|(claim, _)| claim.clone()),
            // What the former leader began is settled first.
            errand: claim.map(|(claim, _)| Errand {
                claim,
                since: now.monotonic,
                phase: ErrandPhase::Again(now.monotonic),
            }),
            listed: now.monotonic,
            missing: 0,
        });
        view.listed = now.monotonic;
        if view.is_away(now.monotonic) && listed.executor == view.executor {
            // The list is older than the order.
            return;
        }
        if listed.executor != view.executor && listed.executor.is_some() {
            view.away_until = None;
            view.in_upkeep = None;
        }
        let planned = view.errand.is_some();
        view.pool = listed.pool;
        view.kind = listed.kind;
        view.capacity = listed.capacity;
        view.executor = listed.executor;
        view.up = listed.up;
        if planned {
            self.cordon(&listed.name, true);
        }
    }

    /// The executor of a host that is known.
    pub(super) fn executor_of(&self, host: &HostView) -> Option<ExecutorKey> {
        self.by_id.get(host.executor.as_ref()?).copied()
    }

    pub(super) fn executor_view(&self, host: &HostView) -> Option<&ExecutorView> {
        self.executors.get(&self.executor_of(host)?)
    }

    /// Whether something is planned for the host of an executor.
    pub(super) fn has_errand(&self, id: &Arc<str>) -> bool {
        let mut hosts = self.hosts.views.values();
        hosts.any(|host| host.errand.is_some() && host.executor.as_ref() == Some(id))
    }

    /// Begins an errand: the host takes no more tasks.
    pub(super) fn begin_errand(&mut self, now: Moment, name: &Arc<str>, claim: HostClaim) {
        let Some(host) = self.hosts.views.get_mut(name) else {
            return;
        };
        log::info!(host = name.as_ref(), pool = host.pool.as_ref(), claim:? = claim; "host is emptied");
        host.errand = Some(Errand {
            claim,
            since: now.monotonic,
            phase: ErrandPhase::Emptying,
        });
        self.cordon(name, true);
    }

    /// Gives up an errand that the platform was not asked for yet.
    pub(super) fn drop_errand(&mut self, name: &Arc<str>) {
        if let Some(host) = self.hosts.views.get_mut(name) {
            host.errand = None;
        }
        self.cordon(name, false);
    }

    fn cordon(&mut self, name: &Arc<str>, cordoned: bool) {
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
            self.changed.insert(pool);
        }
    }

    /// Whether the former leader's lease on a host at the platform is over.
    pub(super) fn is_handed_over(&self, now: Moment, name: &Arc<str>) -> bool {
        let Some(options) = self.options.hosts else {
            return false;
        };
        if self.options.defect == Some(Defect::HandoverAtOnce) {
            return true;
        }
        let host = self.hosts.views.get(name);
        let (last, time) = match host.and_then(|host| host.inherited.as_ref()) {
            Some(HostClaim::Upkeep { .. }) => (self.hosts.since, options.upkeep_over()),
            Some(HostClaim::Move { .. }) => (self.hosts.since, options.handover),
            None => (self.hosts.claims.last_claim(name), options.handover),
        };
        now.monotonic >= last + time
    }

    fn go_errands(&mut self, now: Moment) {
        let hosts = self
            .hosts
            .views
            .iter()
            .filter(|(_, host)| host.errand.is_some());
        let names: Vec<_> = hosts.map(|(name, _)| Arc::clone(name)).collect();
        for name in names {
            self.go_errand(now, &name);
        }
    }

    fn go_errand(&mut self, now: Moment, name: &Arc<str>) {
        let Some(host) = self.hosts.views.get(name) else {
            return;
        };
        let Some(errand) = &host.errand else {
            return;
        };
        let due = match errand.phase {
            ErrandPhase::Emptying => {
                let hurried = matches!(errand.claim, HostClaim::Upkeep { .. })
                    && now.monotonic > errand.since + EMPTY_TIMEOUT;
                self.is_empty(now, name, hurried) && self.may_order(now, name)
            }
            ErrandPhase::Refused(due) => {
                now.monotonic >= due && self.is_empty(now, name, false) && self.may_order(now, name)
            }
            ErrandPhase::Again(due) => now.monotonic >= due,
            ErrandPhase::Ordered(_) => false,
        };
        if due && self.is_handed_over(now, name) {
            self.order_host(now, name);
        }
    }

    /// Whether nothing runs on a host, or little enough if it is `hurried`.
    fn is_empty(&mut self, now: Moment, name: &Arc<str>, hurried: bool) -> bool {
        let Some(host) = self.hosts.views.get(name) else {
            return false;
        };
        let Some(errand) = &host.errand else {
            return false;
        };
        // An executor that has joined since may have tasks: unless the known one answers, the
        // list must be newer than the errand. Hosts on standby run none.
        let since = match errand.phase {
            ErrandPhase::Refused(due) => due,
            _ => errand.since,
        };
        let answers = |view: &ExecutorView| view.heard || view.failures == 0;
        let refused = matches!(errand.phase, ErrandPhase::Refused(_));
        let known = !refused && self.executor_view(host).is_some_and(answers);
        let listed = host.up && host.listed > since;
        if !known && !self.is_standby(&host.pool) && !listed {
            return false;
        }
        match self.executor_of(host) {
            Some(key) => self.empty(now, key, hurried),
            None => true,
        }
    }

    /// Whether hosts of a pool are switched off.
    pub(super) fn is_standby(&self, pool: &Arc<str>) -> bool {
        let config = self.state.config();
        let mut pools = config.into_iter().flat_map(|stored| &stored.config.pools);
        pools.any(|known| known.standby && known.name == *pool)
    }

    fn order_host(&mut self, now: Moment, name: &Arc<str>) {
        let Some(host) = self.hosts.views.get_mut(name) else {
            return;
        };
        let Some(errand) = &mut host.errand else {
            return;
        };
        errand.phase = ErrandPhase::Ordered(now.monotonic);
        let claim = errand.claim.clone();
        let executor = self
            .hosts
            .views
            .get(name)
            .and_then(|host| self.executor_of(host));
        self.commit(Command::Claim {
            host: Arc::clone(name),
            claim: claim.clone(),
            executor,
        });
        self.hosts.last_order += 1;
        let number = self.hosts.last_order;
        self.then(Effect::OrderHost {
            host: Arc::clone(name),
            claim,
            number,
        });
    }

    pub(super) fn on_host_ordered(
        &mut self,
        now: Moment,
        name: &Arc<str>,
        claim: &HostClaim,
        result: Result<(), HostError>,
    ) {
        let Some(host) = self.hosts.views.get_mut(name) else {
            return;
        };
        let Some(errand) = host.errand.as_mut().filter(|errand| errand.claim == *claim) else {
            return;
        };
        log::info!(host = name.as_ref(), claim:?, result:?; "host order answered");
        match result {
            Ok(()) => self.host_away(now, name, claim),
            Err(HostError::Unknown | HostError::Busy | HostError::Fence) => {
                errand.phase = ErrandPhase::Again(now.monotonic + ORDER_AGAIN);
            }
            Err(HostError::NotUp) => match claim {
                HostClaim::Upkeep { .. } => {
                    let again = now.monotonic + ORDER_AGAIN;
                    let repeats = self.options.defect == Some(Defect::RepeatRefused);
                    errand.phase = if repeats {
                        ErrandPhase::Again(again)
                    } else {
                        ErrandPhase::Refused(again)
                    };
                }
                HostClaim::Move { .. } => self.settle(name),
            },
            Err(HostError::OtherWave) => {
                self.settle(name);
                self.tend_everywhere(name);
            }
            Err(HostError::Unsuitable) => {
                if let HostClaim::Move { pool } = claim {
                    let kind = host.kind.clone();
                    self.hosts.unsuitable.insert((kind, Arc::clone(pool)));
                } else {
                    self.tend_everywhere(name);
                }
                self.settle(name);
            }
        }
    }

    /// The platform has taken the host: everything on it has ended.
    fn host_away(&mut self, now: Moment, name: &Arc<str>, claim: &HostClaim) {
        let Some(options) = self.options.hosts else {
            return;
        };
        let Some(host) = self.hosts.views.get_mut(name) else {
            return;
        };
        host.errand = None;
        let time = match claim {
            HostClaim::Move { pool } => {
                host.pool = Arc::clone(pool);
                options.move_time
            }
            HostClaim::Upkeep { wave } => {
                host.in_upkeep = Some(*wave);
                options.upkeep_time
            }
        };
        // An order that is repeated may have been carried out long before: only the life that
        // it was first given for has ended.
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
        let back = current.is_some() && current != ended;
        if back {
            self.cordon(name, false);
        } else if let Some(host) = self.hosts.views.get_mut(name) {
            host.away_until = Some(now.monotonic + time + AWAY_MARGIN);
        }
        if let Some(key) = ended {
            self.retire(now, key, "its host was taken");
        }
        if let HostClaim::Upkeep { wave } = claim {
            self.commit(Command::UpkeepBegun {
                wave: *wave,
                host: Arc::clone(name),
            });
        }
        self.commit(Command::Unclaim {
            host: Arc::clone(name),
        });
    }

    fn settle(&mut self, name: &Arc<str>) {
        self.commit(Command::Unclaim {
            host: Arc::clone(name),
        });
        self.drop_errand(name);
    }

    /// Takes a host out of every wave.
    fn tend_everywhere(&mut self, name: &Arc<str>) {
        let waves: Vec<_> = self.state.waves().keys().copied().collect();
        for wave in waves {
            let host = Arc::clone(name);
            self.commit(Command::UpkeepBegun { wave, host });
        }
    }
}
