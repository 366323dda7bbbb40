//! Load, network delays and faults of one simulation.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_core::note::ServiceSpec;

use crate::fleet_name::FleetName;

/// Number of entries that share the executors.
const ENTRIES: u16 = 8;
/// Time at which the first requests arrive, from the start of the entries.
const FIRST_ARRIVALS: Duration = Duration::from_secs(2);
/// Time at which the first surge starts, from the start of the entries.
const FIRST_SURGE: Duration = Duration::from_secs(6);
/// Length of each surge.
const SURGE_LENGTH: Duration = Duration::from_secs(8);
/// Time between the end of a surge and the start of the next.
const QUIET_LENGTH: Duration = Duration::from_secs(4);
/// Mean request rate of a service, as a share of the rate that its executors can run.
const MEAN_LOAD: f64 = 0.4;
/// Request rate in a surge, as a multiple of the mean rate.
const SURGE_FACTOR: f64 = 5.0;
/// Request rate outside the surge, as a multiple of the mean rate.
const QUIET_FACTOR: f64 = 0.05;
/// Mean time that an executor takes to run a request.
const MEAN_RUN_TIME: Duration = Duration::from_millis(100);
/// Time from the start of a surge until one upstream of the service starts to leave.
const LEAVING_OFFSET: Duration = Duration::from_secs(6);
/// One-way network delay within an availability zone.
const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// Load, network delays and faults of one simulation.
///
/// All times count from the start of the entries.
#[derive(Debug, Clone)]
pub struct Scenario {
    fleet: FleetName,
    seed: u64,
    zones: u16,
    services: Vec<ServiceSpec>,
    faults: bool,
}

impl Scenario {
    /// Creates the scenario of a fleet, without faults.
    pub fn new(fleet: FleetName, seed: u64) -> Self {
        let zones = match fleet {
            FleetName::Vitoria => 4,
            FleetName::Vulpescu => 3,
        };
        Self {
            fleet,
            seed,
            zones,
            services: fleet.config().services().values().cloned().collect(),
            faults: false,
        }
    }

    /// Adds the failure of an entry and of an availability zone of upstreams.
    #[must_use]
    pub const fn with_faults(mut self) -> Self {
        self.faults = true;
        self
    }

    /// Number of entries.
    pub const fn entries(&self) -> u16 {
        ENTRIES
    }

    /// Seed of the random number generators.
    pub const fn seed(&self) -> u64 {
        self.seed
    }

    /// Services of the fleet, in the order of their surges.
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// Mean time that an executor takes to run a request.
    pub const fn mean_run_time(&self) -> Duration {
        MEAN_RUN_TIME
    }

    /// Announcements of all executors; the index of an executor is its port minus 10,000.
    pub fn upstreams(&self) -> Vec<Announcement> {
        let mut upstreams = Vec::new();
        for spec in &self.services {
            for number in 0..spec.executors {
                upstreams.push(self.upstream(spec, number, upstreams.len()));
            }
        }
        upstreams
    }

    fn upstream(&self, spec: &ServiceSpec, number: u32, index: usize) -> Announcement {
        let port = 10_000 + u16::try_from(index).unwrap_or(0);
        Announcement {
            id: format!("{}-{number}", spec.name).into(),
            incarnation: Incarnation::new(1),
            service: Arc::clone(&spec.name),
            address: ([127, 0, 0, 1], port).into(),
            host: format!("host-{index}").into(),
            zone: format!("zone-{}", index % usize::from(self.zones)).into(),
            slots: spec.slots,
            connections: spec.connections,
            state: UpstreamState::Serving,
        }
    }

    /// Availability zone of an entry.
    pub fn entry_zone(&self, entry: EntryId) -> String {
        format!("zone-{}", entry.number() % self.zones)
    }

    /// One-way network delay between two availability zones, or within one.
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        if from == to {
            LOCAL_DELAY
        } else {
            Duration::from_secs_f64(self.fleet.zone_delay_ms() / 1_000.0)
        }
    }

    /// Round trip between an entry and an executor in the same availability zone.
    pub const fn direct_round_trip(&self) -> Duration {
        LOCAL_DELAY.saturating_mul(2)
    }

    /// Start and end of the surge of a service.
    pub fn surge(&self, service: usize) -> (Duration, Duration) {
        let position = u32::try_from(service).unwrap_or(0);
        let start = FIRST_SURGE + (SURGE_LENGTH + QUIET_LENGTH) * position;
        (start, start + SURGE_LENGTH)
    }

    /// Service whose surge `now` lies in.
    pub fn surging(&self, now: Duration) -> Option<usize> {
        let within = |service: &usize| {
            let (start, end) = self.surge(*service);
            (start..end).contains(&now)
        };
        (0..self.services.len()).find(within)
    }

    /// Time at which the first requests arrive.
    pub const fn first_arrivals_at(&self) -> Duration {
        FIRST_ARRIVALS
    }

    /// Time from which no more requests arrive.
    pub fn arrivals_end_at(&self) -> Duration {
        self.surge(self.services.len()).0
    }

    /// Request rate of a service at `now`, per second.
    pub fn rate(&self, service: usize, now: Duration) -> f64 {
        let slots = f64::from(self.services[service].capacity());
        let mean = MEAN_LOAD * slots / MEAN_RUN_TIME.as_secs_f64();
        if self.surging(now) == Some(service) {
            mean * SURGE_FACTOR
        } else {
            mean * QUIET_FACTOR
        }
    }

    /// Time of the entry failure and the entry that fails; `None` without faults.
    pub fn entry_failure(&self) -> Option<(Duration, EntryId)> {
        let time = self.surge(0).0 + Duration::from_secs(2);
        self.faults.then_some((time, EntryId::new(2)))
    }

    /// Time of the zone failure and the availability zone that fails; `None` without faults.
    pub fn zone_failure(&self) -> Option<(Duration, &'static str)> {
        let time = self.surge(0).0 + Duration::from_secs(4);
        self.faults.then_some((time, "zone-1"))
    }

    /// Time at which the first upstream of a service starts to leave.
    pub fn first_upstream_leaves_at(&self, service: usize) -> Duration {
        self.surge(service).0 + LEAVING_OFFSET
    }
}
