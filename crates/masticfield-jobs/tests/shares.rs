//! Weighted fair shares of workspaces.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_jobs::schedule::FairShares;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Number of seeds in CI; `MASTICFIELD_SEEDS` overrides it.
const SEEDS: u64 = 12;

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("MASTICFIELD_SEEDS").ok();
    0..count.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

fn shares(weights: &[f64]) -> FairShares<usize> {
    let mut shares = FairShares::default();
    shares.set_members(weights.iter().copied().enumerate());
    shares
}

/// Submits a job each `every` milliseconds; returns how many are within the share.
fn jobs_in_share(weight: f64, every: u64, duration: u64) -> usize {
    let mut shares = shares(&[weight]);
    let times = (0..duration).step_by(usize::try_from(every).unwrap());
    let in_share = times.filter(|ms| {
        let now = Duration::from_millis(*ms);
        let in_share = shares.is_in_share(now, 0);
        shares.accept(now, 0, in_share, 1.0);
        in_share
    });
    in_share.count()
}

/// The entitlement is to `weight` jobs per second in 5 s, whatever is sent beyond it.
#[rstest]
#[case::below_the_rate(2.0, 600, 30_000, 50)]
#[case::at_eight_times_the_rate(2.0, 62, 30_000, 60)]
#[case::one_job_in_twenty_seconds(0.05, 100, 60_000, 3)]
#[case::no_entitlement(0.0, 100, 10_000, 0)]
fn the_rate_of_the_weight_is_in_share(
    #[case] weight: f64,
    #[case] every: u64,
    #[case] duration: u64,
    #[case] expected: usize,
) {
    assert_eq!(jobs_in_share(weight, every, duration), expected);
}

/// A job of an unknown workspace must not take part of anybody's share.
#[test]
fn a_stranger_has_no_share() {
    assert!(!shares(&[1.0]).is_in_share(Duration::from_secs(1), 7));
}

/// Between two workspaces that always have jobs waiting, the difference of the served work per
/// weight is bounded by their largest jobs: a small workspace waits for no more than that.
#[test]
fn served_work_per_weight_differs_by_at_most_the_largest_jobs() {
    const LARGEST: f64 = 10.0;
    for seed in seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weights: Vec<f64> = (0..6).map(|_| rng.random_range(0.2..20.0)).collect();
        let mut shares = shares(&weights);
        let now = Duration::from_secs(1);
        // The next job of each workspace; there is always one.
        let mut next: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        let mut served = vec![0.0; weights.len()];
        for _ in 0..3_000 {
            for key in 0..weights.len() {
                next.entry(key).or_insert_with(|| {
                    let work = rng.random_range(0.1..LARGEST);
                    (shares.accept(now, key, false, work), work)
                });
            }
            let first = next.iter().min_by(|a, b| a.1.0.total_cmp(&b.1.0));
            let (key, (tag, work)) = first.map(|(key, job)| (*key, *job)).unwrap();
            next.remove(&key);
            shares.serve(now, key, tag);
            served[key] += work / weights[key];
            for (a, weight_a) in weights.iter().enumerate() {
                for (b, weight_b) in weights.iter().enumerate() {
                    let bound = LARGEST / weight_a + LARGEST / weight_b;
                    let difference = served[a] - served[b];
                    assert!(difference <= bound, "seed {seed}: {difference} > {bound}");
                }
            }
        }
    }
}

/// A workspace that was idle must not be owed for that time, or it would starve the others.
#[test]
fn idle_time_is_not_saved_up() {
    let mut shares = shares(&[1.0, 1.0]);
    let now = Duration::from_secs(1);
    for _ in 0..10 {
        let tag = shares.accept(now, 0, false, 1.0);
        shares.serve(now, 0, tag);
    }
    let tags: Vec<_> = (0..3).map(|_| shares.accept(now, 1, false, 1.0)).collect();
    assert_eq!(tags, [9.0, 10.0, 11.0]);
}

#[rstest]
#[case::equal(&[1, 1, 1, 1], 1.0)]
#[case::one_alone(&[1, 0, 0, 0], 0.25)]
#[case::two_of_four(&[1, 1, 0, 0], 0.5)]
fn the_fairness_index_compares_the_served_parts(#[case] served: &[u32], #[case] expected: f64) {
    let mut shares = shares(&vec![1.0; served.len()]);
    let now = Duration::from_secs(1);
    for (key, served) in served.iter().enumerate() {
        shares.record_offered(now, key);
        let tag = shares.accept(now, key, true, 1.0);
        if *served > 0 {
            shares.serve(now, key, tag);
        }
    }
    assert!((shares.fairness_index() - expected).abs() < 1e-9);
}
