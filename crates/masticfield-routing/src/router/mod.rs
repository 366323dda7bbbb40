//! The decisions of one entry about its callers' requests.
//!
//! A [`Router`] admits requests, chooses upstreams, keeps the queues and the slot leases, and
//! plays the home of some upstreams' slots. Each request that is admitted gets exactly one
//! final answer: from [`Router::admit`], from [`Router::finish`] or as a
//! [`RouterAction`] that ends it.
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
mod exchange;
mod finish;
mod pending;
mod served;
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
use served::Served;
use upstream::Upstream;

/// Which entry a router decides for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterIdentity {
    /// The entry.
    pub entry: EntryId,
    /// Rises with each restart of the entry.
    pub incarnation: Incarnation,
    /// The availability zone of the entry's host.
    pub zone: Arc<str>,
}

/// Decides about the requests of one entry.
#[derive(Debug)]
pub struct Router {
    identity: RouterIdentity,
    options: RouterOptions,
    guards: Guards,
    rng: ChaCha8Rng,
    services: SlotMap<ServiceKey, Served>,
    service_names: HashMap<Arc<str>, ServiceKey>,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    upstream_ids: HashMap<Arc<str>, UpstreamKey>,
    waiters: SlotMap<WaiterKey, Pending>,
    dispatches: SlotMap<DispatchKey, InFlight>,
    /// Requests that pause before a retry, by the end of the pause.
    delayed: BTreeSet<(Duration, WaiterKey)>,
    entries: Vec<EntryId>,
    live: Vec<EntryId>,
    actions: Vec<RouterAction>,
    counters: Counters,
    stopping: bool,
    ticked_at: Duration,
    next_tick: Duration,
}

impl Router {
    /// Creates a router that knows no service, upstream or peer.
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
            actions: Vec::new(),
            counters: Counters::default(),
            stopping: false,
            ticked_at: Duration::ZERO,
            next_tick: Duration::ZERO,
        }
    }

    /// Replaces the guards ; only tests do so.
    #[must_use]
    pub const fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// The counters since the start.
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// When [`tick`](Self::tick) is due next.
    pub const fn next_tick(&self) -> Duration {
        self.next_tick
    }

    /// What the entry has to carry out since the last call.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<RouterAction> {
        std::mem::take(&mut self.actions)
    }

    /// Requests that wait, for all services.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Requests that are in flight, for all services.
    pub fn in_flight(&self) -> usize {
        self.dispatches.len()
    }
}
