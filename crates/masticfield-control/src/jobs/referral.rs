//! Where a replica refers requests that only the leader can serve.

use std::net::SocketAddr;
use std::time::Duration;

use super::ControlView;

/// Time without contact after which a leader counts as silent: two and a half heartbeat intervals.
const SILENT_AFTER: Duration = Duration::from_millis(300);

/// Time from the last contact with a leader within which its successor is usually elected: the
/// longest election timeout of 0.8 s, and two round trips with their syncs.
const ELECTION_TIME: Duration = Duration::from_secs(1);

/// Longest time for which a request is held. An operator gives up after 1 s, which the response must
/// not exceed.
const MAX_HOLD: Duration = Duration::from_millis(700);

/// Where a request goes that only the leader can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Referral {
    /// This replica leads.
    Here,
    /// The leader, at the address under which the other replicas reach it.
    Leader(SocketAddr),
    /// No leader is known.
    NoLeader,
}

/// What to do with a request that only the leader can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReferralStep {
    /// The request is referred.
    Refer(Referral),
    /// The request waits for a change of the view, at most until this time of the boot clock.
    WaitUntil(Duration),
}

/// Decides where a request goes at `now`.
///
/// The load that it answers is a leader that has just frozen or ended: a caller that is referred to
/// it waits for its own timeout, which is longer than the election of another leader. While one can
/// be expected, the request waits for it. A replica that has been without a leader for longer, as it
/// may be cut off, does not hold requests.
///
/// `last_contact` is the time of the last contact by a leader, `arrived` that of the request.
#[must_use]
pub fn refer(
    view: &ControlView,
    last_contact: Duration,
    arrived: Duration,
    now: Duration,
) -> ReferralStep {
    let referral = Referral::from(view);
    let elected_by = (last_contact + ELECTION_TIME).min(arrived + MAX_HOLD);
    let may_be_gone = match referral {
        Referral::Here => false,
        Referral::Leader(_) => now > last_contact + SILENT_AFTER,
        Referral::NoLeader => true,
    };
    if may_be_gone && now < elected_by {
        ReferralStep::WaitUntil(elected_by)
    } else {
        ReferralStep::Refer(referral)
    }
}

impl From<&ControlView> for Referral {
    /// Refers to the leader that the view names.
    fn from(view: &ControlView) -> Self {
        match view.leader {
            _ if view.is_leader => Self::Here,
            Some(leader) => Self::Leader(leader),
            None => Self::NoLeader,
        }
    }
}
