//! Announcements of executors, and checks of their health.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use super::executor::{AnnouncementOrder, ExecutorView, HoldPhase, ReportedEnd};
use super::retirement::Retirement;
use super::{
    Announcement, BriefAnnouncement, Defect, Departure, Effect, Leader, Moment, Refusal, Reply,
    ReplyId,
};
use crate::job::{Resources, RunId};
use crate::schedule::poll_interval;
use crate::state::{Command, EndKind, ExecutorKey};

/// Number of announcement intervals without contact after which no task starts on an executor.
const MISSED_ANNOUNCEMENTS: f64 = 2.5;

/// Number of announcement intervals after which an announcement is overdue.
const OVERDUE_ANNOUNCEMENTS: f64 = 1.6;

/// Time without contact after which an executor without runs is retired.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time for which a new executor gets no long-running tasks while its host is not listed.
const HOST_UNKNOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Which incarnation of an executor a report of an end is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departing {
    /// One before the known one.
    Former,
    /// The known one.
    Known,
    /// One that has not announced itself yet.
    Later,
}

impl Leader {
    pub(super) fn on_announcement(
        &mut self,
        now: Moment,
        reply_to: ReplyId,
        announcement: &Announcement,
    ) {
        let order = self
            .resolve_incarnation(now, announcement)
            .map(|key| self.apply_announcement(now, key, announcement));
        let reply = match order {
            // If it is of the executor, the executor repeats it.
            Some(AnnouncementOrder::Disputed) => Reply::Refused(Refusal::NotReady),
            Some(AnnouncementOrder::New | AnnouncementOrder::Late) | None => Reply::Done,
        };
        self.after_commit(Effect::Reply { reply_to, reply });
    }

    /// Returns the key of the announced incarnation, which is added if it is new.
    ///
    /// Returns `None` if a new incarnation is of a pool that is not configured, if a later one is
    /// known, or if the announcement contradicts an earlier one of the same incarnation.
    fn resolve_incarnation(
        &mut self,
        now: Moment,
        announcement: &Announcement,
    ) -> Option<ExecutorKey> {
        let incarnation = &announcement.incarnation;
        let mut former = None;
        if let Some(known) = self.key_by_id.get(&incarnation.id).copied() {
            let record = self.state.executor(known)?;
            if incarnation.started_ms < record.incarnation.started_ms {
                return None;
            }
            if incarnation.started_ms == record.incarnation.started_ms {
                let same = incarnation.address == record.incarnation.address
                    && incarnation.pool == record.incarnation.pool;
                if !same {
                    // Address and pool are fixed within an incarnation, so the sender is another
                    // process.
                    log::warn!(
                        executor = incarnation.id.as_ref();
                        "announcement ignored: address or pool differs from an earlier one"
                    );
                }
                return same.then_some(known);
            }
            former = Some(known);
        }
        // An executor of a pool that is configured later announces itself again.
        if !self.may_be_configured(&incarnation.pool) {
            return None;
        }
        let key = self.state.next_executor_key();
        self.propose(Command::Enlist {
            executor: key,
            incarnation: incarnation.clone(),
        });
        self.key_by_id.insert(Arc::clone(&incarnation.id), key);
        self.pool_executors
            .entry(Arc::clone(&incarnation.pool))
            .or_default()
            .insert(key);
        let former_leases_end = self.former_leases_end(now, &incarnation.id, former);
        let pending_former_lease = self.pending_former_lease(&incarnation.id, former);
        if pending_former_lease.is_some() || former_leases_end > now.monotonic {
            let (executor, possible) = (key, true);
            self.propose(Command::FormerLeases { executor, possible });
        }
        let mut view = ExecutorView::new(former_leases_end);
        view.cordoned = self.has_operation(&incarnation.id);
        view.pending_former_lease = pending_former_lease;
        if self.may_be_claimed(incarnation) {
            view.host_unknown_until = now.monotonic + HOST_UNKNOWN_TIMEOUT;
        }
        self.executors.insert(key, view);
        let former_leases_ms = former_leases_end.saturating_sub(now.monotonic).as_millis();
        let former_leases_ms = u64::try_from(former_leases_ms).unwrap_or(u64::MAX);
        log::info!(
            executor = incarnation.id.as_ref(), born_ms = incarnation.started_ms, former_leases_ms,
            had_former = pending_former_lease.is_some(), pool = incarnation.pool.as_ref(),
            address = incarnation.address.as_ref();
            "executor known"
        );
        if let Some(former) = former {
            self.retire(now, former, Retirement::Reborn);
        }
        self.removed_leases_end.remove(&incarnation.id);
        Some(key)
    }

    /// Returns whether the pool is in the configuration, or no configuration is stored yet.
    fn may_be_configured(&self, pool: &str) -> bool {
        let stored = self.state.config();
        stored.is_none_or(|stored| {
            let mut pools = stored.config.pools.iter();
            pools.any(|configured| *configured.name == *pool)
        })
    }

    fn apply_announcement(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        announcement: &Announcement,
    ) -> AnnouncementOrder {
        let (sequence, clock_ms) = (announcement.sequence, announcement.clock_ms);
        let order = self.check_announcement(now, key, sequence, clock_ms);
        if order == AnnouncementOrder::Late && announcement.leaving {
            // Leaving is final within an incarnation, whatever has arrived before.
            self.record_leaving(now, key, announcement);
        }
        if order != AnnouncementOrder::New {
            return order;
        }
        let Some(view) = self.executors.get_mut(&key) else {
            return order;
        };
        let is_first = view.last_announced.is_none();
        view.last_announced = Some(now.monotonic);
        view.sequence = announcement.sequence;
        view.record_clock(now.monotonic, announcement.clock_ms);
        self.update_capacity(key, announcement);
        self.end_overdue(key);
        if announcement.leaving {
            self.record_leaving(now, key, announcement);
        }
        if is_first {
            // From the answer on, calls for former incarnations are refused.
            self.hold_if_due(now, key);
            self.changed_pools
                .insert(Arc::clone(&announcement.incarnation.pool));
        }
        order
    }

    fn record_leaving(&mut self, now: Moment, key: ExecutorKey, announcement: &Announcement) {
        if self.propose(Command::Leaving { executor: key }) {
            log::info!(
                executor = announcement.incarnation.id.as_ref(), sequence = announcement.sequence;
                "executor leaves"
            );
            self.drain(now, key, true);
        }
    }

    /// Returns how to treat an announcement; the executor is polled if its clock is disputed.
    fn check_announcement(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        sequence: u64,
        clock_ms: u64,
    ) -> AnnouncementOrder {
        let Some(view) = self.executors.get_mut(&key) else {
            return AnnouncementOrder::Late;
        };
        let order = view.check_announcement(now.monotonic, sequence, clock_ms);
        if order == AnnouncementOrder::Disputed {
            if view.disputed_at.is_none() {
                log::warn!(executor = key.0, sequence, clock_ms; "announcement contradicts the clock of its executor");
            }
            view.disputed_at.get_or_insert(now.monotonic);
            self.hold_if_due(now, key);
        }
        order
    }

    fn update_capacity(&mut self, key: ExecutorKey, announcement: &Announcement) {
        let incarnation = &announcement.incarnation;
        let capacity = incarnation.capacity;
        let resized = self.propose(Command::Resize {
            executor: key,
            capacity,
        });
        if resized {
            let Resources {
                cpu_milli,
                memory_mb,
                gpus,
            } = capacity;
            log::info!(
                executor = incarnation.id.as_ref(), cpu_milli, memory_mb, gpus;
                "capacity has changed"
            );
            self.changed_pools.insert(Arc::clone(&incarnation.pool));
        }
    }

    /// Records a sign of life of an executor that is known; others announce themselves in full soon.
    pub(super) fn on_repeated_announcement(
        &mut self,
        now: Moment,
        announcement: &BriefAnnouncement,
    ) {
        let Some(key) = self.key_by_id.get(&announcement.id).copied() else {
            return;
        };
        let record = self.state.executor(key);
        if record.is_none_or(|record| record.incarnation.started_ms != announcement.started_ms) {
            return;
        }
        let (sequence, clock_ms) = (announcement.sequence, announcement.clock_ms);
        let order = self.check_announcement(now, key, sequence, clock_ms);
        if let Some(view) = self.executors.get_mut(&key)
            && view.last_announced.is_some()
            && order == AnnouncementOrder::New
        {
            view.last_announced = Some(now.monotonic);
            view.sequence = announcement.sequence;
            view.record_clock(now.monotonic, announcement.clock_ms);
            self.end_overdue(key);
        }
    }

    /// Records that announcements of an executor have come again.
    fn end_overdue(&mut self, key: ExecutorKey) {
        let overdue = false;
        self.propose(Command::Overdue {
            executor: key,
            overdue,
        });
    }

    /// Records in the state that announcements of an executor are overdue, so that the next leader
    /// knows it.
    fn check_overdue(&mut self, now: Moment, key: ExecutorKey) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let timeout = self.options.announce_every.mul_f64(OVERDUE_ANNOUNCEMENTS);
        let overdue = match view.last_announced {
            Some(at) => now.monotonic > at + timeout,
            None => view.was_silent || now.monotonic > self.leading_since + timeout,
        };
        if overdue && !self.state.is_overdue(key) {
            self.propose(Command::Overdue {
                executor: key,
                overdue,
            });
        }
    }

    /// Handles the report of an incarnation that it is about to end.
    ///
    /// Only that incarnation is retired: a report that was held up may arrive when the next one
    /// runs tasks, which would start again beside their runs.
    pub(super) fn on_left(&mut self, now: Moment, reply_to: ReplyId, departure: &Departure) {
        if let Some(key) = self.key_by_id.get(&departure.id).copied() {
            let concerned = self.departing(key, departure);
            log::info!(
                executor = departure.id.as_ref(), born_ms = departure.started_ms, concerned:?;
                "executor reports its end"
            );
            match concerned {
                Departing::Former => {}
                Departing::Known => self.record_departure(now, key, departure),
                Departing::Later => {
                    // The known one has ended, as a later one has started.
                    self.supersede(now, key);
                    self.record_unknown_departure(now, departure);
                }
            }
        } else {
            self.record_unknown_departure(now, departure);
        }
        self.after_commit(Effect::Reply {
            reply_to,
            reply: Reply::Done,
        });
    }

    /// Returns which incarnation a report of an end is about, by that which is known.
    fn departing(&self, key: ExecutorKey, departure: &Departure) -> Departing {
        let Some(record) = self.state.executor(key) else {
            return Departing::Former;
        };
        if self.options.defect == Some(Defect::DepartureOfLatest) {
            return Departing::Known;
        }
        let Some(started_ms) = departure.started_ms else {
            // Every incarnation announces that it leaves before it reports that it ends.
            return if record.leaving {
                Departing::Known
            } else {
                Departing::Former
            };
        };
        match started_ms.cmp(&record.incarnation.started_ms) {
            Ordering::Less => Departing::Former,
            Ordering::Equal => Departing::Known,
            Ordering::Greater => Departing::Later,
        }
    }

    fn record_departure(&mut self, now: Moment, key: ExecutorKey, departure: &Departure) {
        let trusts_any = self.options.defect == Some(Defect::DepartureOfLatest);
        let reported = ReportedEnd {
            at: now.monotonic,
            names_incarnation: departure.started_ms.is_some() || trusts_any,
        };
        if let Some(view) = self.executors.get_mut(&key) {
            let earlier = view
                .departure
                .filter(|earlier| earlier.names_incarnation || !reported.names_incarnation);
            view.departure = earlier.or(Some(reported));
        }
        self.propose(Command::Leaving { executor: key });
        self.poll_beside(now, key);
    }

    /// Records the end of an incarnation that is not known, whose announcements may still arrive.
    fn record_unknown_departure(&mut self, now: Moment, departure: &Departure) {
        if let Some(started_ms) = departure.started_ms {
            self.record_removed(now, &departure.id, started_ms);
        }
    }

    /// Removes an incarnation that has ended, with all its runs.
    pub(super) fn retire(&mut self, now: Moment, key: ExecutorKey, reason: Retirement) {
        let Some(record) = self.state.executor(key) else {
            return;
        };
        let (id, pool) = (
            Arc::clone(&record.incarnation.id),
            Arc::clone(&record.incarnation.pool),
        );
        let started_ms = record.incarnation.started_ms;
        let (runs, why) = (record.runs.len(), reason.name());
        log::info!(executor = id.as_ref(), runs, why; "executor gone");
        let given_up = self.record_crash(now, key, reason);
        self.record_removed_leases(now, key, &id, reason);
        self.reassign_unlocated_runs(now, key, &id);
        let record = self.state.executor(key);
        let runs = record.into_iter().flat_map(|record| &record.runs);
        let runs: Vec<_> = runs.copied().collect();
        self.log_lost_runs(now, key, &runs);
        self.propose(Command::Retire {
            executor: key,
            at_ms: now.wall_ms,
        });
        self.executors.remove(&key);
        self.restart_drain(now, &id);
        if let Some(executors) = self.pool_executors.get_mut(&pool) {
            executors.remove(&key);
        }
        if self.key_by_id.get(&id) == Some(&key) {
            self.key_by_id.remove(&id);
        }
        self.record_removed(now, &id, started_ms);
        for run in runs {
            self.update_pending(now, run.task.job);
        }
        self.end_given_up(now, &given_up);
        self.changed_pools.insert(pool);
        self.after_commit(Effect::Disconnect { executor: key });
    }

    /// Logs the runs that end with their executor.
    fn log_lost_runs(&self, now: Moment, key: ExecutorKey, runs: &[RunId]) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let elapsed_ms = |since: Duration| {
            let elapsed = now.monotonic.saturating_sub(since);
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        };
        let heard_ms = view.clock.map(|clock| elapsed_ms(clock.received));
        for run in runs {
            let job = self.state.job(run.task.job);
            let failures = job.and_then(|job| Some(job.task(run.task)?.failures));
            let placed = view.runs.get(run).map(|run| run.placed_at);
            let placed_ms = placed.map(elapsed_ms);
            let how = EndKind::Gone.name();
            log::info!(
                run:%, executor = key.0, how, failures, placed_ms, heard_ms;
                "run ended"
            );
        }
    }

    /// Checks every executor for expired leases, lost contact, and orders to repeat.
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
        let last_contact = view.clock.map_or(Duration::ZERO, |clock| clock.received);
        let left = view.has_left(now.monotonic);
        let at_once = self.options.defect == Some(Defect::LapseAtOnce) && view.failed_holds > 0;
        let expired = at_once || view.leases_expired(now.monotonic);
        let superseded = view.superseded_at;
        let lapsed = !view.responsive && !view.runs.is_empty() && expired;
        let lapsed = lapsed && superseded.is_none();
        let silent = now.monotonic > last_contact.max(view.former_leases_end) + SILENCE_TIMEOUT;
        if left {
            return self.retire(now, key, Retirement::Left);
        }
        // By then the leases of the incarnation that has not announced itself have expired.
        if superseded.is_some_and(|at| now.monotonic > at + SILENCE_TIMEOUT) {
            return self.retire(now, key, Retirement::Reborn);
        }
        if lapsed {
            self.expire_leases(now, key);
        } else if silent && view.runs.is_empty() {
            return self.retire(now, key, Retirement::Silent);
        }
        // One that has reported its end takes its tasks with it, whatever is ordered.
        let about_to_end = self.executors.get(&key);
        let about_to_end = about_to_end.is_none_or(|view| view.departure.is_some());
        let record = self.state.executor(key);
        if !about_to_end && record.is_some_and(|record| record.leaving) {
            self.drain(now, key, true);
        }
        self.check_quarantine(now, key);
        self.check_former_leases(now, key);
        self.check_overdue(now, key);
        self.retry_orders(now, key);
        self.hold_if_due(now, key);
    }

    /// Ends every run of an executor whose leases have expired.
    fn expire_leases(&mut self, now: Moment, key: ExecutorKey) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let later_end = view.later_leases_end(view.lease_extended_at, self.options.max_lease);
        let ignored = self.options.defect == Some(Defect::IgnoreLaterLeases);
        let later_expired = ignored || now.monotonic > later_end;
        let over = view
            .runs
            .iter()
            .filter(|(_, run)| later_expired || !run.may_be_on_later());
        let runs: Vec<_> = over.map(|(run, _)| *run).collect();
        if runs.is_empty() {
            return;
        }
        self.keep_lapsed(now, key, &runs);
        log::info!(executor = key.0, runs = runs.len(); "leases ran out without an answer");
        for run in runs {
            self.end_run(now, key, run, EndKind::Lapsed, None);
        }
    }

    /// Returns whether tasks may start on an executor.
    pub(super) fn is_usable(&self, now: Moment, key: ExecutorKey) -> bool {
        let (Some(view), Some(record)) = (self.executors.get(&key), self.state.executor(key))
        else {
            return false;
        };
        let fresh = self.is_capacity_known(now, key);
        // Until a hold is answered, it is not known what runs on the executor. Calls for a former
        // incarnation may have started runs on one that the leader has not called yet.
        let runs_known = view.failed_holds == 0 && (view.responsive || view.runs.is_empty());
        fresh
            && runs_known
            && !record.leaving
            && !view.cordoned
            && view.departure.is_none()
            && view.superseded_at.is_none()
            && view.pending_former_lease.is_none()
            && view.unknown_runs.is_empty()
            && now.monotonic >= view.backoff_until
    }

    /// Returns whether the capacity of an executor is known.
    ///
    /// Only announcements show the capacity. A new leader relies on the state until executors have had
    /// the time to announce themselves, unless they may have missed announcements.
    pub(super) fn is_capacity_known(&self, now: Moment, key: ExecutorKey) -> bool {
        let Some(view) = self.executors.get(&key) else {
            return false;
        };
        let announce_every = self.options.announce_every;
        if let Some(at) = view.last_announced {
            return now.monotonic < at + announce_every.mul_f64(MISSED_ANNOUNCEMENTS);
        }
        let in_touch = view.responsive && !view.was_silent && !self.state.is_overdue(key);
        in_touch && now.monotonic < self.leading_since + announce_every
    }

    /// Makes the next poll of an executor due now, also if one is in flight that waits for an end.
    pub(super) fn poll_beside(&mut self, now: Moment, key: ExecutorKey) {
        if let Some(view) = self.executors.get_mut(&key) {
            view.hold = HoldPhase::Due(now.monotonic);
        }
        self.hold_if_due(now, key);
    }

    /// Makes the next poll of an executor due now, unless one is in flight.
    pub(super) fn poll_now(&mut self, now: Moment, key: ExecutorKey) {
        if let Some(view) = self.executors.get_mut(&key)
            && matches!(view.hold, HoldPhase::Due(_))
        {
            view.hold = HoldPhase::Due(now.monotonic);
        }
    }
}
