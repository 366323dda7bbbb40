//! Upstreams and their slots.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use masticfield_core::ids::Incarnation;
use masticfield_core::membership::{Announcement, MembershipEvent};
use masticfield_core::outcome::NotRunReason;
use xtra::prelude::*;

/// Chooses an executor for each request.
#[derive(Debug, Actor)]
pub(crate) struct RouterActor {
    upstreams: HashMap<Arc<str>, KnownUpstream>,
}

#[derive(Debug)]
struct KnownUpstream {
    announcement: Announcement,
    in_flight: u16,
}

/// The membership changed.
#[derive(Debug)]
pub(crate) struct Learn(pub MembershipEvent);

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
    pub(crate) fn new() -> Self {
        Self {
            upstreams: HashMap::new(),
        }
    }

    /// Takes the latest announcement of an upstream; its requests in flight stay counted.
    fn learn(&mut self, announcement: Announcement) {
        let known = self.upstreams.get(&announcement.id);
        let in_flight = known
            .filter(|known| known.announcement.incarnation == announcement.incarnation)
            .map_or(0, |known| known.in_flight);
        let upstream = KnownUpstream {
            announcement,
            in_flight,
        };
        let id = Arc::clone(&upstream.announcement.id);
        self.upstreams.insert(id, upstream);
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

impl Handler<Learn> for RouterActor {
    type Return = ();

    async fn handle(&mut self, message: Learn, _ctx: &mut Context<Self>) {
        match message.0 {
            MembershipEvent::Upstream(announcement) => self.learn(announcement),
            MembershipEvent::UpstreamExpired(id, incarnation) => {
                self.upstreams.retain(|known, upstream| {
                    *known != id || upstream.announcement.incarnation > incarnation
                });
            }
            MembershipEvent::EntryUp(_)
            | MembershipEvent::EntryLeft(..)
            | MembershipEvent::EntrySuspected(..) => {}
        }
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
