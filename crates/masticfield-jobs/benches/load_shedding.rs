//! Decisions of load shedding with 2,000 waiting jobs on the capacity of 2,312 executors.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use masticfield_jobs::job::JobId;
use masticfield_jobs::schedule::{PoolCapacity, WaitingJob, admit_new, shed_order, value};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn jobs(count: u64) -> Vec<WaitingJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let jobs = (0..count).map(|id| {
        let work = rng.random_range(5.0..60.0);
        let time_left = rng.random_range(-1.0..2.5);
        WaitingJob {
            id: JobId::new(id),
            in_share: rng.random_bool(0.7),
            start_tag: rng.random_range(0.0..10.0),
            priority: rng.random_range(0..2),
            time_left: Some(time_left),
            useful_left: time_left + 5.0,
            path: rng.random_range(0.5..1.3),
            work,
            value: value(work, 30.0, 0),
        }
    });
    jobs.collect()
}

fn bench(c: &mut Criterion) {
    let jobs = jobs(2_000);
    let new = WaitingJob {
        id: JobId::new(9_999),
        time_left: Some(2.0),
        ..jobs[0]
    };
    // An eighth of the executors is free for the pool in question; the pool is overloaded.
    let capacity = PoolCapacity {
        cores: 2_312.0 * 24.0 / 8.0,
        incoming: 1_000.0,
    };
    c.bench_function("shed_order, 2000 waiting jobs", |b| {
        b.iter(|| shed_order(black_box(&jobs), &capacity));
    });
    c.bench_function("admit_new, 2000 waiting jobs", |b| {
        b.iter(|| admit_new(black_box(&new), black_box(&jobs), &capacity, 0.0));
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
