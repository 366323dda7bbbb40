//! The story: four notes, a maintenance wave over all hosts, and failures of each kind.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::note::{JobPriority, JobSpec, PoolSpec, ReleaseNote, Resources};
use masticfield_fake::platform::JobTruth;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::play::Play;
use super::tally::Tally;
use super::{Contender, bounds};
use crate::experiment::{ExperimentArgs, ExperimentError};

/// What one urgent task needs.
const URGENT: Resources = Resources::new(2_000, 4_096, 0);

/// What one task of a cancelled job needs.
const CANCELLED: Resources = Resources::new(1_000, 1_024, 0);

/// Time left of the period of six weeks, within which every host is to be maintained.
const QUIET: Duration = Duration::from_hours(40 * 24);

/// Jobs that are cancelled in one wave.
const CANCELLED_JOBS: u32 = 8;

/// Plays the story and returns the figures.
pub(super) fn run(args: ExperimentArgs, contender: Contender) -> Result<Tally, ExperimentError> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut play = Play::new(contender);
    let first = args.fleet.note();
    wrong_sizes(&mut play, &first, &mut rng);
    play.apply(&first)?;
    play.run(Duration::from_mins(30));
    rack_lost(&mut play, &mut rng);
    play.run(Duration::from_hours(1));
    play.apply(&second(&first))?;
    play.tally.moves_lower_bound += 1;
    play.run(Duration::from_hours(1));
    flapping(&mut play, &mut rng);
    play.run(Duration::from_hours(1));
    let note = third(&play, &first);
    play.bound_loss(&note.withdrawn.hosts, false);
    play.apply(&note)?;
    play.run(Duration::from_hours(2));
    fails_everything(&mut play, &mut rng);
    zone_lost(&mut play);
    play.run(Duration::from_hours(2));
    let note = fourth(&play, &first);
    play.apply(&note)?;
    play.tally.moves_lower_bound += 2;
    play.tally.moves_lower_bound += bounds::covers(play.control.config());
    play.run(Duration::from_hours(2));
    play.run_quiet(QUIET);
    Ok(play.finish())
}

/// Makes what tasks really need differ from what is declared, from half to twice.
fn wrong_sizes(play: &mut Play, note: &ReleaseNote, rng: &mut ChaCha8Rng) {
    for job in &note.added.jobs {
        let factor: u32 = rng.random_range(50..200);
        let scale = |value: u32| value * factor / 100;
        let usage = Resources::new(scale(job.size.millicores), scale(job.size.memory_mb), 0);
        let percent: u32 = rng.random_range(50..200);
        let truth = JobTruth {
            usage,
            run_time: job.run_time.map(|time| time * percent / 100),
            fails: false,
        };
        play.platform.set_truth(Arc::clone(&job.name), truth);
    }
}

fn host_names(play: &Play) -> Vec<Arc<str>> {
    play.control.config().hosts().keys().cloned().collect()
}

fn hosts_where(play: &Play, test: impl Fn(&str, &str) -> bool) -> Vec<Arc<str>> {
    let hosts = play.control.config().hosts().values();
    let inside = hosts.filter(|host| test(&host.zone, &host.rack));
    inside.map(|host| Arc::clone(&host.name)).collect()
}

fn rack_lost(play: &mut Play, rng: &mut ChaCha8Rng) {
    let mut hosts: Vec<_> = play.control.config().hosts().values().cloned().collect();
    hosts.shuffle(rng);
    let rack = Arc::clone(&hosts[0].rack);
    let lost = hosts_where(play, |_, it| *it == *rack);
    play.lose(&lost);
    play.run(Duration::from_mins(30));
    play.repair(&lost);
}

fn zone_lost(play: &mut Play) {
    let first = play.control.config().hosts().values().next();
    let zone = first.map(|host| Arc::clone(&host.zone));
    let lost = hosts_where(play, |it, _| zone.as_deref() == Some(it));
    play.lose(&lost);
    play.run(Duration::from_mins(30));
    play.repair(&lost);
}

/// Two hosts that fail and come back again and again.
fn flapping(play: &mut Play, rng: &mut ChaCha8Rng) {
    let mut hosts = host_names(play);
    hosts.shuffle(rng);
    hosts.truncate(2);
    play.lose(&hosts);
    for _ in 0..20 {
        play.run(Duration::from_secs(90));
        play.repair(&hosts);
        play.run(Duration::from_secs(20));
        for host in &hosts {
            play.platform.fail(host);
        }
    }
    play.repair(&hosts);
}

fn fails_everything(play: &mut Play, rng: &mut ChaCha8Rng) {
    let hosts = host_names(play);
    let host = &hosts[rng.random_range(0..hosts.len())];
    play.platform.fail_everything(host, true);
}

/// One pool needs one host less and another one more; urgent work and more jobs come.
fn second(first: &ReleaseNote) -> ReleaseNote {
    let mut note = next(2, first);
    let pools: Vec<_> = first.added.pools.iter().filter(|it| !it.spare).collect();
    let hosts = [pools[0].hosts - 1, pools[1].hosts + 1];
    let changed = pools.into_iter().zip(hosts).map(|(pool, hosts)| PoolSpec {
        hosts,
        ..pool.clone()
    });
    note.changed.pools.extend(changed);
    let names = (0..CANCELLED_JOBS).map(cancelled);
    let jobs = names.map(|name| job(first, &name, 8, CANCELLED, JobPriority::Batch));
    note.added.jobs.extend(jobs);
    note
}

/// Two hosts and the jobs of a wave are withdrawn; urgent work comes.
fn third(play: &Play, first: &ReleaseNote) -> ReleaseNote {
    let mut note = next(3, first);
    note.withdrawn.hosts = host_names(play).into_iter().rev().take(2).collect();
    note.withdrawn.jobs = (0..CANCELLED_JOBS).map(|it| cancelled(it).into()).collect();
    note
}

/// A new pool takes two hosts that another one needs no more; urgent work comes.
fn fourth(play: &Play, first: &ReleaseNote) -> ReleaseNote {
    let mut note = next(4, first);
    let mut pools = play.control.config().pools().values();
    if let Some(donor) = pools.find(|it| !it.spare && it.hosts > 9) {
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

fn cancelled(index: u32) -> String {
    format!("cancelled-{index}")
}

fn next(number: u64, first: &ReleaseNote) -> ReleaseNote {
    let mut note = ReleaseNote {
        number,
        builds_on: number - 1,
        ..ReleaseNote::default()
    };
    let name = format!("urgent-{number}");
    let urgent = job(first, &name, 8, URGENT, JobPriority::Urgent);
    note.added.jobs.push(urgent);
    note
}

fn job(
    like: &ReleaseNote,
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
        ..like.added.jobs[0].clone()
    }
}
