//! Services, upstreams and entries known to the router.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation, ServiceKey, UpstreamKey};
use masticfield_core::membership::Announcement;
use masticfield_core::note::ServiceSpec;

use crate::health::Health;
use crate::slots::{Home, HomeOptions, Lease, LeaseOptions, static_share};

use super::Router;
use super::service::Service;
use super::upstream::Upstream;

impl Router {
    /// Replaces the services; requests to services that are not in `specs` are refused.
    pub fn configure<'a>(&mut self, specs: impl IntoIterator<Item = &'a ServiceSpec>) {
        let mut names = std::mem::take(&mut self.service_names);
        for spec in specs {
            let known = names.remove(&spec.name);
            let key = known.unwrap_or_else(|| {
                let service = Service::new(spec.deadline, &self.options);
                self.services.insert(service)
            });
            self.services[key].set_deadline(spec.deadline);
            self.service_names.insert(Arc::clone(&spec.name), key);
        }
        for key in names.into_values() {
            self.shed_all(key);
        }
        self.link_upstreams();
    }

    /// Sets all entries of the installation, and those of them that are live.
    pub fn set_entries(&mut self, now: Duration, entries: &[EntryId], live: &[EntryId]) {
        self.entries = entries.to_vec();
        self.live = live.to_vec();
        for upstream in self.upstreams.values_mut() {
            let announcement = &upstream.announcement;
            upstream.share = static_share(
                &announcement.id,
                announcement.slots,
                self.identity.entry,
                entries,
            );
            upstream.home.set_entries(entries);
        }
        self.follow_homes(now);
    }

    /// Adds an upstream, or updates its state.
    ///
    /// Returns `None` and does nothing if a higher incarnation is known. An upstream that leaves
    /// gets no new work from now on, and cannot return under the same incarnation.
    pub fn upsert_upstream(
        &mut self,
        now: Duration,
        announcement: &Announcement,
    ) -> Option<UpstreamKey> {
        if let Some(key) = self.upstream_ids.get(&announcement.id).copied() {
            let known = &mut self.upstreams[key];
            if announcement.incarnation < known.announcement.incarnation {
                return None;
            }
            if announcement.incarnation == known.announcement.incarnation {
                let leaving = !known.announcement.state.takes_new_work();
                if !leaving {
                    known.announcement.state = announcement.state;
                }
                return Some(key);
            }
            self.remove_key(key);
        }
        if let Some(key) = self.restore(now, announcement) {
            return Some(key);
        }
        Some(self.insert_upstream(now, announcement))
    }

    /// Removes an upstream, unless a higher incarnation is known; its dispatches may finish.
    pub fn remove_upstream(&mut self, id: &str, incarnation: Incarnation) {
        if let Some(key) = self.upstream_ids.get(id).copied()
            && self.upstreams[key].announcement.incarnation <= incarnation
        {
            self.remove_key(key);
        }
    }

    /// Restores a recently removed upstream together with its dispatches in flight.
    fn restore(&mut self, now: Duration, announcement: &Announcement) -> Option<UpstreamKey> {
        let same = |upstream: &Upstream| {
            upstream.announcement.id == announcement.id
                && upstream.announcement.incarnation == announcement.incarnation
        };
        let mut upstreams = self.upstreams.iter();
        let (key, _) = upstreams.find(|(_, upstream)| same(upstream))?;
        let upstream = &mut self.upstreams[key];
        upstream.removed_at = None;
        upstream.next_request = now;
        if upstream.announcement.state.takes_new_work() {
            upstream.announcement.state = announcement.state;
        }
        let service = upstream.service;
        self.upstream_ids.insert(Arc::clone(&announcement.id), key);
        if let Some(service) = service.and_then(|service| self.services.get_mut(service)) {
            service.upstreams.push(key);
        }
        Some(key)
    }

    fn insert_upstream(&mut self, now: Duration, announcement: &Announcement) -> UpstreamKey {
        let service = self.service_names.get(&announcement.service).copied();
        let upstream = Upstream {
            service,
            removed_at: None,
            in_flight: 0,
            share: static_share(
                &announcement.id,
                announcement.slots,
                self.identity.entry,
                &self.entries,
            ),
            lease: self.new_lease(announcement),
            home: self.new_home(announcement, service),
            health: Health::new(),
            full_until: Duration::ZERO,
            requested_at: now,
            requested_demand: 0,
            next_request: now,
            announcement: announcement.clone(),
        };
        let key = self.upstreams.insert(upstream);
        self.upstream_ids.insert(Arc::clone(&announcement.id), key);
        if let Some(service) = service.and_then(|service| self.services.get_mut(service)) {
            service.upstreams.push(key);
        }
        self.follow_homes(now);
        self.next_tick = now;
        key
    }

    fn new_lease(&self, announcement: &Announcement) -> Lease {
        let options = LeaseOptions {
            upstream: Arc::clone(&announcement.id),
            incarnation: announcement.incarnation,
            sender: self.identity.incarnation,
            local: announcement.zone == self.identity.zone,
            vote_ttl: self.options.vote_ttl,
        };
        Lease::new(options, self.guards)
    }

    fn new_home(&self, announcement: &Announcement, service: Option<ServiceKey>) -> Home {
        let options = HomeOptions {
            entry: self.identity.entry,
            upstream: Arc::clone(&announcement.id),
            incarnation: announcement.incarnation,
            ttl: self.options.grant_ttl,
            vote_ttl: self.options.vote_ttl,
        };
        let mut home = Home::new(options, announcement.slots, self.guards);
        home.set_entries(self.entries.as_slice());
        if let Some(service) = service.and_then(|service| self.services.get(service)) {
            home.raise_run_limit(service.run_limit);
        }
        home
    }

    fn remove_key(&mut self, key: UpstreamKey) {
        let upstream = &mut self.upstreams[key];
        upstream.removed_at = Some(self.ticked_at);
        self.upstream_ids.remove(&upstream.announcement.id);
        if let Some(service) = upstream.service.and_then(|s| self.services.get_mut(s)) {
            service.upstreams.retain(|known| *known != key);
        }
    }

    /// Drops the state of removed upstreams once all their grants and requests have ended.
    pub(super) fn drop_removed(&mut self, now: Duration) {
        let services = &self.services;
        let ttl = self.options.grant_ttl + self.options.vote_ttl;
        self.upstreams.retain(|_, upstream| {
            let service = upstream.service.and_then(|service| services.get(service));
            let run_limit = service.map_or(Duration::ZERO, |service| service.run_limit);
            let ended = |at: Duration| now > at + ttl + run_limit && upstream.in_flight == 0;
            !upstream.removed_at.is_some_and(ended)
        });
    }

    /// Assigns all upstreams to services again, after the services have changed.
    fn link_upstreams(&mut self) {
        for service in self.services.values_mut() {
            service.upstreams.clear();
        }
        for (key, upstream) in &mut self.upstreams {
            let service = self
                .service_names
                .get(&upstream.announcement.service)
                .copied();
            upstream.service = service;
            let Some(service) = service.and_then(|s| self.services.get_mut(s)) else {
                continue;
            };
            upstream.home.raise_run_limit(service.run_limit);
            if upstream.removed_at.is_none() {
                service.upstreams.push(key);
            }
        }
    }
}
