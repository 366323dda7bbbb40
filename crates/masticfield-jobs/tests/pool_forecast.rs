//! Expectation of surges, the limit of requests to the platform, and the restored offered load.

use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::schedule::{OrderWindow, SurgePattern};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Interval of the leader's checks, in milliseconds.
const CHECK_MS: u64 = 100;

/// Core-seconds of a job.
const WORK: f64 = 10.0;

/// Number of seeds of each load.
const SEEDS: u64 = 40;

/// Surges of one pool: begin and end of each, in milliseconds.
type Surges = Vec<(u64, u64)>;

/// What the pattern expected of one run.
#[derive(Debug, Default)]
struct Outcome {
    /// Surges that began while they were expected, 0.8 s early or late at most.
    expected: u32,
    surges: u32,
    /// Expectations whose time passed without a surge.
    wrong: u32,
}

/// Returns the surges of pools that take turns: 4.5 s each in a cycle of 18 s.
fn turns(pools: u64, cycles: u64) -> Vec<Surges> {
    let surges = |pool| {
        let begins = (0..cycles).map(move |cycle| 1_000 + cycle * 18_000 + pool * 4_500);
        begins.map(|begin| (begin, begin + 4_500)).collect()
    };
    (0..pools).map(surges).collect()
}

fn random(rng: &mut ChaCha8Rng, pools: u64, length_ms: u64) -> Vec<Surges> {
    let mut surges = || {
        let mut surges = Surges::new();
        let mut begin = rng.random_range(1_000..14_000);
        while begin < length_ms {
            let end = begin + rng.random_range(2_000..6_000);
            surges.push((begin, end));
            begin = end + rng.random_range(4_000..24_000);
        }
        surges
    };
    (0..pools).map(|_| surges()).collect()
}

/// Plays Poisson arrivals of `rate` jobs per second in a surge, and of an 80th of it otherwise.
fn play(rng: &mut ChaCha8Rng, pools: &[Surges], rate: f64, length_ms: u64) -> Outcome {
    let names: Vec<Arc<str>> = (0..pools.len())
        .map(|pool| format!("p{pool}").into())
        .collect();
    let mut pattern = SurgePattern::default();
    let mut outcome = Outcome::default();
    let mut pending: Vec<Option<Duration>> = vec![None; pools.len()];
    for ms in 0..length_ms {
        let now = Duration::from_millis(ms);
        for (pool, surges) in pools.iter().enumerate() {
            let surging = surges
                .iter()
                .any(|(begin, end)| (*begin..*end).contains(&ms));
            let share = if surging { 1.0 } else { 1.0 / 80.0 };
            if rng.random_bool((rate * share / 1_000.0).min(1.0)) {
                pattern.add(now, &names[pool], WORK);
            }
        }
        if ms % CHECK_MS != 0 {
            continue;
        }
        pattern.observe(now);
        for (pool, surges) in pools.iter().enumerate() {
            let begun = surges
                .iter()
                .any(|(begin, _)| *begin / CHECK_MS == ms / CHECK_MS);
            if begun {
                outcome.surges += 1;
                let is_near = |at: Duration| at.abs_diff(now) <= Duration::from_millis(800);
                outcome.expected += u32::from(pending[pool].is_some_and(is_near));
                pending[pool] = None;
            }
            let begins = pattern
                .expected(&names[pool])
                .map(|expected| expected.begins);
            let passed = pending[pool].is_some_and(|at| now > at + Duration::from_millis(900));
            if passed {
                // A surge that began a little before its time is noticed after its begin.
                let came = surges.iter().any(|(begin, _)| {
                    let start = Duration::from_millis(*begin);
                    pending[pool].is_some_and(|at| at.abs_diff(start) <= Duration::from_millis(800))
                });
                outcome.wrong += u32::from(!came);
                pending[pool] = None;
            } else if begins.is_some_and(|at| now < at) {
                pending[pool] = begins;
            }
        }
    }
    outcome
}

/// Pools that take turns are known after one cycle, a pool alone after three surges.
#[rstest]
#[case::large_pools(4, 130.0, 4)]
#[case::small_pools(4, 25.0, 4)]
#[case::one_pool(1, 130.0, 3)]
fn recurring_surges_are_expected(#[case] pools: u64, #[case] rate: f64, #[case] learning: u32) {
    let (mut expected, mut surges, mut wrong) = (0, 0, 0);
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let outcome = play(&mut rng, &turns(pools, 4), rate, 72_000);
        expected += outcome.expected;
        surges += outcome.surges - learning;
        wrong += outcome.wrong;
    }
    let figures = format!("{expected} of {surges} expected, {wrong} wrong");
    println!("{pools} pools at {rate}: {figures}");
    assert!(expected * 10 >= surges * 7, "{figures}");
    assert!(wrong * 10 <= surges, "{figures}");
}

/// Hosts that are moved for a surge that does not come are moved back for nothing.
#[rstest]
#[case::large_pools(130.0)]
#[case::small_pools(25.0)]
fn random_surges_are_hardly_ever_expected(#[case] rate: f64) {
    let (mut surges, mut wrong) = (0, 0);
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pools = random(&mut rng, 4, 72_000);
        let outcome = play(&mut rng, &pools, rate, 72_000);
        surges += outcome.surges;
        wrong += outcome.wrong;
    }
    println!("random at {rate}: {wrong} wrong of {surges} surges");
    assert!(wrong * 10 <= surges, "{wrong} wrong of {surges} surges");
}

#[test]
fn a_single_surge_is_not_expected_again() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let outcome = play(&mut rng, &[vec![(5_000, 9_500)]], 130.0, 72_000);
    assert_eq!((outcome.expected, outcome.wrong), (0, 0));
}

/// Early release relies on this: far fewer jobs than chance allows.
#[rstest]
#[case::large_pool(130, true)]
#[case::few_jobs(4, false)]
fn the_end_of_a_surge_is_noticed_as_far_as_chance_allows(#[case] rate: u64, #[case] noticed: bool) {
    let (mut pattern, pool) = (SurgePattern::default(), Arc::from("p"));
    for job in 0..rate * 4 {
        pattern.add(Duration::from_millis(job * 1_000 / rate), &pool, WORK);
    }
    assert!(!pattern.has_fallen("p", Duration::from_secs(4)));
    assert_eq!(
        pattern.has_fallen("p", Duration::from_millis(4_600)),
        noticed
    );
}

/// The platform answers more requests in a second with 429, wherever its second begins.
#[test]
fn no_second_has_more_requests_than_the_platform_accepts() {
    let mut window = OrderWindow::default();
    let mut sent = Vec::new();
    for ms in (0..5_000).step_by(20) {
        let now = Duration::from_millis(ms);
        for _ in 0..window.available(now, 64) {
            window.record(now);
            sent.push(ms);
        }
    }
    assert_eq!(
        sent.iter().filter(|ms| **ms == 0).count(),
        64,
        "a burst at first"
    );
    for begin in 0..4_000 {
        let count = sent
            .iter()
            .filter(|ms| (begin..begin + 1_000).contains(*ms));
        assert!(count.count() <= 64, "in the second from {begin} ms");
    }
}
