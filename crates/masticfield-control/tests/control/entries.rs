//! Entries: leases, versions that never decrease, and claims of idempotency keys.

use crate::support::{Control, Entry, POLL_INTERVAL, note};
use assert_matches::assert_matches;
use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_wire::control::{ControlToEntry, EndedClaim, EntryToControl};
use tempfile::TempDir;

/// Starts a control process and applies note 1.
async fn start_with_note(dir: &TempDir) -> Control {
    let control = Control::start(dir.path(), 1, &[]).await;
    control.apply(&note(1, 0, "p")).await;
    control
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_note_is_in_force_once_the_entry_serves_it() {
    let dir = TempDir::new().unwrap();
    let control = start_with_note(&dir).await;
    let mut entry = Entry::connect(&control, 1).await;
    entry.serve(1).await;
    control.apply(&note(2, 1, "q")).await;
    entry.serve(2).await;
    while !control.rollout(2).await.in_force {
        entry.serve(2).await;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(control.rollout(2).await.acknowledged, [EntryId::new(1)]);
    control.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_entry_never_serves_an_old_version() {
    let dir = TempDir::new().unwrap();
    let control = start_with_note(&dir).await;
    let mut latest = 1;
    for incarnation in 1..=20 {
        let mut entry = Entry::connect(&control, incarnation).await;
        assert_eq!(entry.serving(), None);
        entry.serve(latest).await;
        assert_eq!(entry.versions, [latest]);
        drop(entry);
        latest += 1;
        control
            .apply(&note(latest, latest - 1, &format!("p{latest}")))
            .await;
    }
    control.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_note_is_in_force_only_after_a_silent_entry_stops_serving() {
    let dir = TempDir::new().unwrap();
    let control = start_with_note(&dir).await;
    let mut entry = Entry::connect(&control, 1).await;
    entry.serve(1).await;
    control.apply(&note(2, 1, "q")).await;
    // The connection stays open, but the entry neither reads nor renews its lease.
    while !control.rollout(2).await.in_force {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(entry.serving(), None);
    control.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_is_served_after_a_restart_of_control() {
    let dir = TempDir::new().unwrap();
    let control = start_with_note(&dir).await;
    let mut entry = Entry::connect(&control, 1).await;
    entry.serve(1).await;
    control.stop().await;
    assert!(entry.receive().await.is_err());
    let control = Control::start(dir.path(), 1, &[]).await;
    control.apply(&note(2, 1, "q")).await;
    let mut entry = Entry::connect(&control, 2).await;
    entry.serve(2).await;
    assert_eq!(entry.versions, [2]);
    control.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_superseded_incarnation_is_rejected() {
    let dir = TempDir::new().unwrap();
    let control = start_with_note(&dir).await;
    let mut entry = Entry::connect(&control, 2).await;
    entry.serve(1).await;
    let mut old = Entry::connect(&control, 1).await;
    assert!(old.receive().await.is_err());
    assert_eq!(old.serving(), None);
    control.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_granted_once_and_later_claims_get_its_outcome() {
    let dir = TempDir::new().unwrap();
    let control = start_with_note(&dir).await;
    let mut entry = Entry::connect(&control, 1).await;
    entry.serve(1).await;
    let request = |sequence| RequestId::new(EntryId::new(1), sequence);
    let issued_s = std::time::UNIX_EPOCH.elapsed().unwrap().as_secs();
    let key = ClaimKey::from_digest([1; 16], issued_s);
    let claim = |sequence| Claim {
        key,
        fingerprint: [1; 16],
        request: request(sequence),
    };
    assert_eq!(
        claim_verdict(&mut entry, 1, claim(1)).await,
        ClaimVerdict::Granted
    );
    assert_eq!(
        claim_verdict(&mut entry, 2, claim(1)).await,
        ClaimVerdict::AlreadyYours
    );
    assert_eq!(
        claim_verdict(&mut entry, 3, claim(2)).await,
        ClaimVerdict::Held { by: request(1) }
    );
    let ended = EndedClaim {
        key,
        request: request(1),
        end: ClaimEnd::Ran,
    };
    entry.send(&EntryToControl::EndedClaims(vec![ended])).await;
    while claim_verdict(&mut entry, 4, claim(2)).await != (ClaimVerdict::Ran { by: request(1) }) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    control.stop().await;
}

/// Sends one claim and returns the verdict on it.
async fn claim_verdict(entry: &mut Entry, sequence: u64, claim: Claim) -> ClaimVerdict {
    let claims = vec![claim];
    entry
        .send(&EntryToControl::Claims { sequence, claims })
        .await;
    loop {
        if let ControlToEntry::Verdicts {
            sequence: decided,
            verdicts,
        } = entry.receive().await.unwrap()
        {
            assert_eq!(decided, sequence);
            assert_matches!(verdicts.as_slice(), [_]);
            return verdicts[0];
        }
    }
}
