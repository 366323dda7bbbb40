//! Exchange of slot messages with other entries.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_core::ids::{EntryId, ServiceKey, UpstreamKey};

use crate::request::RouterAction;
use crate::slots::{
    Grant, GrantOutcome, SlotMessage, SlotPolicy, SlotRequest, StepDown, preferred_home,
};

use super::Router;

/// Minimum interval between two slot requests for the same upstream.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between slot requests while the home has not granted yet.
const PENDING_INTERVAL: Duration = Duration::from_millis(20);
/// Slots held in reserve at an upstream in the entry's own availability zone.
const LOCAL_HEADROOM: u16 = 2;
/// Slots held in reserve at an upstream in another availability zone.
const REMOTE_HEADROOM: u16 = 1;
/// Maximum number of slot requests or grants in one datagram.
const MAX_PER_MESSAGE: usize = 12;

impl Router {
    /// Processes a slot message from another entry.
    pub fn receive(&mut self, now: Duration, from: EntryId, msg: SlotMessage) {
        match msg {
            SlotMessage::Requests(requests) => self.receive_requests(now, from, &requests),
            SlotMessage::Grants(grants) => self.receive_grants(now, from, &grants),
            SlotMessage::SteppedDown(notices) => self.receive_step_downs(now, from, notices),
        }
    }

    /// Follows the preferred homes, and steps down where another entry is preferred.
    pub(super) fn follow_homes(&mut self, now: Duration) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        let mut lost = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            let preferred = preferred_home(&upstream.announcement.id, &self.live);
            let before = upstream.lease.home();
            upstream.lease.follow(now, preferred);
            if upstream.lease.home() != before {
                upstream.next_request = now;
                self.next_tick = now;
            }
            if preferred != Some(self.identity.entry) && upstream.home.is_active(now) {
                lost.push(key);
            }
        }
        for key in lost {
            self.step_down(now, key);
        }
    }

    /// Steps down as home of every upstream, for a graceful stop.
    pub(super) fn step_down_all(&mut self, now: Duration) {
        let own = self.identity.entry;
        self.live.retain(|entry| *entry != own);
        self.follow_homes(now);
    }

    fn step_down(&mut self, now: Duration, key: UpstreamKey) {
        if let Some(notice) = self.upstreams[key].home.step_down(now) {
            for peer in self.live.clone() {
                if peer != self.identity.entry {
                    let msg = SlotMessage::SteppedDown(vec![notice.clone()]);
                    self.actions.push(RouterAction::Send(peer, msg));
                }
            }
            self.receive_step_downs(now, self.identity.entry, vec![notice]);
        }
    }

    fn receive_step_downs(&mut self, now: Duration, from: EntryId, notices: Vec<StepDown>) {
        for notice in notices {
            let Some(key) = self.upstream_ids.get(&notice.upstream).copied() else {
                continue;
            };
            let upstream = &mut self.upstreams[key];
            if upstream.announcement.incarnation == notice.incarnation {
                upstream.lease.release(now, from, &notice);
                upstream.home.accept_handover(notice);
            }
        }
        self.follow_homes(now);
    }

    fn receive_requests(&mut self, now: Duration, from: EntryId, requests: &[SlotRequest]) {
        let mut out: BTreeMap<EntryId, Vec<Grant>> = BTreeMap::new();
        for request in requests {
            for (to, grant) in self.handle_request(now, from, request) {
                out.entry(to).or_default().push(grant);
            }
        }
        for (to, grants) in out {
            self.counters.grants += grants.len() as u64;
            if to == self.identity.entry {
                self.receive_grants(now, to, &grants);
                continue;
            }
            for chunk in grants.chunks(MAX_PER_MESSAGE) {
                let msg = SlotMessage::Grants(chunk.to_vec());
                self.actions.push(RouterAction::Send(to, msg));
            }
        }
    }

    /// The grants that result from a slot request; none if this entry is not the home.
    fn handle_request(
        &mut self,
        now: Duration,
        from: EntryId,
        request: &SlotRequest,
    ) -> Vec<(EntryId, Grant)> {
        let own = Some(self.identity.entry);
        let Some(key) = self.upstream_ids.get(&request.upstream).copied() else {
            return Vec::new();
        };
        let upstream = &mut self.upstreams[key];
        let is_home = preferred_home(&request.upstream, &self.live) == own;
        if upstream.announcement.incarnation != request.incarnation || !is_home {
            return Vec::new();
        }
        upstream.home.handle_request(now, from, request)
    }

    fn receive_grants(&mut self, now: Duration, from: EntryId, grants: &[Grant]) {
        let mut services: Vec<ServiceKey> = Vec::new();
        for grant in grants {
            let Some(key) = self.upstream_ids.get(&grant.upstream).copied() else {
                continue;
            };
            let upstream = &mut self.upstreams[key];
            if upstream.announcement.incarnation != grant.incarnation {
                continue;
            }
            match upstream.lease.apply(now, from, grant) {
                GrantOutcome::Ignored => {}
                GrantOutcome::Pending => {
                    let soon = upstream.requested_at + PENDING_INTERVAL;
                    upstream.next_request = upstream.next_request.min(soon);
                    self.next_tick = self.next_tick.min(upstream.next_request);
                }
                GrantOutcome::Applied => services.extend(upstream.service),
            }
        }
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.dispatch_queued(now, service);
        }
    }

    /// Brings the next slot requests of a service forward where its demand has grown.
    pub(super) fn request_slots_soon(&mut self, now: Duration, service: ServiceKey) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        for key in self.services[service].upstreams.clone() {
            let (demand, _) = self.demand(key);
            if demand > self.upstreams[key].requested_demand {
                self.bring_request_forward(now, key);
            }
        }
    }

    /// Brings the next slot request forward if this entry holds slots that it no longer uses.
    pub(super) fn report_unused_slots(&mut self, now: Duration, key: UpstreamKey) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        let upstream = &self.upstreams[key];
        let lowered = upstream.lease.held(now, upstream.in_flight) < upstream.lease.reported();
        let unused = self.demand(key).0 < upstream.requested_demand;
        if lowered || (unused && upstream.lease.is_scarce()) {
            self.bring_request_forward(now, key);
        }
    }

    fn bring_request_forward(&mut self, now: Duration, key: UpstreamKey) {
        let upstream = &mut self.upstreams[key];
        let soon = now.max(upstream.requested_at + MIN_REQUEST_INTERVAL);
        upstream.next_request = upstream.next_request.min(soon);
        self.next_tick = self.next_tick.min(upstream.next_request);
    }

    /// When the next slot request is due; `None` without upstreams or leases.
    pub(super) fn next_request(&self) -> Option<Duration> {
        if self.options.policy != SlotPolicy::Leased {
            return None;
        }
        self.upstreams.values().map(|u| u.next_request).min()
    }

    /// Sends the slot requests that are due, batched by home.
    pub(super) fn send_due_requests(&mut self, now: Duration) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        self.follow_homes(now);
        let mut out: BTreeMap<EntryId, Vec<SlotRequest>> = BTreeMap::new();
        let due = self.upstreams.iter().filter(|(_, u)| u.next_request <= now);
        for key in due.map(|(key, _)| key).collect::<Vec<_>>() {
            let (demand, headroom) = self.demand(key);
            let upstream = &mut self.upstreams[key];
            upstream.requested_at = now;
            upstream.requested_demand = demand;
            upstream.next_request = now + self.options.grant_refresh_interval;
            let request = upstream
                .lease
                .request(now, upstream.in_flight, demand, headroom);
            if let Some((home, request)) = request {
                out.entry(home).or_default().push(request);
            }
        }
        for (home, requests) in out {
            self.counters.slot_requests += requests.len() as u64;
            if home == self.identity.entry {
                self.receive_requests(now, home, &requests);
                continue;
            }
            for chunk in requests.chunks(MAX_PER_MESSAGE) {
                let msg = SlotMessage::Requests(chunk.to_vec());
                self.actions.push(RouterAction::Send(home, msg));
            }
        }
    }

    /// Slots that this entry has work for at an upstream, and the headroom beyond them.
    fn demand(&self, key: UpstreamKey) -> (u16, u16) {
        let upstream = &self.upstreams[key];
        let service = upstream.service.and_then(|s| self.services.get(s));
        let Some(service) = service.filter(|_| upstream.takes_new_work() && !self.stopping) else {
            return (0, 0);
        };
        let cap = upstream.health.cap(upstream.announcement.slots);
        let waiting = service.queue.len().div_ceil(service.upstreams.len().max(1));
        let waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
        let demand = if cap == 0 {
            0
        } else {
            upstream.in_flight.saturating_add(waiting)
        };
        let headroom = if upstream.announcement.zone == self.identity.zone {
            LOCAL_HEADROOM
        } else {
            REMOTE_HEADROOM
        };
        (demand, (upstream.in_flight + headroom).min(cap))
    }
}
