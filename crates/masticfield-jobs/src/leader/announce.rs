//! What executors tell of themselves.

use std::sync::Arc;
use std::time::Duration;

use super::executor::{ExecutorView, HoldPhase};
use super::{Announcement, Defect, Effect, Leader, Moment, Reply, ReplyId};
use crate::schedule::poll_interval;
use crate::state::{Command, EndKind, ExecutorKey};

/// Time between an executor's word that it ends and its end.
const LEAVE_GRACE: Duration = Duration::from_secs(1);

/// Announcements that an executor may miss before no task starts there.
const MISSED_ANNOUNCEMENTS: f64 = 2.5;

/// Time without a sign of an executor after which its empty life is forgotten.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);

impl Leader {
    pub(super) fn on_announcement(&mut self, now: Moment, ask: ReplyId, told: &Announcement) {
        if let Some(key) = self.resolve_incarnation(now, told) {
            self.apply_announcement(now, key, told);
        }
        self.after_commit(Effect::Reply {
            reply_to: ask,
            reply: Reply::Done,
        });
    }

    /// The key of the life that tells of itself; none if the life is over.
    fn resolve_incarnation(&mut self, now: Moment, told: &Announcement) -> Option<ExecutorKey> {
        let life = &told.incarnation;
        if let Some(known) = self.key_by_id.get(&life.id).copied() {
            let record = self.state.executor(known)?;
            if life.started_ms < record.incarnation.started_ms {
                return None;
            }
            if life.started_ms == record.incarnation.started_ms {
                let same = life.address == record.incarnation.address
                    && life.pool == record.incarnation.pool;
                if !same {
                    // A life keeps its place: somebody else wrote this.
                    log::warn!(executor = life.id.as_ref(); "an announcement contradicts its life");
                }
                return same.then_some(known);
            }
            self.retire(now, known, "reborn");
        }
        let key = self.state.next_executor_key();
        self.propose(Command::Enlist {
            executor: key,
            incarnation: life.clone(),
        });
        self.key_by_id.insert(Arc::clone(&life.id), key);
        let mut view = ExecutorView::new(Duration::ZERO);
        view.cordoned = self.has_operation(&life.id);
        self.executors.insert(key, view);
        log::info!(
            executor = life.id.as_ref(), born_ms = life.started_ms, pool = life.pool.as_ref(),
            address = life.address.as_ref();
            "executor known"
        );
        Some(key)
    }

    fn apply_announcement(&mut self, now: Moment, key: ExecutorKey, told: &Announcement) {
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        if view.last_announced.is_some() && told.sequence <= view.sequence {
            return;
        }
        let first = view.last_announced.is_none();
        view.last_announced = Some(now.monotonic);
        view.sequence = told.sequence;
        view.record_clock(now.monotonic, told.clock_ms);
        if told.leaving && self.propose(Command::Leaving { executor: key }) {
            log::info!(executor = told.incarnation.id.as_ref(), sequence = told.sequence; "executor leaves");
            self.evacuate(now, key);
        }
        if first {
            self.changed_pools
                .insert(Arc::clone(&told.incarnation.pool));
        }
    }

    pub(super) fn on_left(&mut self, now: Moment, ask: ReplyId, id: &Arc<str>) {
        if let Some(key) = self.key_by_id.get(id).copied()
            && let Some(view) = self.executors.get_mut(&key)
        {
            view.left_at.get_or_insert(now.monotonic);
            self.propose(Command::Leaving { executor: key });
        }
        self.after_commit(Effect::Reply {
            reply_to: ask,
            reply: Reply::Done,
        });
    }

    /// Ends a life with all that ran there.
    pub(super) fn retire(&mut self, now: Moment, key: ExecutorKey, why: &'static str) {
        let Some(record) = self.state.executor(key) else {
            return;
        };
        let (id, pool) = (
            Arc::clone(&record.incarnation.id),
            Arc::clone(&record.incarnation.pool),
        );
        let runs: Vec<_> = record.runs.iter().copied().collect();
        log::info!(executor = id.as_ref(), runs = runs.len(), why; "executor gone");
        self.propose(Command::Retire {
            executor: key,
            at_ms: now.wall_ms,
        });
        self.executors.remove(&key);
        if self.key_by_id.get(&id) == Some(&key) {
            self.key_by_id.remove(&id);
        }
        for run in runs {
            self.update_pending(now, run.task.job);
        }
        self.changed_pools.insert(pool);
        self.after_commit(Effect::Disconnect { executor: key });
    }

    /// Looks at what time alone changes on executors.
    pub(super) fn check_executors(&mut self, now: Moment) {
        let keys: Vec<_> = self.executors.keys().copied().collect();
        let busy = self.executors.values().filter(|view| !view.runs.is_empty());
        self.poll_interval = poll_interval(busy.count());
        for key in keys {
            self.check_executor(now, key);
        }
    }

    fn check_executor(&mut self, now: Moment, key: ExecutorKey) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let sign = view.clock.map_or(Duration::ZERO, |clock| clock.received);
        let left = view
            .left_at
            .is_some_and(|left| now.monotonic > left + LEAVE_GRACE);
        let at_once = self.options.defect == Some(Defect::LapseAtOnce) && view.failed_calls > 0;
        let over = at_once || view.leases_expired(now.monotonic);
        let lapsed = !view.responsive && !view.runs.is_empty() && over;
        let silent = now.monotonic > sign.max(view.former_leases_end) + SILENCE_TIMEOUT;
        if left {
            return self.retire(now, key, "left");
        }
        if lapsed {
            self.expire_leases(now, key);
        } else if silent && view.runs.is_empty() {
            return self.retire(now, key, "silent");
        }
        self.retry_orders(now, key);
        self.hold_if_due(now, key);
    }

    /// Ends every run of an executor whose leases have run out.
    fn expire_leases(&mut self, now: Moment, key: ExecutorKey) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let runs: Vec<_> = view.runs.keys().copied().collect();
        log::info!(executor = key.0, runs = runs.len(); "leases ran out without an answer");
        for run in runs {
            self.end_run(now, key, run, EndKind::Lapsed, None);
        }
    }

    /// Whether tasks may start on an executor.
    pub(super) fn is_usable(&self, now: Moment, key: ExecutorKey) -> bool {
        let (Some(view), Some(record)) = (self.executors.get(&key), self.state.executor(key))
        else {
            return false;
        };
        let patience = self.options.announce_every.mul_f64(MISSED_ANNOUNCEMENTS);
        let sign = view.clock.map_or(Duration::ZERO, |clock| clock.received);
        let told = view.last_announced.is_some() || view.responsive;
        let fresh = told && now.monotonic < sign + patience;
        // A hold that is not answered leaves what runs there in doubt.
        let trusted = view.failed_calls == 0 && (view.responsive || view.runs.is_empty());
        fresh
            && trusted
            && !record.leaving
            && !view.cordoned
            && view.left_at.is_none()
            && view.unknown_runs.is_empty()
            && now.monotonic >= view.backoff_until
    }

    pub(super) fn poll_now(&mut self, now: Moment, key: ExecutorKey) {
        if let Some(view) = self.executors.get_mut(&key)
            && matches!(view.hold, HoldPhase::Due(_))
        {
            view.hold = HoldPhase::Due(now.monotonic);
        }
    }
}
