//! Weighted fair shares of workspaces.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Sliding window in which a workspace may submit its rate of jobs.
const WINDOW: Duration = Duration::from_secs(5);

/// Least weight in fair queueing, so that a workspace without an entitlement is served at all.
const MIN_WEIGHT: f64 = 0.01;

/// Time constant of the service that the fairness index compares.
const INDEX_TIME: Duration = Duration::from_secs(10);

/// Weighted shares of the members of a group, usually workspaces.
///
/// A member is entitled to `weight` jobs per second in a sliding window of 5 s, or of the time for
/// one job if that is longer. Jobs beyond this rate are not within its share, and do not use it up.
/// Among jobs that rank equally, start-time fair queueing by work per weight decides: the jobs of
/// each member have start tags that advance by their work over its weight, and those with the
/// lowest tags are served first. Two members that both have jobs waiting then differ in work per
/// weight by at most their largest jobs over their weights.
#[derive(Debug, Clone, PartialEq)]
pub struct FairShares<K> {
    members: BTreeMap<K, Member>,
    /// Largest start tag of a job that was served.
    virtual_time: f64,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Member {
    weight: f64,
    /// Times of the accepted jobs within the share, as long as they are in the window.
    recent: VecDeque<Duration>,
    /// Start tag of the next job, unless the virtual time has passed it.
    finish_tag: f64,
    /// Jobs offered and served, decaying over [`INDEX_TIME`].
    offered: f64,
    served: f64,
    updated: Duration,
}

impl<K> Default for FairShares<K> {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            virtual_time: 0.0,
        }
    }
}

impl<K: Copy + Ord> FairShares<K> {
    /// Sets the members and their weights. Those that remain keep their history.
    pub fn set_members(&mut self, weights: impl IntoIterator<Item = (K, f64)>) {
        let mut former = std::mem::take(&mut self.members);
        for (key, weight) in weights {
            let mut member = former.remove(&key).unwrap_or_default();
            member.weight = weight;
            self.members.insert(key, member);
        }
    }

    /// Returns whether a job that a member submits now is within its share; false for a key that
    /// is not a member.
    pub fn is_in_share(&self, now: Duration, key: K) -> bool {
        let Some(member) = self.members.get(&key) else {
            return false;
        };
        let (window, jobs) = member.entitlement();
        let since = now.saturating_sub(window);
        let after = member.recent.iter().rev();
        let recent = after.take_while(|time| **time > since || now < window);
        recent.count() < jobs
    }

    /// Records that a job of a member is offered, whether or not it is accepted.
    pub fn record_offered(&mut self, now: Duration, key: K) {
        if let Some(member) = self.members.get_mut(&key) {
            member.decay(now);
            member.offered += 1.0;
        }
    }

    /// Records an accepted job of `work` core-seconds, which is in share or not; returns its start
    /// tag.
    pub fn accept(&mut self, now: Duration, key: K, in_share: bool, work: f64) -> f64 {
        let Some(member) = self.members.get_mut(&key) else {
            return self.virtual_time;
        };
        if in_share {
            member.recent.push_back(now);
            let (window, _) = member.entitlement();
            while member
                .recent
                .front()
                .is_some_and(|time| *time + window <= now)
            {
                member.recent.pop_front();
            }
        }
        let start_tag = member.finish_tag.max(self.virtual_time);
        member.finish_tag = start_tag + work.max(0.0) / member.weight.max(MIN_WEIGHT);
        start_tag
    }

    /// Records that a member's job with a start tag begins to be served.
    pub fn serve(&mut self, now: Duration, key: K, start_tag: f64) {
        self.virtual_time = self.virtual_time.max(start_tag);
        if let Some(member) = self.members.get_mut(&key) {
            member.decay(now);
            member.served += 1.0;
        }
    }

    /// Returns Jain's fairness index of the served part of the members' jobs: 1 if it is equal for
    /// all members with jobs, and 1/n if one of n members alone is served.
    pub fn fairness_index(&self) -> f64 {
        let active = self.members.values().filter(|member| member.offered > 0.1);
        let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
        for member in active {
            let part = (member.served / member.offered).min(1.0);
            count += 1.0;
            sum += part;
            squares += part * part;
        }
        if squares > 0.0 {
            sum * sum / (count * squares)
        } else {
            1.0
        }
    }
}

impl Member {
    /// Returns the window and the number of jobs in it that are within the share.
    fn entitlement(&self) -> (Duration, usize) {
        let per_window = self.weight * WINDOW.as_secs_f64();
        if per_window >= 1.0 {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a positive number, rounded down"
            )]
            return (WINDOW, per_window as usize);
        }
        match Duration::try_from_secs_f64(1.0 / self.weight) {
            Ok(window) if self.weight > 0.0 => (window, 1),
            _ => (WINDOW, 0),
        }
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let factor = (-elapsed / INDEX_TIME.as_secs_f64()).exp();
        self.offered *= factor;
        self.served *= factor;
        self.updated = now;
    }
}
