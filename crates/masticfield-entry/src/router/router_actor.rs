//! Upstreams and their slots.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::Incarnation;
use masticfield_core::membership::Announcement;
use masticfield_core::outcome::NotRunReason;
use xtra::prelude::*;

/// Chooses an executor for each request.
#[derive(Debug, Actor)]
pub(crate) struct RouterActor {
    ttl: Duration,
    upstreams: HashMap<Arc<str>, KnownUpstream>,
}

#[derive(Debug)]
struct KnownUpstream {
    announcement: Announcement,
    heard_at: Instant,
    in_flight: u16,
}

/// An upstream announced itself.
#[derive(Debug)]
pub(crate) struct Announce(pub Announcement);

/// Asks for a slot of a service.
#[derive(Debug)]
pub(crate) struct Admit {
    /// Name of the service.
    pub service: Arc<str>,
    /// Availability zone that is preferred.
    pub zone: Arc<str>,
}

/// Returns a slot.
#[derive(Debug)]
pub(crate) struct Finish(pub Slot);

/// Forgets upstreams whose time to live has run out.
#[derive(Debug)]
pub(crate) struct Sweep(pub Instant);

/// The answer to [`Admit`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The request may be sent.
    Run(Slot),
    /// The request is refused.
    Refuse(NotRunReason),
}

/// A slot at an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Slot {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
}

impl RouterActor {
    /// Creates a router that knows no upstream.
    pub(crate) fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            upstreams: HashMap::new(),
        }
    }

    fn admit(&mut self, service: &str, zone: &str) -> Admission {
        let serving = self.upstreams.values_mut().filter(|upstream| {
            &*upstream.announcement.service == service
                && upstream.announcement.state.takes_new_work()
        });
        let mut serving = serving.peekable();
        if serving.peek().is_none() {
            return Admission::Refuse(NotRunReason::NoUpstream);
        }
        let free = serving.filter(|upstream| upstream.in_flight < upstream.announcement.slots);
        let best =
            free.min_by_key(|upstream| (&*upstream.announcement.zone != zone, upstream.in_flight));
        match best {
            Some(upstream) => {
                upstream.in_flight += 1;
                Admission::Run(Slot {
                    upstream: Arc::clone(&upstream.announcement.id),
                    incarnation: upstream.announcement.incarnation,
                    address: upstream.announcement.address,
                })
            }
            None => Admission::Refuse(NotRunReason::Overloaded),
        }
    }
}

impl Handler<Announce> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: Announce, _ctx: &mut Context<Self>) {
        let announcement = message.0;
        let known = self.upstreams.get(&announcement.id);
        let known = known.map(|known| (known.announcement.incarnation, known.in_flight));
        let in_flight = match known {
            Some((incarnation, _)) if incarnation > announcement.incarnation => return,
            Some((incarnation, in_flight)) if incarnation == announcement.incarnation => in_flight,
            _ => 0,
        };
        let id = Arc::clone(&announcement.id);
        let upstream = KnownUpstream {
            announcement,
            heard_at: Instant::now(),
            in_flight,
        };
        self.upstreams.insert(id, upstream);
    }
}

impl Handler<Admit> for RouterActor {
    type Return = Admission;

    async fn handle(&mut self, message: Admit, _ctx: &mut Context<Self>) -> Admission {
        self.admit(&message.service, &message.zone)
    }
}

impl Handler<Finish> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: Finish, _ctx: &mut Context<Self>) {
        let slot = message.0;
        if let Some(upstream) = self.upstreams.get_mut(&slot.upstream)
            && upstream.announcement.incarnation == slot.incarnation
        {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }
}

impl Handler<Sweep> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: Sweep, _ctx: &mut Context<Self>) {
        let (now, ttl) = (message.0, self.ttl);
        self.upstreams
            .retain(|_, upstream| now.duration_since(upstream.heard_at) < ttl);
    }
}
