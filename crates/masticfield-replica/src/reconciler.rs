//! Membership reconciler: which member a leader adds or removes automatically.
//!
//! A replica that lost its disk returns under a new identity and asks to join; its former identity
//! is removed first. A new replica takes the place of one that does not respond. A leader makes
//! one change at a time, and only once its previous change is committed.
//!
//! # Examples
//!
//! ```
//! use masticfield_replica::Membership;
//! use masticfield_replica::reconciler::next_change;
//!
//! assert_eq!(next_change(&Membership::default(), &[], &[], 3), None);
//! ```

use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::MembershipChange;
use crate::{Identity, Membership};

/// Time without a response after which a voter may be replaced by a learner.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without a response after which a learner is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time for which the hello of a replica counts as recent.
///
/// A replica that knows no leader sends one every 200 ms.
pub const HELLO_VALIDITY: Duration = Duration::from_millis(700);

/// A replica outside the group that asks to join it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JoiningReplica {
    /// Identity under which the replica wants to join.
    pub identity: Identity,
    /// Address on which the replica listens to its peers.
    pub address: SocketAddr,
    /// Whether its previous hello, from the same identity, is recent too.
    pub repeated: bool,
}

/// A member and the time since its last response to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberContact {
    /// Identity of the voter or learner.
    pub identity: Identity,
    /// Time since the last response; zero for the leader itself.
    pub since_contact: Duration,
}

/// Returns the change to make next, or `None` if the group needs none.
///
/// `target` is the number of voters at which the group tolerates the losses that it is configured
/// for.
pub fn next_change(
    group: &Membership,
    members: &[MemberContact],
    joining: &[JoiningReplica],
    target: usize,
) -> Option<MembershipChange> {
    remove_former_identity(group, members, joining)
        .or_else(|| promote_learner(group, members, target))
        .or_else(|| add_learner(group, joining))
        .or_else(|| remove_unresponsive(group, members, target))
}

/// Removes the former identity of a replica that lost its disk.
fn remove_former_identity(
    group: &Membership,
    members: &[MemberContact],
    joining: &[JoiningReplica],
) -> Option<MembershipChange> {
    joining.iter().find_map(|replica| {
        let former = group.find(replica.identity.id())?;
        let member = members.iter().find(|member| member.identity == former)?;
        let is_replaced = replica.repeated && member.since_contact > HELLO_VALIDITY;
        is_replaced.then_some(MembershipChange::Remove(former))
    })
}

/// Promotes a responsive learner if voters are missing, or removes an unresponsive voter so that
/// the learner can be promoted in its place.
fn promote_learner(
    group: &Membership,
    members: &[MemberContact],
    target: usize,
) -> Option<MembershipChange> {
    let is_responsive = |member: &&MemberContact| member.since_contact <= HELLO_VALIDITY;
    let responsive = members.iter().filter(is_responsive);
    let learner = responsive
        .map(|member| member.identity)
        .find(|identity| group.is_learner(*identity))?;
    if group.voter_count() < target {
        return Some(MembershipChange::Promote(learner));
    }
    unresponsive_voter(group, members).map(MembershipChange::Remove)
}

/// Adds a joining replica as a learner.
fn add_learner(group: &Membership, joining: &[JoiningReplica]) -> Option<MembershipChange> {
    let mut new = joining
        .iter()
        .filter(|replica| replica.repeated && group.find(replica.identity.id()).is_none());
    let replica = new.next()?;
    Some(MembershipChange::AddLearner(
        replica.identity,
        replica.address,
    ))
}

/// Removes an unresponsive voter beyond the target, or an unresponsive learner.
fn remove_unresponsive(
    group: &Membership,
    members: &[MemberContact],
    target: usize,
) -> Option<MembershipChange> {
    if group.voter_count() > target
        && let Some(voter) = unresponsive_voter(group, members)
    {
        return Some(MembershipChange::Remove(voter));
    }
    let mut learners = members.iter().filter(|member| {
        group.is_learner(member.identity) && member.since_contact > LEARNER_TIMEOUT
    });
    learners
        .next()
        .map(|member| MembershipChange::Remove(member.identity))
}

/// The voter without a response for longest, if that exceeds [`VOTER_TIMEOUT`].
fn unresponsive_voter(group: &Membership, members: &[MemberContact]) -> Option<Identity> {
    let voters = members
        .iter()
        .filter(|member| group.is_voter(member.identity));
    let unresponsive = voters.filter(|member| member.since_contact > VOTER_TIMEOUT);
    unresponsive
        .max_by_key(|member| member.since_contact)
        .map(|member| member.identity)
}
