//! Synthetic fleets of any size.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::note::{
    Declared, HostSpec, JobPriority, JobSpec, MaintenanceSpec, PoolSpec, Promise, ReleaseNote,
    Resources, ServiceSpec, TeamSpec,
};
use serde::Serialize;

/// Availability zones of a synthetic fleet, over all regions.
const ZONES: u32 = 10;

/// Hosts in a rack.
const HOSTS_PER_RACK: u32 = 4;

/// Jobs in each pool.
const JOBS_PER_POOL: u32 = 4;

/// Dimensions of an installation that determine its cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Hosts of the platform, each with one worker.
    pub workers: u32,
    /// Pools of hosts, including the spare pool.
    pub pools: u32,
    /// Release notes applied per day.
    pub changes_a_day: u32,
    /// Hosts that run an entry.
    pub entries: u32,
    /// Regions over which the availability zones are distributed.
    pub regions: u32,
}

impl Size {
    /// Size that the system has to support within two years.
    pub const fn target() -> Self {
        Self {
            workers: 2_300,
            pools: 44,
            changes_a_day: 2_700,
            entries: 7,
            regions: 4,
        }
    }
}

/// Release note that declares a fleet of the given size.
pub fn release_note(size: Size) -> ReleaseNote {
    let spare_hosts = (size.workers / 20).max(1);
    let hosts_per_pool = (size.workers - spare_hosts) / size.pools.max(2);
    let pools: Vec<_> = (0..size.pools)
        .map(|index| pool(index, hosts_per_pool, spare_hosts))
        .collect();
    let added = Declared {
        hosts: (0..size.workers)
            .map(|index| host(index, size.regions))
            .collect(),
        services: pools.iter().map(service).collect(),
        teams: (0..40).map(team).collect(),
        jobs: (0..size.pools * JOBS_PER_POOL)
            .map(|index| job(index, size.pools))
            .collect(),
        maintenance: vec![MaintenanceSpec {
            name: "six-weeks".into(),
            pools: Vec::new(),
            period: Duration::from_hours(42 * 24),
            batch: 8,
            expected_outage: Duration::from_mins(10),
        }],
        pools,
    };
    ReleaseNote {
        number: 1,
        added,
        ..ReleaseNote::default()
    }
}

/// Release note that changes the number of hosts of one pool.
pub fn change_note(size: Size) -> ReleaseNote {
    let hosts_per_pool = size.workers / size.pools.max(1);
    let mut note = ReleaseNote {
        number: 2,
        builds_on: 1,
        summary: "one more host for a pool".into(),
        ..ReleaseNote::default()
    };
    note.changed.pools.push(pool(1, hosts_per_pool, 1));
    note
}

fn host(index: u32, regions: u32) -> HostSpec {
    let zone = index % ZONES;
    let rack = index / ZONES / HOSTS_PER_RACK;
    HostSpec {
        name: format!("host-{index:04}").into(),
        region: format!("region-{}", zone % regions).into(),
        zone: format!("zone-{zone}").into(),
        rack: format!("zone-{zone}-rack-{rack}").into(),
        cores: 32,
        memory_gb: 128,
        accelerators: 0,
    }
}

fn pool(index: u32, hosts_per_pool: u32, spare_hosts: u32) -> PoolSpec {
    PoolSpec {
        name: format!("pool-{index:02}").into(),
        hosts: if index == 0 {
            spare_hosts
        } else {
            hosts_per_pool
        },
        spare: index == 0,
        region: None,
    }
}

fn service(pool: &PoolSpec) -> ServiceSpec {
    ServiceSpec {
        name: format!("service-of-{}", pool.name).into(),
        pool: Arc::clone(&pool.name),
        executors: pool.hosts,
        slots: 8,
        connections: 64,
        deadline: Duration::from_secs(5),
        max_body_bytes: 1024 * 1024,
        promise: if pool.spare {
            Promise {
                availability: 0.99,
                ..Promise::default()
            }
        } else {
            Promise::default()
        },
    }
}

fn team(index: u32) -> TeamSpec {
    TeamSpec {
        name: format!("team-{index:02}").into(),
        cores: 400,
        memory_gb: 1_600,
        accelerators: 0,
    }
}

fn job(index: u32, pools: u32) -> JobSpec {
    JobSpec {
        name: format!("job-{index:03}").into(),
        pool: format!("pool-{:02}", index % pools).into(),
        team: format!("team-{:02}", index % 40).into(),
        size: Resources::new(2_000, 4_096, 0),
        tasks: 12,
        run_time: Some(Duration::from_hours(1)),
        priority: JobPriority::Normal,
    }
}
