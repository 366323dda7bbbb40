//! The replicas among which an entry looks for the leading one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The replicas that an entry may connect to, and the one to try next.
///
/// All addresses are those at which replicas accept entries. The members of the group change while
/// an entry runs, until none of the replicas that it started with is left. The leader's list of
/// members is therefore the only one that replaces the list at hand: another replica may have been
/// removed or cut off, and still lists members that are gone.
#[derive(Debug, Clone)]
pub struct KnownReplicas {
    /// Addresses from the settings, which are tried whatever the members are.
    seeds: BTreeSet<SocketAddr>,
    /// Members of the group, as replicas reported them.
    members: BTreeSet<SocketAddr>,
    /// Replica that was reported as the leader and is tried next.
    reported_leader: Option<SocketAddr>,
    /// Number of attempts without a reported leader; selects the replica to try.
    rotation: usize,
}

impl KnownReplicas {
    /// Creates the replicas of an entry that knows its seeds only.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            seeds: seeds.into_iter().collect(),
            members: BTreeSet::new(),
            reported_leader: None,
            rotation: 0,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.seeds = seeds.into_iter().collect();
    }

    /// Returns the number of replicas.
    pub fn count(&self) -> usize {
        self.members.union(&self.seeds).count()
    }

    /// Returns all replicas.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.members.union(&self.seeds).copied().collect()
    }

    /// Replaces the members by those that the leader lists; an empty list changes nothing.
    pub fn record_leader_list(&mut self, members: impl IntoIterator<Item = SocketAddr>) {
        let members: BTreeSet<_> = members.into_iter().collect();
        if !members.is_empty() {
            self.members = members;
        }
    }

    /// Adds the members that a replica lists that does not lead, and the leader that it names.
    ///
    /// Returns whether it names another replica as the leader, which is tried next.
    pub fn record_follower_list(
        &mut self,
        from: SocketAddr,
        leader: Option<SocketAddr>,
        members: impl IntoIterator<Item = SocketAddr>,
    ) -> bool {
        self.members.extend(members);
        self.reported_leader = leader.filter(|leader| *leader != from);
        self.reported_leader.is_some()
    }

    /// Returns the replica to try: the reported leader if there is one, and the next one in turn
    /// otherwise; `None` if no replica is known.
    pub fn next_to_try(&mut self) -> Option<SocketAddr> {
        if let Some(leader) = self.reported_leader.take() {
            return Some(leader);
        }
        self.rotation += 1;
        let index = self.rotation % self.count().max(1);
        self.members.union(&self.seeds).nth(index).copied()
    }
}
