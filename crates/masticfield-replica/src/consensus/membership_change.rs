//! Changes of the members of a group.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

use super::progress::Progress;
use super::role::Role;
use super::{Output, Replica};
use crate::{EntryBody, Identity, Membership};

/// Maximum number of entries that a learner may lag behind the leader when it is promoted.
const MAX_PROMOTION_LAG: u64 = 64;

/// A change of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but does not count towards a quorum.
    AddLearner(Identity, SocketAddr),
    /// Promotes a learner that has caught up to a voter.
    Promote(Identity),
    /// Removes a voter or learner.
    Remove(Identity),
}

/// Why a change of the members was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum MembershipChangeError {
    /// This replica does not lead.
    #[snafu(display("another replica leads"))]
    NotLeader,
    /// An earlier change, or the first entry of the leader's term, is not committed yet.
    #[snafu(display("an earlier change is not committed yet"))]
    Pending,
    /// The learner lags too far behind the leader to be promoted.
    #[snafu(display("the learner has not caught up with the leader"))]
    NotCaughtUp,
    /// The group would have no voter, or more than [`Membership::MAX_VOTERS`].
    #[snafu(display("a group must have 1 to {} voters", Membership::MAX_VOTERS))]
    VoterCount,
    /// The replica to add has not connected to this one, so its address is not known.
    #[snafu(display("the replica to add has not connected to this one"))]
    UnknownReplica,
    /// The change was proposed; whether it will be committed is not known.
    #[snafu(display("the outcome of the membership change is not known"))]
    Undecided,
    /// The replica to add is a member already, or the one to promote or remove is not.
    #[snafu(display("the change does not apply to the current members"))]
    NotApplicable,
}

impl Replica {
    pub(super) fn change_members(
        &mut self,
        now: Duration,
        change: MembershipChange,
        output: &mut Output,
    ) {
        match self.members_after(change) {
            Ok(members) => {
                self.append_members(now, members, output);
            }
            Err(refused) => output.refused = Some(refused),
        }
    }

    fn members_after(&self, change: MembershipChange) -> Result<Membership, MembershipChangeError> {
        if !self.is_leader() {
            return Err(MembershipChangeError::NotLeader);
        }
        let settled = self.log.members_index() <= self.commit_index
            && self.log.term(self.commit_index) == Some(self.term());
        if !settled {
            return Err(MembershipChangeError::Pending);
        }
        let members = self.log.members().clone();
        let changed = match change {
            MembershipChange::AddLearner(peer, address) if members.find(peer.id()).is_none() => {
                members.clone().with_learner(peer, address)
            }
            MembershipChange::Promote(peer) if members.is_learner(peer) => {
                self.check_caught_up(peer)?;
                members.clone().with_promoted(peer)
            }
            MembershipChange::Remove(peer) => members.clone().without(peer),
            _ => return Err(MembershipChangeError::NotApplicable),
        };
        if changed == members {
            return Err(MembershipChangeError::NotApplicable);
        }
        if (1..=Membership::MAX_VOTERS).contains(&changed.voter_count()) {
            Ok(changed)
        } else {
            Err(MembershipChangeError::VoterCount)
        }
    }

    fn check_caught_up(&self, peer: Identity) -> Result<(), MembershipChangeError> {
        let match_index = self.match_index(peer).unwrap_or_default();
        if match_index + MAX_PROMOTION_LAG >= self.log.last_index()
            && match_index >= self.log.members_index()
        {
            Ok(())
        } else {
            Err(MembershipChangeError::NotCaughtUp)
        }
    }

    fn append_members(&mut self, now: Duration, members: Membership, output: &mut Output) {
        let last = self.log.last_index();
        if let Role::Leader(state) = &mut self.role {
            let progress = &mut state.progress;
            progress.retain(|peer, _| members.contains(*peer));
            for (peer, _) in members.members() {
                let new = || Progress::new(last, now);
                progress.entry(peer).or_insert_with(new);
            }
        }
        self.append(now, vec![EntryBody::Members(members)], output);
    }
}
