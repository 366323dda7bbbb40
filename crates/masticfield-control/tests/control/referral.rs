//! Where requests of operators go while the leader is silent or not known.

use std::net::SocketAddr;
use std::time::Duration;

use masticfield_control::jobs::{ControlView, Referral, ReferralStep, refer};
use rstest::rstest;

const LEADER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn view(leader: Option<SocketAddr>) -> ControlView {
    ControlView {
        leader,
        ..ControlView::default()
    }
}

/// Guards against an operator that is referred to a leader which has frozen, or refused during an
/// election, and against one that is held although no leader is to be expected.
#[rstest]
#[case::leader_in_contact(Some(LEADER), 10_000, ReferralStep::Refer(Referral::Leader(LEADER)))]
#[case::late_heartbeat(Some(LEADER), 9_720, ReferralStep::Refer(Referral::Leader(LEADER)))]
#[case::silent_leader(Some(LEADER), 9_600, ReferralStep::WaitUntil(ms(10_600)))]
#[case::silent_for_long(Some(LEADER), 8_900, ReferralStep::Refer(Referral::Leader(LEADER)))]
#[case::election(None, 9_400, ReferralStep::WaitUntil(ms(10_400)))]
#[case::cut_off(None, 8_900, ReferralStep::Refer(Referral::NoLeader))]
fn a_request_waits_only_while_a_new_leader_can_be_expected(
    #[case] leader: Option<SocketAddr>,
    #[case] last_contact_ms: u64,
    #[case] expected: ReferralStep,
) {
    let step = refer(&view(leader), ms(last_contact_ms), ms(10_000), ms(10_000));
    assert_eq!(step, expected);
}

/// Guards against a response that comes after the operator has given up, and against a wait without
/// an end while elections fail one after the other.
#[rstest]
#[case::still_waiting(10_699, ReferralStep::WaitUntil(ms(10_700)))]
#[case::over(10_700, ReferralStep::Refer(Referral::NoLeader))]
fn a_request_is_held_for_less_than_the_timeout_of_an_operator(
    #[case] now_ms: u64,
    #[case] expected: ReferralStep,
) {
    let step = refer(&view(None), ms(10_600), ms(10_000), ms(now_ms));
    assert_eq!(step, expected);
}

#[test]
fn a_leader_serves_requests_itself() {
    let view = ControlView {
        is_leader: true,
        ..view(Some(LEADER))
    };
    let step = refer(&view, ms(0), ms(10_000), ms(10_000));
    assert_eq!(step, ReferralStep::Refer(Referral::Here));
}
