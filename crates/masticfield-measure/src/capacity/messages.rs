//! Sizes of encoded messages.

use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::{Action, Generation, HostHealth, Planned, Reason, TaskPhase};
use masticfield_core::ids::Incarnation;
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_core::note::Resources;
use masticfield_core::platform::{LeaseRenewal, TaskReport, WorkerReport};
use masticfield_state::{Command, Envelope};
use masticfield_wire::control::{ControlToEntry, EntryToControl};

use super::{Size, synthetic};
use crate::experiment::ExperimentError;

/// Headers of an HTTP/1.1 request and its response on an open connection, in bytes.
const HTTP_HEADERS: f64 = 250.0;

/// TCP/IPv4 headers of a segment and its acknowledgement, in bytes.
const TCP_HEADERS: f64 = 104.0;

/// Size of one message of each kind in bytes, including transport headers.
///
/// Reports of workers and tasks have no headers of their own: they are part of a poll's response.
#[derive(Debug, Clone, Copy)]
pub(super) struct MessageSizes {
    pub(super) change: f64,
    pub(super) action: f64,
    pub(super) config: f64,
    pub(super) entry_lease: f64,
    pub(super) worker_report: f64,
    pub(super) task_report: f64,
    pub(super) host_leases: f64,
    pub(super) announcement: f64,
    pub(super) poll: f64,
}

impl MessageSizes {
    /// Encodes one message of each kind for an installation of the given size.
    pub(super) fn measure(size: Size, config: &FleetConfig) -> Result<Self, ExperimentError> {
        let change = Command::Note(Box::new(synthetic::change_note(size)));
        let actions = Command::Actions(vec![drain_action()]);
        let renewal = EntryToControl::Renew {
            sequence: 1_000_000,
            version: 100_000,
        };
        let lease = ControlToEntry::Lease {
            sequence: 1_000_000,
            version: 100_000,
            ttl: Duration::from_secs(6),
        };
        let config = ControlToEntry::Config(Box::new(config.clone()));
        let leases = LeaseRenewal {
            hosts: (0..size.workers)
                .map(|index| (format!("host-{index:04}").into(), Generation::new(12)))
                .collect(),
            lease: Duration::from_secs(45),
        };
        Ok(Self {
            change: as_f64(Envelope::new(1_800_000_000_000, change).encode()?.len()) + TCP_HEADERS,
            action: as_f64(Envelope::new(1_800_000_000_000, actions).encode()?.len()) + TCP_HEADERS,
            config: as_f64(postcard::to_stdvec(&config)?.len()) + TCP_HEADERS,
            entry_lease: as_f64(
                postcard::to_stdvec(&renewal)?.len() + postcard::to_stdvec(&lease)?.len(),
            ) + 2.0 * TCP_HEADERS,
            worker_report: as_f64(serde_json::to_vec(&worker_report())?.len()),
            task_report: as_f64(serde_json::to_vec(&task_report())?.len()),
            host_leases: as_f64(serde_json::to_vec(&leases)?.len()) + HTTP_HEADERS,
            announcement: as_f64(serde_json::to_vec(&announcement())?.len()) + HTTP_HEADERS,
            poll: HTTP_HEADERS + 2.0 * TCP_HEADERS,
        })
    }
}

#[expect(clippy::cast_precision_loss, reason = "sizes of messages are small")]
const fn as_f64(len: usize) -> f64 {
    len as f64
}

fn drain_action() -> Planned {
    Planned {
        action: Action::Drain {
            host: "host-0001".into(),
            generation: Generation::new(12),
        },
        reason: Reason::MaintenanceDue {
            programme: "six-weeks".into(),
        },
    }
}

fn worker_report() -> WorkerReport {
    WorkerReport {
        host: "host-0001".into(),
        zone: "zone-1".into(),
        rack: "zone-1-rack-12".into(),
        capacity: Resources::new(32_000, 131_072, 0),
        health: HostHealth::Healthy,
        drained: Some(Generation::new(12)),
        reboots: 12,
    }
}

fn task_report() -> TaskReport {
    TaskReport {
        job: "job-001".into(),
        index: 7,
        attempt: 2,
        host: "host-0001".into(),
        phase: TaskPhase::Running,
        usage: Resources::new(2_000, 4_096, 0),
        running_for: Duration::from_mins(17),
    }
}

fn announcement() -> Announcement {
    Announcement {
        id: "service-of-pool-01-host-0001".into(),
        incarnation: Incarnation::new(1_800_000_000),
        service: "service-of-pool-01".into(),
        address: ([10, 1, 2, 3], 9_000).into(),
        host: "host-0001".into(),
        zone: "zone-1".into(),
        slots: 8,
        connections: 64,
        state: UpstreamState::Serving,
    }
}
