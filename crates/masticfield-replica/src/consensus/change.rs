//! Changes of the members.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

use super::progress::Progress;
use super::role::Role;
use super::{Next, Replica};
use crate::{EntryBody, Identity, Membership};

/// Entries that a learner may lack when it becomes a voter.
const PROMOTION_LAG: u64 = 64;

/// A change of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Change {
    /// Adds a replica that learns without a vote.
    AddLearner(Identity, SocketAddr),
    /// Makes a learner that has caught up a voter.
    Promote(Identity),
    /// Removes a voter or learner.
    Remove(Identity),
}

/// Why a change was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// Another replica leads.
    #[snafu(display("another replica leads"))]
    NotLeader,
    /// An earlier change, or the leader's first entry, is not committed yet.
    #[snafu(display("an earlier change is not committed yet"))]
    Pending,
    /// The learner lacks too much of the log.
    #[snafu(display("the learner has not caught up"))]
    NotCaughtUp,
    /// The group would have too many or no voters.
    #[snafu(display("a group has 1 to {} voters", Membership::MAX_VOTERS))]
    Size,
    /// The new replica has not connected to this one.
    #[snafu(display("the new replica has not connected to this one"))]
    Unknown,
    /// The change was proposed and may be committed yet or not.
    #[snafu(display("the outcome of the change is not known"))]
    Undecided,
    /// The replica is a member already, or is none.
    #[snafu(display("the change does not fit the members"))]
    NoChange,
}

impl Replica {
    pub(super) fn change(&mut self, now: Duration, change: Change, next: &mut Next) {
        match self.changed(change) {
            Ok(members) => {
                self.append_members(now, members, next);
            }
            Err(refused) => next.refused = Some(refused),
        }
    }

    fn changed(&self, change: Change) -> Result<Membership, ChangeError> {
        if !self.is_leader() {
            return Err(ChangeError::NotLeader);
        }
        let settled = self.log.members_index() <= self.commit
            && self.log.term(self.commit) == Some(self.term());
        if !settled {
            return Err(ChangeError::Pending);
        }
        let members = self.log.members().clone();
        let changed = match change {
            Change::AddLearner(peer, address) if members.find(peer.id()).is_none() => {
                members.clone().with_learner(peer, address)
            }
            Change::Promote(peer) if members.is_learner(peer) => {
                self.check_caught_up(peer)?;
                members.clone().with_promoted(peer)
            }
            Change::Remove(peer) => members.clone().without(peer),
            _ => return Err(ChangeError::NoChange),
        };
        if changed == members {
            return Err(ChangeError::NoChange);
        }
        if (1..=Membership::MAX_VOTERS).contains(&changed.voter_count()) {
            Ok(changed)
        } else {
            Err(ChangeError::Size)
        }
    }

    fn check_caught_up(&self, peer: Identity) -> Result<(), ChangeError> {
        let matched = self.matched(peer).unwrap_or_default();
        if matched + PROMOTION_LAG >= self.log.last_index() && matched >= self.log.members_index() {
            Ok(())
        } else {
            Err(ChangeError::NotCaughtUp)
        }
    }

    fn append_members(&mut self, now: Duration, members: Membership, next: &mut Next) {
        let last = self.log.last_index();
        if let Role::Leader(leadership) = &mut self.role {
            let peers = &mut leadership.peers;
            peers.retain(|peer, _| members.contains(*peer));
            for (peer, _) in members.members() {
                let new = || Progress::new(last, now);
                peers.entry(peer).or_insert_with(new);
            }
        }
        self.append(now, vec![EntryBody::Members(members)], next);
    }
}
