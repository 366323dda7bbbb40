//! Services, upstreams and entries that the router knows.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation, ServiceKey, UpstreamKey};
use masticfield_core::membership::Announcement;
use masticfield_core::note::ServiceSpec;

use crate::health::Health;
use crate::slots::{Home, HomeOptions, Lease, LeaseOptions, static_share};

use super::Router;
use super::served::Served;
use super::upstream::Upstream;

impl Router {
    /// Takes over the services of a configuration; the others are no longer admitted.
    pub fn configure<'a>(&mut self, specs: impl IntoIterator<Item = &'a ServiceSpec>) {
        let mut names = std::mem::take(&mut self.service_names);
        for spec in specs {
            let known = names.remove(&spec.name);
            let key = known.unwrap_or_else(|| {
                let served = Served::new(spec.deadline, &self.options);
                self.services.insert(served)
            });
            self.services[key].set_deadline(spec.deadline);
            self.service_names.insert(Arc::clone(&spec.name), key);
        }
        for key in names.into_values() {
            self.shed_all(key);
        }
        self.link_upstreams();
    }

    /// Sets all entries of the installation, and those that are live.
    pub fn set_entries(&mut self, now: Duration, entries: &[EntryId], live: &[EntryId]) {
        self.entries = entries.to_vec();
        self.live = live.to_vec();
        for upstream in self.upstreams.values_mut() {
            let news = &upstream.news;
            upstream.share = static_share(&news.id, news.slots, self.identity.entry, entries);
            upstream.home.set_entries(entries);
        }
        self.follow_homes(now);
    }

    /// Takes over what an upstream announces of itself.
    ///
    /// A lower incarnation than the one known is ignored. An upstream that leaves gets no new
    /// work from this call on.
    pub fn upsert_upstream(&mut self, now: Duration, news: &Announcement) -> Option<UpstreamKey> {
        if let Some(key) = self.upstream_ids.get(&news.id).copied() {
            let known = &mut self.upstreams[key];
            if news.incarnation < known.news.incarnation {
                return None;
            }
            if news.incarnation == known.news.incarnation {
                let leaving = !known.news.state.takes_new_work();
                if !leaving {
                    known.news.state = news.state;
                }
                return Some(key);
            }
            self.remove_key(key);
        }
        if let Some(key) = self.revive(now, news) {
            return Some(key);
        }
        Some(self.insert_upstream(now, news))
    }

    /// Forgets an upstream; what is in flight there may finish.
    pub fn remove_upstream(&mut self, id: &str, incarnation: Incarnation) {
        if let Some(key) = self.upstream_ids.get(id).copied()
            && self.upstreams[key].news.incarnation <= incarnation
        {
            self.remove_key(key);
        }
    }

    /// Brings back an upstream that was removed a moment ago, with what is in flight there.
    fn revive(&mut self, now: Duration, news: &Announcement) -> Option<UpstreamKey> {
        let same = |upstream: &Upstream| {
            upstream.news.id == news.id && upstream.news.incarnation == news.incarnation
        };
        let mut upstreams = self.upstreams.iter();
        let (key, _) = upstreams.find(|(_, upstream)| same(upstream))?;
        let upstream = &mut self.upstreams[key];
        upstream.removed_at = None;
        upstream.next_wish = now;
        if upstream.news.state.takes_new_work() {
            upstream.news.state = news.state;
        }
        let service = upstream.service;
        self.upstream_ids.insert(Arc::clone(&news.id), key);
        if let Some(served) = service.and_then(|service| self.services.get_mut(service)) {
            served.upstreams.push(key);
        }
        Some(key)
    }

    fn insert_upstream(&mut self, now: Duration, news: &Announcement) -> UpstreamKey {
        let service = self.service_names.get(&news.service).copied();
        let upstream = Upstream {
            service,
            removed_at: None,
            in_flight: 0,
            share: static_share(&news.id, news.slots, self.identity.entry, &self.entries),
            lease: self.new_lease(news),
            home: self.new_home(news, service),
            health: Health::new(),
            full_until: Duration::ZERO,
            wished_at: now,
            wished_need: 0,
            next_wish: now,
            news: news.clone(),
        };
        let key = self.upstreams.insert(upstream);
        self.upstream_ids.insert(Arc::clone(&news.id), key);
        if let Some(served) = service.and_then(|service| self.services.get_mut(service)) {
            served.upstreams.push(key);
        }
        self.follow_homes(now);
        self.next_tick = now;
        key
    }

    fn new_lease(&self, news: &Announcement) -> Lease {
        let options = LeaseOptions {
            upstream: Arc::clone(&news.id),
            incarnation: news.incarnation,
            sender: self.identity.incarnation,
            local: news.zone == self.identity.zone,
            pledge: self.options.pledge,
        };
        Lease::new(options, self.guards)
    }

    fn new_home(&self, news: &Announcement, service: Option<ServiceKey>) -> Home {
        let options = HomeOptions {
            me: self.identity.entry,
            upstream: Arc::clone(&news.id),
            incarnation: news.incarnation,
            ttl: self.options.grant_ttl,
            pledge: self.options.pledge,
        };
        let mut home = Home::new(options, news.slots, self.guards);
        home.set_entries(self.entries.as_slice());
        if let Some(served) = service.and_then(|service| self.services.get(service)) {
            home.raise_run_limit(served.run_limit);
        }
        home
    }

    fn remove_key(&mut self, key: UpstreamKey) {
        let upstream = &mut self.upstreams[key];
        upstream.removed_at = Some(self.ticked_at);
        self.upstream_ids.remove(&upstream.news.id);
        if let Some(served) = upstream.service.and_then(|s| self.services.get_mut(s)) {
            served.upstreams.retain(|known| *known != key);
        }
    }

    /// Drops removed upstreams once no grant or request of theirs can be left.
    pub(super) fn drop_removed(&mut self, now: Duration) {
        let services = &self.services;
        let ttl = self.options.grant_ttl + self.options.pledge;
        self.upstreams.retain(|_, upstream| {
            let served = upstream.service.and_then(|service| services.get(service));
            let run_limit = served.map_or(Duration::ZERO, |served| served.run_limit);
            let gone = |at: Duration| now > at + ttl + run_limit && upstream.in_flight == 0;
            !upstream.removed_at.is_some_and(gone)
        });
    }

    /// Assigns upstreams to services anew after the services have changed.
    fn link_upstreams(&mut self) {
        for served in self.services.values_mut() {
            served.upstreams.clear();
        }
        for (key, upstream) in &mut self.upstreams {
            let service = self.service_names.get(&upstream.news.service).copied();
            upstream.service = service;
            let Some(served) = service.and_then(|s| self.services.get_mut(s)) else {
                continue;
            };
            upstream.home.raise_run_limit(served.run_limit);
            if upstream.removed_at.is_none() {
                served.upstreams.push(key);
            }
        }
    }
}
