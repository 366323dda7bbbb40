//! Scenario of four release notes, a maintenance wave over all hosts, and host failures.
//!
//! The failures are a lost rack, two flapping hosts, a host that fails every task, and a lost
//! availability zone.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::note::{JobPriority, JobSpec, PoolSpec, ReleaseNote, Resources};
use masticfield_fake::platform::JobProfile;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::report::Report;
use super::simulation::Simulation;
use super::{PlannerVariant, bounds};
use crate::experiment::{ExperimentArgs, ExperimentError};

/// Resources of one urgent task.
const URGENT_TASK: Resources = Resources::new(2_000, 4_096, 0);

/// Resources of one task of the jobs that are later cancelled.
const CANCELLED_TASK: Resources = Resources::new(1_000, 1_024, 0);

/// Rest of the maintenance period of six weeks, within which every host is to be maintained.
const QUIET_PERIOD: Duration = Duration::from_hours(40 * 24);

/// Number of jobs that one release note cancels.
const CANCELLED_JOBS: u32 = 8;

/// Runs the scenario for one planner variant and returns the results.
pub(super) fn run(
    args: ExperimentArgs,
    variant: PlannerVariant,
) -> Result<Report, ExperimentError> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut simulation = Simulation::new(variant);
    let first_note = args.fleet.release_note();
    misdeclare_jobs(&mut simulation, &first_note, &mut rng);
    simulation.apply(&first_note)?;
    simulation.run(Duration::from_mins(30));
    lose_rack(&mut simulation, &mut rng);
    simulation.run(Duration::from_hours(1));
    simulation.apply(&resize_note(&first_note))?;
    simulation.report.moves_lower_bound += 1;
    simulation.run(Duration::from_hours(1));
    flap_hosts(&mut simulation, &mut rng);
    simulation.run(Duration::from_hours(1));
    let note = withdrawal_note(&simulation, &first_note);
    simulation.add_loss_bound(&note.withdrawn.hosts, false);
    simulation.apply(&note)?;
    simulation.run(Duration::from_hours(2));
    break_host(&mut simulation, &mut rng);
    lose_zone(&mut simulation);
    simulation.run(Duration::from_hours(2));
    let note = new_pool_note(&simulation, &first_note);
    simulation.apply(&note)?;
    simulation.report.moves_lower_bound += 2;
    simulation.report.moves_lower_bound += bounds::min_cover_hosts(simulation.control.config());
    simulation.run(Duration::from_hours(2));
    simulation.run_quiet(QUIET_PERIOD);
    Ok(simulation.finish())
}

/// Makes the actual resource usage and run time of tasks 0.5 to 2 times the declared values.
fn misdeclare_jobs(simulation: &mut Simulation, note: &ReleaseNote, rng: &mut ChaCha8Rng) {
    for job in &note.added.jobs {
        let factor: u32 = rng.random_range(50..200);
        let scale = |value: u32| value * factor / 100;
        let usage = Resources::new(scale(job.size.millicores), scale(job.size.memory_mb), 0);
        let percent: u32 = rng.random_range(50..200);
        let profile = JobProfile {
            usage,
            run_time: job.run_time.map(|time| time * percent / 100),
            fails: false,
        };
        simulation
            .platform
            .set_job_profile(Arc::clone(&job.name), profile);
    }
}

fn host_names(simulation: &Simulation) -> Vec<Arc<str>> {
    simulation
        .control
        .config()
        .hosts()
        .keys()
        .cloned()
        .collect()
}

fn hosts_where(simulation: &Simulation, matches: impl Fn(&str, &str) -> bool) -> Vec<Arc<str>> {
    let hosts = simulation.control.config().hosts().values();
    let matching = hosts.filter(|host| matches(&host.zone, &host.rack));
    matching.map(|host| Arc::clone(&host.name)).collect()
}

/// Fails the rack of a random host for half an hour.
fn lose_rack(simulation: &mut Simulation, rng: &mut ChaCha8Rng) {
    let mut hosts: Vec<_> = simulation
        .control
        .config()
        .hosts()
        .values()
        .cloned()
        .collect();
    hosts.shuffle(rng);
    let rack = Arc::clone(&hosts[0].rack);
    let lost = hosts_where(simulation, |_, host_rack| *host_rack == *rack);
    simulation.lose(&lost);
    simulation.run(Duration::from_mins(30));
    simulation.repair(&lost);
}

/// Fails the availability zone of the first host for half an hour.
fn lose_zone(simulation: &mut Simulation) {
    let first_host = simulation.control.config().hosts().values().next();
    let zone = first_host.map(|host| Arc::clone(&host.zone));
    let lost = hosts_where(simulation, |host_zone, _| {
        zone.as_deref() == Some(host_zone)
    });
    simulation.lose(&lost);
    simulation.run(Duration::from_mins(30));
    simulation.repair(&lost);
}

/// Fails and repairs two hosts repeatedly.
fn flap_hosts(simulation: &mut Simulation, rng: &mut ChaCha8Rng) {
    let mut hosts = host_names(simulation);
    hosts.shuffle(rng);
    hosts.truncate(2);
    simulation.lose(&hosts);
    for _ in 0..20 {
        simulation.run(Duration::from_secs(90));
        simulation.repair(&hosts);
        simulation.run(Duration::from_secs(20));
        for host in &hosts {
            simulation.platform.fail(host);
        }
    }
    simulation.repair(&hosts);
}

/// Makes every task on one random host fail.
fn break_host(simulation: &mut Simulation, rng: &mut ChaCha8Rng) {
    let hosts = host_names(simulation);
    let host = &hosts[rng.random_range(0..hosts.len())];
    simulation.platform.fail_all_tasks(host, true);
}

/// Release note 2: moves a host from one pool to another, and adds an urgent job and batch jobs.
fn resize_note(first_note: &ReleaseNote) -> ReleaseNote {
    let mut note = urgent_note(2, first_note);
    let pools: Vec<_> = first_note
        .added
        .pools
        .iter()
        .filter(|pool| !pool.spare)
        .collect();
    let hosts = [pools[0].hosts - 1, pools[1].hosts + 1];
    let changed = pools.into_iter().zip(hosts).map(|(pool, hosts)| PoolSpec {
        hosts,
        ..pool.clone()
    });
    note.changed.pools.extend(changed);
    let names = (0..CANCELLED_JOBS).map(cancelled_job);
    let jobs = names.map(|name| job_like(first_note, &name, 8, CANCELLED_TASK, JobPriority::Batch));
    note.added.jobs.extend(jobs);
    note
}

/// Release note 3: withdraws two hosts and the batch jobs of note 2, and adds an urgent job.
fn withdrawal_note(simulation: &Simulation, first_note: &ReleaseNote) -> ReleaseNote {
    let mut note = urgent_note(3, first_note);
    note.withdrawn.hosts = host_names(simulation).into_iter().rev().take(2).collect();
    note.withdrawn.jobs = (0..CANCELLED_JOBS)
        .map(|index| cancelled_job(index).into())
        .collect();
    note
}

/// Release note 4: moves two hosts of a pool to a new pool, and adds an urgent job.
fn new_pool_note(simulation: &Simulation, first_note: &ReleaseNote) -> ReleaseNote {
    let mut note = urgent_note(4, first_note);
    let mut pools = simulation.control.config().pools().values();
    if let Some(donor) = pools.find(|pool| !pool.spare && pool.hosts > 9) {
        note.changed.pools.push(PoolSpec {
            hosts: donor.hosts - 2,
            ..donor.clone()
        });
        note.added.pools.push(PoolSpec {
            name: "new-pool".into(),
            hosts: 2,
            ..donor.clone()
        });
    }
    note
}

fn cancelled_job(index: u32) -> String {
    format!("cancelled-{index}")
}

/// Release note with an urgent job.
fn urgent_note(number: u64, first_note: &ReleaseNote) -> ReleaseNote {
    let mut note = ReleaseNote {
        number,
        builds_on: number - 1,
        ..ReleaseNote::default()
    };
    let name = format!("urgent-{number}");
    let urgent = job_like(first_note, &name, 8, URGENT_TASK, JobPriority::Urgent);
    note.added.jobs.push(urgent);
    note
}

/// Job that copies its other settings from the first job of `template`.
fn job_like(
    template: &ReleaseNote,
    name: &str,
    tasks: u32,
    size: Resources,
    priority: JobPriority,
) -> JobSpec {
    JobSpec {
        name: name.into(),
        tasks,
        size,
        run_time: Some(Duration::from_mins(5)),
        priority,
        ..template.added.jobs[0].clone()
    }
}
