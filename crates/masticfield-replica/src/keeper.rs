//! Which member a leader adds or removes by itself.
//!
//! A replica that lost its disk comes back under another identity and asks to be let in; its
//! former identity goes first. A replica that is new takes the place of one that is gone. Only
//! one change is made at a time, and only a leader whose last change is committed makes one.
//!
//! # Examples
//!
//! ```
//! use masticfield_replica::Membership;
//! use masticfield_replica::keeper::next_change;
//!
//! assert_eq!(next_change(&Membership::default(), &[], &[], 3), None);
//! ```

use std::net::SocketAddr;
use std::time::Duration;

use crate::consensus::Change;
use crate::{Identity, Membership};

/// Time without an answer after which a voter counts as gone if another can take its place.
const GONE_AFTER: Duration = Duration::from_millis(1_200);

/// Time without an answer after which a learner is removed.
const LEARNER_GONE_AFTER: Duration = Duration::from_secs(6);

/// Time for which a greeting of a replica outside the group counts. It greets each 0.2 s.
pub const GREETING_LASTS: Duration = Duration::from_millis(700);

/// A replica outside the group that asks to be let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stranger {
    /// Who it is.
    pub identity: Identity,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it has greeted more than once of late.
    pub repeated: bool,
}

/// A member and the time since it last answered the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Who it is.
    pub identity: Identity,
    /// Time since it last answered.
    pub silent: Duration,
}

/// The change to make next, if any.
///
/// `target` is the number of voters that bears the losses the group has to bear.
pub fn next_change(
    group: &Membership,
    members: &[Member],
    strangers: &[Stranger],
    target: usize,
) -> Option<Change> {
    replaced(group, members, strangers)
        .or_else(|| grown(group, members, target))
        .or_else(|| newcomer(group, strangers))
        .or_else(|| departed(group, members, target))
}

/// Removes the former identity of a replica that lost its disk.
fn replaced(group: &Membership, members: &[Member], strangers: &[Stranger]) -> Option<Change> {
    strangers.iter().find_map(|stranger| {
        let former = group.find(stranger.identity.id())?;
        let member = members.iter().find(|member| member.identity == former)?;
        let gone = stranger.repeated && member.silent > GREETING_LASTS;
        gone.then_some(Change::Remove(former))
    })
}

/// Makes a learner a voter where one is missing, or in the place of one that is gone.
fn grown(group: &Membership, members: &[Member], target: usize) -> Option<Change> {
    let answers = |member: &&Member| member.silent <= GREETING_LASTS;
    let learners = members.iter().filter(answers);
    let learner = learners
        .map(|member| member.identity)
        .find(|identity| group.is_learner(*identity))?;
    if group.voter_count() < target {
        return Some(Change::Promote(learner));
    }
    gone(group, members).map(Change::Remove)
}

/// Lets a newcomer learn.
fn newcomer(group: &Membership, strangers: &[Stranger]) -> Option<Change> {
    let mut new = strangers
        .iter()
        .filter(|stranger| stranger.repeated && group.find(stranger.identity.id()).is_none());
    let stranger = new.next()?;
    Some(Change::AddLearner(stranger.identity, stranger.address))
}

/// Removes a voter beyond the target that is gone, or a learner that is.
fn departed(group: &Membership, members: &[Member], target: usize) -> Option<Change> {
    if group.voter_count() > target
        && let Some(gone) = gone(group, members)
    {
        return Some(Change::Remove(gone));
    }
    let mut learners = members
        .iter()
        .filter(|member| group.is_learner(member.identity) && member.silent > LEARNER_GONE_AFTER);
    learners
        .next()
        .map(|member| Change::Remove(member.identity))
}

fn gone(group: &Membership, members: &[Member]) -> Option<Identity> {
    let voters = members
        .iter()
        .filter(|member| group.is_voter(member.identity));
    let gone = voters.filter(|member| member.silent > GONE_AFTER);
    gone.max_by_key(|member| member.silent)
        .map(|member| member.identity)
}
