//! The story: four notes, a maintenance wave over all hosts, and failures of each kind.

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

/// What one urgent task needs.
const URGENT_TASK: Resources = Resources::new(2_000, 4_096, 0);

/// What one task of a cancelled job needs.
const CANCELLED_TASK: Resources = Resources::new(1_000, 1_024, 0);

/// Time left of the period of six weeks, within which every host is to be maintained.
const QUIET_PERIOD: Duration = Duration::from_hours(40 * 24);

/// Jobs that are cancelled in one wave.
const CANCELLED_JOBS: u32 = 8;

/// Plays the story and returns the figures.
pub(super) fn run(
    args: ExperimentArgs,
    variant: PlannerVariant,
) -> Result<Report, ExperimentError> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut simulation = Simulation::new(variant);
    let first = args.fleet.release_note();
    misdeclare_jobs(&mut simulation, &first, &mut rng);
    simulation.apply(&first)?;
    simulation.run(Duration::from_mins(30));
    lose_rack(&mut simulation, &mut rng);
    simulation.run(Duration::from_hours(1));
    simulation.apply(&resize_note(&first))?;
    simulation.report.moves_lower_bound += 1;
    simulation.run(Duration::from_hours(1));
    flap_hosts(&mut simulation, &mut rng);
    simulation.run(Duration::from_hours(1));
    let note = withdrawal_note(&simulation, &first);
    simulation.add_loss_bound(&note.withdrawn.hosts, false);
    simulation.apply(&note)?;
    simulation.run(Duration::from_hours(2));
    break_host(&mut simulation, &mut rng);
    lose_zone(&mut simulation);
    simulation.run(Duration::from_hours(2));
    let note = new_pool_note(&simulation, &first);
    simulation.apply(&note)?;
    simulation.report.moves_lower_bound += 2;
    simulation.report.moves_lower_bound += bounds::min_cover_hosts(simulation.control.config());
    simulation.run(Duration::from_hours(2));
    simulation.run_quiet(QUIET_PERIOD);
    Ok(simulation.finish())
}

/// Makes what tasks really need differ from what is declared, from half to twice.
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

fn lose_zone(simulation: &mut Simulation) {
    let first = simulation.control.config().hosts().values().next();
    let zone = first.map(|host| Arc::clone(&host.zone));
    let lost = hosts_where(simulation, |host_zone, _| {
        zone.as_deref() == Some(host_zone)
    });
    simulation.lose(&lost);
    simulation.run(Duration::from_mins(30));
    simulation.repair(&lost);
}

/// Two hosts that fail and come back again and again.
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

fn break_host(simulation: &mut Simulation, rng: &mut ChaCha8Rng) {
    let hosts = host_names(simulation);
    let host = &hosts[rng.random_range(0..hosts.len())];
    simulation.platform.fail_all_tasks(host, true);
}

/// One pool needs one host less and another one more; urgent work and more jobs come.
fn resize_note(first: &ReleaseNote) -> ReleaseNote {
    let mut note = urgent_note(2, first);
    let pools: Vec<_> = first
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
    let jobs = names.map(|name| job_like(first, &name, 8, CANCELLED_TASK, JobPriority::Batch));
    note.added.jobs.extend(jobs);
    note
}

/// Two hosts and the jobs of a wave are withdrawn; urgent work comes.
fn withdrawal_note(simulation: &Simulation, first: &ReleaseNote) -> ReleaseNote {
    let mut note = urgent_note(3, first);
    note.withdrawn.hosts = host_names(simulation).into_iter().rev().take(2).collect();
    note.withdrawn.jobs = (0..CANCELLED_JOBS)
        .map(|index| cancelled_job(index).into())
        .collect();
    note
}

/// A new pool takes two hosts that another one needs no more; urgent work comes.
fn new_pool_note(simulation: &Simulation, first: &ReleaseNote) -> ReleaseNote {
    let mut note = urgent_note(4, first);
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

fn urgent_note(number: u64, first: &ReleaseNote) -> ReleaseNote {
    let mut note = ReleaseNote {
        number,
        builds_on: number - 1,
        ..ReleaseNote::default()
    };
    let name = format!("urgent-{number}");
    let urgent = job_like(first, &name, 8, URGENT_TASK, JobPriority::Urgent);
    note.added.jobs.push(urgent);
    note
}

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
