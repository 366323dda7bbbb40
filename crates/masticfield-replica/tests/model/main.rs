//! Model checking of elections and the log, with crashes, lost disks and rejoining replicas.
//!
//! A breadth-first search runs the real [`Replica::step`] through every order of events within
//! its bounds and checks the invariants in each state. With a guard of the protocol left out, it
//! finds a counterexample.
//!
//! [`Replica::step`]: masticfield_replica::consensus::Replica::step

mod in_flight;
mod search;
mod start;
mod world;

use masticfield_replica::consensus::Defect;
use rstest::rstest;

use search::search;
use world::{Budget, World};

/// Maximum number of states that one search visits.
const MAX_STATES: usize = if cfg!(debug_assertions) {
    8_000
} else {
    400_000
};

/// Only the third replica starts elections.
const ONLY_THIRD: [bool; 3] = [false, false, true];

/// A group whose first replica has been elected.
fn elected(defect: Option<Defect>) -> World {
    World::new(defect).with_leader(0)
}

#[rstest]
#[case::elections("elections", World::new(None), Budget { terms: 3, crashes: 1, ..Budget::NONE })]
#[case::commits("commits", elected(None), Budget { terms: 3, crashes: 1, proposals: 1, ..Budget::NONE })]
#[case::lost_disk("lost disk", elected(None), Budget { terms: 3, lost_disks: 1, proposals: 1, ..Budget::NONE })]
#[case::rejoin("rejoin", elected(None).without_disk(2), Budget { terms: 3, changes: 3, ..Budget::NONE })]
#[case::earlier_terms("earlier terms", World::diverged(None).with_leader_elected_by(0, 1), Budget { terms: 5, ..Budget::NONE })]
#[case::commits_third(
    "commits, third stands",
    elected(None),
    Budget { candidates: ONLY_THIRD, terms: 3, crashes: 1, proposals: 1, ..Budget::NONE }
)]
#[case::lost_disk_third(
    "lost disk, third stands",
    elected(None),
    Budget { candidates: ONLY_THIRD, terms: 3, lost_disks: 1, proposals: 1, ..Budget::NONE }
)]
#[case::earlier_terms_third(
    "earlier terms, third stands",
    World::diverged(None).with_leader_elected_by(0, 1),
    Budget { candidates: ONLY_THIRD, terms: 5, ..Budget::NONE }
)]
fn invariants_hold(#[case] name: &str, #[case] world: World, #[case] budget: Budget) {
    let result = search(name, &world.with_budget(budget), MAX_STATES);
    assert!(
        result.counterexample.is_none(),
        "{:#?}",
        result.counterexample
    );
    assert!(result.states > 500);
}

#[rstest]
#[case::vote_before_sync(
    World::new(Some(Defect::VoteBeforeSync)),
    Budget { terms: 2, crashes: 1, ..Budget::NONE }
)]
#[case::acknowledge_before_sync(
    elected(Some(Defect::AcknowledgeBeforeSync)),
    Budget { candidates: ONLY_THIRD, terms: 3, crashes: 1, proposals: 1, ..Budget::NONE }
)]
#[case::vote_for_shorter_log(
    elected(Some(Defect::VoteForShorterLog)),
    Budget { candidates: ONLY_THIRD, terms: 3, proposals: 1, ..Budget::NONE }
)]
#[case::identity_reused_after_a_lost_disk(
    elected(None).with_reused_identity(),
    Budget { candidates: ONLY_THIRD, terms: 3, lost_disks: 1, proposals: 1, ..Budget::NONE }
)]
#[case::commit_earlier_terms(
    World::diverged(Some(Defect::CommitEarlierTerms)).with_leader_elected_by(0, 1),
    Budget { candidates: ONLY_THIRD, terms: 5, ..Budget::NONE }
)]
fn missing_guard_is_found(#[case] world: World, #[case] budget: Budget) {
    let result = search("missing guard", &world.with_budget(budget), 4 * MAX_STATES);
    let counterexample = result
        .counterexample
        .expect("the search finds a counterexample without the guard");
    println!("{counterexample:#?}");
}
