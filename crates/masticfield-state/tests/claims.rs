//! Claims: precedence of the first, reported ends, expiry and capacity.

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_state::ClaimTable;
use rstest::rstest;

const NOW_S: u64 = 1_000_000;

fn key(number: u64, issued_s: u64) -> ClaimKey {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&number.to_le_bytes());
    ClaimKey::from_digest(digest, issued_s)
}

fn request(sequence: u64) -> RequestId {
    RequestId::new(EntryId::new(1), sequence)
}

fn claim(key: ClaimKey, sequence: u64) -> Claim {
    Claim {
        key,
        fingerprint: [9; 16],
        request: request(sequence),
    }
}

#[rstest]
#[case::running(&[], ClaimVerdict::Held { by: request(1) })]
#[case::ran(&[ClaimEnd::Ran], ClaimVerdict::Ran { by: request(1) })]
#[case::unknown(&[ClaimEnd::Unknown], ClaimVerdict::Unknown { by: request(1) })]
#[case::free(&[ClaimEnd::NotRun], ClaimVerdict::Granted)]
#[case::ran_after_unknown(&[ClaimEnd::Unknown, ClaimEnd::Ran], ClaimVerdict::Ran { by: request(1) })]
#[case::not_run_after_ran(&[ClaimEnd::Ran, ClaimEnd::NotRun], ClaimVerdict::Ran { by: request(1) })]
#[case::not_run_after_unknown(&[ClaimEnd::Unknown, ClaimEnd::NotRun], ClaimVerdict::Unknown { by: request(1) })]
fn a_second_claim_returns_the_outcome_of_the_first(
    #[case] ends: &[ClaimEnd],
    #[case] expected: ClaimVerdict,
) {
    let mut claims = ClaimTable::new();
    let key = key(1, NOW_S);
    assert_eq!(claims.claim(NOW_S, &claim(key, 1)), ClaimVerdict::Granted);
    for end in ends {
        claims.end(key, request(1), *end);
    }
    assert_eq!(claims.claim(NOW_S, &claim(key, 2)), expected);
}

#[rstest]
#[case::kept(ClaimTable::RETENTION_S, ClaimVerdict::Held { by: request(1) })]
#[case::too_old(ClaimTable::RETENTION_S + 1, ClaimVerdict::Expired)]
fn a_claim_is_kept_for_the_retention(#[case] elapsed_s: u64, #[case] expected: ClaimVerdict) {
    let mut claims = ClaimTable::new();
    let key = key(1, NOW_S);
    claims.claim(NOW_S, &claim(key, 1));
    assert_eq!(claims.claim(NOW_S + elapsed_s, &claim(key, 2)), expected);
    // A leader whose clock is behind does not revive an expired key.
    assert_eq!(claims.claim(NOW_S, &claim(key, 3)), expected);
}

#[test]
fn a_key_issued_in_the_future_is_refused() {
    let mut claims = ClaimTable::new();
    let key = key(1, NOW_S + ClaimTable::MAX_AHEAD_S + 1);
    assert_eq!(claims.claim(NOW_S, &claim(key, 1)), ClaimVerdict::Expired);
}

#[test]
fn a_fenced_dispatch_has_an_unknown_end_and_cannot_claim_its_key_again() {
    let mut claims = ClaimTable::new();
    let key = key(1, NOW_S);
    claims.claim(NOW_S, &claim(key, 1));
    claims.fence(EntryId::new(1));
    let unknown = ClaimVerdict::Unknown { by: request(1) };
    assert_eq!(claims.claim(NOW_S, &claim(key, 1)), unknown);
    assert_eq!(claims.claim(NOW_S, &claim(key, 2)), unknown);
}

#[test]
fn a_full_table_expires_its_oldest_second() {
    let mut claims = ClaimTable::new();
    let first_s = NOW_S - ClaimTable::MIN_RETENTION_S;
    for number in 0..ClaimTable::MAX_CLAIMS as u64 {
        let issued_s = first_s + u64::from(number >= 10);
        claims.claim(NOW_S, &claim(key(number, issued_s), number));
    }
    assert_eq!(claims.len(), ClaimTable::MAX_CLAIMS);
    assert_eq!(
        claims.claim(NOW_S, &claim(key(1, NOW_S), 1)),
        ClaimVerdict::Granted
    );
    assert_eq!(claims.len(), ClaimTable::MAX_CLAIMS - 9);
    assert_eq!(
        claims.claim(NOW_S, &claim(key(1, first_s), 2)),
        ClaimVerdict::Expired
    );
}

#[test]
fn a_table_full_of_recent_claims_refuses_new_ones() {
    let mut claims = ClaimTable::new();
    for number in 0..ClaimTable::MAX_CLAIMS as u64 {
        claims.claim(NOW_S, &claim(key(number, NOW_S), number));
    }
    let next = claim(key(u64::MAX, NOW_S), 1);
    assert_eq!(claims.claim(NOW_S, &next), ClaimVerdict::Expired);
    let held = ClaimVerdict::Held { by: request(7) };
    assert_eq!(claims.claim(NOW_S, &claim(key(7, NOW_S), 1)), held);
}
