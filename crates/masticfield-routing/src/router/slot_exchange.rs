//! Exchange of slot messages with other entries.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_core::ids::{EntryId, ServiceKey, UpstreamKey};

use crate::request::RouterAction;
use crate::slots::{
    Grant, GrantOutcome, Renewal, Renewed, SlotMessage, SlotPolicy, SlotRequest, StepDown,
    preferred_home,
};

use super::Router;

/// Interval between slot requests while the home has not granted yet.
const PENDING_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of slot requests or grants in one datagram.
pub(super) const MAX_PER_MESSAGE: usize = 12;

impl Router {
    /// Processes a slot message from another entry.
    pub fn receive(&mut self, now: Duration, from: EntryId, msg: SlotMessage) {
        match msg {
            SlotMessage::Requests(requests) => self.receive_requests(now, from, &requests),
            SlotMessage::Grants(grants) => self.receive_grants(now, from, &grants),
            SlotMessage::SteppedDown(notices) => self.receive_step_downs(now, from, notices),
            SlotMessage::Renewal(renewal) => self.receive_renewal(now, from, &renewal),
            SlotMessage::Renewed(renewed) => self.receive_renewed(now, from, &renewed),
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

    pub(super) fn receive_requests(
        &mut self,
        now: Duration,
        from: EntryId,
        requests: &[SlotRequest],
    ) {
        let mut out: BTreeMap<EntryId, Vec<Grant>> = BTreeMap::new();
        for request in requests {
            for (to, grant) in self.handle_request(now, from, request) {
                out.entry(to).or_default().push(grant);
            }
        }
        self.send_grants(now, out);
    }

    /// Extends the grants that a renewal repeats the requests for, and sends those that change.
    fn receive_renewal(&mut self, now: Duration, from: EntryId, renewal: &Renewal) {
        let Some(repeated) = self.repeated(from, renewal) else {
            return;
        };
        let mut out: BTreeMap<EntryId, Vec<Grant>> = BTreeMap::new();
        let mut in_terms = true;
        for key in repeated {
            let home = &mut self.upstreams[key].home;
            for (to, grant) in home.handle_renewal(now, from, renewal) {
                in_terms &= to != from || grant.number > 0;
                out.entry(to).or_default().push(grant);
            }
        }
        if in_terms {
            self.counters.grants += 1;
            let renewed = SlotMessage::Renewed(Renewed {
                receiver: renewal.sender,
                request_seq: renewal.seq,
                timestamp: now,
            });
            self.actions.push(RouterAction::Send(from, renewed));
        }
        self.send_grants(now, out);
    }

    /// The upstreams of a renewal; `None` unless this entry is their home and knows all requests.
    fn repeated(&self, from: EntryId, renewal: &Renewal) -> Option<Vec<UpstreamKey>> {
        let mut keys = Vec::new();
        let mut left = renewal.bases.clone();
        for (id, key) in &self.upstream_ids {
            let Some(seq) = self.upstreams[*key].home.repeated_base(from, renewal) else {
                continue;
            };
            if preferred_home(id, &self.live) != Some(self.identity.entry) {
                return None;
            }
            let base = left.iter_mut().find(|base| base.seq == seq)?;
            base.count = base.count.checked_sub(1)?;
            keys.push(*key);
        }
        // The order of a hash table differs between runs.
        keys.sort_unstable();
        left.iter().all(|base| base.count == 0).then_some(keys)
    }

    fn receive_renewed(&mut self, now: Duration, from: EntryId, renewed: &Renewed) {
        let mut services: Vec<ServiceKey> = Vec::new();
        for upstream in self.upstreams.values_mut() {
            if upstream.lease.extend(now, from, renewed) == GrantOutcome::Applied {
                services.extend(upstream.service);
            }
        }
        self.dispatch_queued_of(now, services);
    }

    fn send_grants(&mut self, now: Duration, grants: BTreeMap<EntryId, Vec<Grant>>) {
        for (to, grants) in grants {
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
        self.dispatch_queued_of(now, services);
    }

    fn dispatch_queued_of(&mut self, now: Duration, mut services: Vec<ServiceKey>) {
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.dispatch_queued(now, service);
        }
    }
}
