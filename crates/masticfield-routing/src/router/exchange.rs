//! Exchange of slot messages with other entries.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_core::ids::{EntryId, ServiceKey, UpstreamKey};

use crate::request::RouterAction;
use crate::slots::{
    Accepted, Grant, Resignation, SlotMessage, SlotPolicy, SlotWish, preferred_home,
};

use super::Router;

/// Shortest interval between two wishes for the same upstream.
const MIN_WISH_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between wishes while the home has not granted yet.
const GREETED_INTERVAL: Duration = Duration::from_millis(20);
/// Slots that an entry would like ahead of demand in its own availability zone.
const AHEAD_LOCAL: u16 = 2;
/// Slots that an entry would like ahead of demand in another availability zone.
const AHEAD_REMOTE: u16 = 1;
/// Wishes or grants in one datagram.
const MAX_PER_MESSAGE: usize = 12;

impl Router {
    /// Takes a message about slots from another entry.
    pub fn receive(&mut self, now: Duration, from: EntryId, msg: SlotMessage) {
        match msg {
            SlotMessage::Wishes(wishes) => self.take_wishes(now, from, &wishes),
            SlotMessage::Grants(grants) => self.take_grants(now, from, &grants),
            SlotMessage::Resigned(resigned) => self.take_resigned(now, from, resigned),
        }
    }

    /// Follows the preferred homes, and gives up roles that are now another entry's.
    pub(super) fn follow_homes(&mut self, now: Duration) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        let mut lost = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            let preferred = preferred_home(&upstream.news.id, &self.live);
            let before = upstream.lease.home();
            upstream.lease.follow(now, preferred);
            if upstream.lease.home() != before {
                upstream.next_wish = now;
                self.next_tick = now;
            }
            if preferred != Some(self.identity.entry) && upstream.home.is_in_office(now) {
                lost.push(key);
            }
        }
        for key in lost {
            self.resign(now, key);
        }
    }

    /// Gives up all home roles, for a graceful stop.
    pub(super) fn resign_homes(&mut self, now: Duration) {
        let me = self.identity.entry;
        self.live.retain(|entry| *entry != me);
        self.follow_homes(now);
    }

    fn resign(&mut self, now: Duration, key: UpstreamKey) {
        if let Some(resigned) = self.upstreams[key].home.resign(now) {
            for peer in self.live.clone() {
                if peer != self.identity.entry {
                    let msg = SlotMessage::Resigned(vec![resigned.clone()]);
                    self.actions.push(RouterAction::Send(peer, msg));
                }
            }
            self.take_resigned(now, self.identity.entry, vec![resigned]);
        }
    }

    fn take_resigned(&mut self, now: Duration, from: EntryId, resigned: Vec<Resignation>) {
        for notice in resigned {
            let Some(key) = self.upstream_ids.get(&notice.upstream).copied() else {
                continue;
            };
            let upstream = &mut self.upstreams[key];
            if upstream.news.incarnation == notice.incarnation {
                upstream.lease.release(now, from, &notice);
                upstream.home.take_over(notice);
            }
        }
        self.follow_homes(now);
    }

    fn take_wishes(&mut self, now: Duration, from: EntryId, wishes: &[SlotWish]) {
        let mut out: BTreeMap<EntryId, Vec<Grant>> = BTreeMap::new();
        for wish in wishes {
            for (to, grant) in self.answer(now, from, wish) {
                out.entry(to).or_default().push(grant);
            }
        }
        for (to, grants) in out {
            self.counters.grants += grants.len() as u64;
            if to == self.identity.entry {
                self.take_grants(now, to, &grants);
                continue;
            }
            for part in grants.chunks(MAX_PER_MESSAGE) {
                let msg = SlotMessage::Grants(part.to_vec());
                self.actions.push(RouterAction::Send(to, msg));
            }
        }
    }

    /// The grants that follow from a wish, if this entry is the home.
    fn answer(&mut self, now: Duration, from: EntryId, wish: &SlotWish) -> Vec<(EntryId, Grant)> {
        let me = Some(self.identity.entry);
        let Some(key) = self.upstream_ids.get(&wish.upstream).copied() else {
            return Vec::new();
        };
        let upstream = &mut self.upstreams[key];
        let is_home = preferred_home(&wish.upstream, &self.live) == me;
        if upstream.news.incarnation != wish.incarnation || !is_home {
            return Vec::new();
        }
        upstream.home.wish(now, from, wish)
    }

    fn take_grants(&mut self, now: Duration, from: EntryId, grants: &[Grant]) {
        let mut services: Vec<ServiceKey> = Vec::new();
        for grant in grants {
            let Some(key) = self.upstream_ids.get(&grant.upstream).copied() else {
                continue;
            };
            let upstream = &mut self.upstreams[key];
            if upstream.news.incarnation != grant.incarnation {
                continue;
            }
            match upstream.lease.accept(now, from, grant) {
                Accepted::Ignored => {}
                Accepted::Greeted => {
                    let soon = upstream.wished_at + GREETED_INTERVAL;
                    upstream.next_wish = upstream.next_wish.min(soon);
                    self.next_tick = self.next_tick.min(upstream.next_wish);
                }
                Accepted::TakenOver => services.extend(upstream.service),
            }
        }
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.pump(now, service);
        }
    }

    /// Has the homes hear soon that requests wait.
    pub(super) fn wish_soon(&mut self, now: Duration, service: ServiceKey) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        for key in self.services[service].upstreams.clone() {
            let (need, _) = self.demand(key);
            if need > self.upstreams[key].wished_need {
                self.change(now, key);
            }
        }
    }

    /// Has the home hear soon of slots that this entry no longer uses.
    pub(super) fn report_release(&mut self, now: Duration, key: UpstreamKey) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        let upstream = &self.upstreams[key];
        let lowered = upstream.lease.holding(now, upstream.in_flight) < upstream.lease.reported();
        let unused = self.demand(key).0 < upstream.wished_need;
        if lowered || (unused && upstream.lease.is_scarce()) {
            self.change(now, key);
        }
    }

    fn change(&mut self, now: Duration, key: UpstreamKey) {
        let upstream = &mut self.upstreams[key];
        let soon = now.max(upstream.wished_at + MIN_WISH_INTERVAL);
        upstream.next_wish = upstream.next_wish.min(soon);
        self.next_tick = self.next_tick.min(upstream.next_wish);
    }

    /// When the next wish is due.
    pub(super) fn next_wish(&self) -> Option<Duration> {
        if self.options.policy != SlotPolicy::Leased {
            return None;
        }
        self.upstreams.values().map(|u| u.next_wish).min()
    }

    /// Sends the wishes that are due, one message for each home.
    pub(super) fn send_due_wishes(&mut self, now: Duration) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        self.follow_homes(now);
        let mut out: BTreeMap<EntryId, Vec<SlotWish>> = BTreeMap::new();
        let due = self.upstreams.iter().filter(|(_, u)| u.next_wish <= now);
        for key in due.map(|(key, _)| key).collect::<Vec<_>>() {
            let (need, ahead) = self.demand(key);
            let upstream = &mut self.upstreams[key];
            upstream.wished_at = now;
            upstream.wished_need = need;
            upstream.next_wish = now + self.options.grant_refresh;
            let wish = upstream.lease.wish(now, upstream.in_flight, need, ahead);
            if let Some((home, wish)) = wish {
                out.entry(home).or_default().push(wish);
            }
        }
        for (home, wishes) in out {
            self.counters.slot_requests += wishes.len() as u64;
            if home == self.identity.entry {
                self.take_wishes(now, home, &wishes);
                continue;
            }
            for part in wishes.chunks(MAX_PER_MESSAGE) {
                let msg = SlotMessage::Wishes(part.to_vec());
                self.actions.push(RouterAction::Send(home, msg));
            }
        }
    }

    /// Slots that this entry has work for at an upstream, and those it would like beyond.
    fn demand(&self, key: UpstreamKey) -> (u16, u16) {
        let upstream = &self.upstreams[key];
        let served = upstream.service.and_then(|s| self.services.get(s));
        let Some(served) = served.filter(|_| upstream.takes_new_work() && !self.stopping) else {
            return (0, 0);
        };
        let cap = upstream.health.cap(upstream.news.slots);
        let waiting = served.queue.len().div_ceil(served.upstreams.len().max(1));
        let waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
        let need = if cap == 0 {
            0
        } else {
            upstream.in_flight.saturating_add(waiting)
        };
        let least = if upstream.news.zone == self.identity.zone {
            AHEAD_LOCAL
        } else {
            AHEAD_REMOTE
        };
        (need, (upstream.in_flight + least).min(cap))
    }
}
