//! Routing of one entry's requests.
//!
//! A [`Router`] admits requests, chooses upstreams, keeps the queues and the slot leases, and
//! acts as home for the slots of some upstreams. Each request that is not cancelled gets exactly
//! one final answer: from [`Router::admit`], from [`Router::finish`] or from
//! [`RouterAction::Done`].
//!
//! Times are durations since the start of the entry process.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::ids::{EntryId, Incarnation};
//! use masticfield_routing::options::RouterOptions;
//! use masticfield_routing::router::{Router, RouterIdentity};
//!
//! let identity = RouterIdentity {
//!     entry: EntryId::new(1),
//!     incarnation: Incarnation::new(1),
//!     zone: "zone-a".into(),
//! };
//! let mut router = Router::new(identity, RouterOptions::default(), 7);
//! router.set_entries(Duration::ZERO, &[EntryId::new(1)], &[EntryId::new(1)]);
//! router.tick(Duration::ZERO);
//! assert_eq!(router.take_actions(), []);
//! ```

mod admit;
mod dispatch;
mod finish;
mod pending;
mod service;
mod slot_exchange;
mod slot_requests;
mod table;
mod tick;
mod upstream;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation, ServiceKey, UpstreamKey, WaiterKey};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use slotmap::SlotMap;

use crate::counters::Counters;
use crate::guards::Guards;
use crate::options::RouterOptions;
use crate::request::{DispatchKey, RouterAction};

use pending::{InFlight, Pending};
use service::Service;
use upstream::Upstream;

/// The entry that a router belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterIdentity {
    /// Number of the entry, unique in the installation.
    pub entry: EntryId,
    /// Incarnation of the entry, which rises with each restart.
    pub incarnation: Incarnation,
    /// Availability zone of the entry's host, which requests prefer by default.
    pub zone: Arc<str>,
}

/// Admits the requests of one entry and assigns them to upstreams.
#[derive(Debug)]
pub struct Router {
    identity: RouterIdentity,
    options: RouterOptions,
    guards: Guards,
    rng: ChaCha8Rng,
    services: SlotMap<ServiceKey, Service>,
    service_names: HashMap<Arc<str>, ServiceKey>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    upstream_ids: HashMap<Arc<str>, UpstreamKey>,
    waiters: SlotMap<WaiterKey, Pending>,
    dispatches: SlotMap<DispatchKey, InFlight>,
    /// Requests that pause before a retry, ordered by the end of the pause.
    delayed: BTreeSet<(Duration, WaiterKey)>,
    /// All entries of the installation.
    entries: Vec<EntryId>,
    /// The entries that are live, this one included until it stops.
    live: Vec<EntryId>,
    /// Sequence number of the latest slot requests; those sent together have the same.
    request_seq: u64,
    actions: Vec<RouterAction>,
    counters: Counters,
    stopping: bool,
    ticked_at: Duration,
    next_tick: Duration,
}

impl Router {
    /// Creates a router without services, upstreams and peers.
    ///
    /// `seed` determines every random choice of the router.
    pub fn new(identity: RouterIdentity, options: RouterOptions, seed: u64) -> Self {
        Self {
            identity,
            options,
            guards: Guards::ALL,
            rng: ChaCha8Rng::seed_from_u64(seed),
            services: SlotMap::with_key(),
            service_names: HashMap::new(),
            upstreams: SlotMap::with_key(),
            upstream_ids: HashMap::new(),
            waiters: SlotMap::with_key(),
            dispatches: SlotMap::with_key(),
            delayed: BTreeSet::new(),
            entries: Vec::new(),
            live: Vec::new(),
            request_seq: 0,
            actions: Vec::new(),
            counters: Counters::default(),
            stopping: false,
            ticked_at: Duration::ZERO,
            next_tick: Duration::ZERO,
        }
    }

    /// Replaces the guards, for tests that must detect a missing one.
    #[must_use]
    pub const fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Counters of the decisions since the router was created.
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Time at which [`tick`](Self::tick) is due next.
    pub const fn next_tick(&self) -> Duration {
        self.next_tick
    }

    /// Takes the actions that were decided since the last call, for the entry to carry out.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<RouterAction> {
        std::mem::take(&mut self.actions)
    }

    /// Number of requests that wait for a slot or a retry, over all services.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Number of dispatches in flight, over all services.
    pub fn in_flight(&self) -> usize {
        self.dispatches.len()
    }
}
