//! Lost entries, membership views and leaving upstreams.

use masticfield_core::ids::EntryId;

use super::world::{id, news};
use super::{ENTRIES, Entry, Net, Violation};

impl Net {
    /// The host loses power: what is in flight runs on at the upstream.
    pub(super) fn kill(&mut self, entry: usize) {
        self.entries[entry].alive = false;
        self.abandon(entry);
    }

    /// The process restarts: its connections are closed.
    pub(super) fn restart(&mut self, entry: usize) {
        if !self.entries[entry].alive {
            return;
        }
        self.abandon(entry);
        self.exchanges.retain(|e| e.entry != entry);
        let incarnation = 1_000 + u64::try_from(self.now.as_millis()).unwrap_or(0);
        let mut fresh = self.entry(entry, self.now, incarnation);
        fresh.view = self.entries[entry].view;
        self.entries[entry] = fresh;
        self.views();
    }

    pub(super) fn abandon(&mut self, entry: usize) {
        let open = self.exchanges.iter().filter(|e| e.entry == entry);
        let open: Vec<usize> = open.map(|e| e.request).collect();
        let waiting = std::mem::take(&mut self.entries[entry].waiting);
        for request in open.into_iter().chain(waiting.into_values()) {
            self.fates[request].abandoned = true;
        }
    }

    pub(super) fn true_views(&mut self) {
        let up = |e: &Entry| e.alive && !e.stopped;
        let view = (0..ENTRIES).filter(|i| up(&self.entries[*i]));
        let view = view.fold(0_u8, |view, i| view | 1 << i);
        for entry in &mut self.entries {
            entry.view = view;
        }
        self.views();
    }

    pub(super) fn views(&mut self) {
        let all: Vec<EntryId> = (0..ENTRIES).map(id).collect();
        for number in 0..self.entries.len() {
            let now = self.local(number);
            let entry = &mut self.entries[number];
            let seen = |i: &usize| entry.view & (1 << i) != 0 && !(*i == number && entry.stopped);
            let live: Vec<EntryId> = (0..ENTRIES).filter(seen).map(id).collect();
            entry.router.set_entries(now, &all, &live);
        }
    }

    pub(super) fn leave(&mut self, upstream: usize) -> Result<(), Violation> {
        self.leaving[upstream] = true;
        for entry in 0..ENTRIES {
            let now = self.local(entry);
            let news = news(upstream, true);
            self.entries[entry].router.upsert_upstream(now, &news);
            if self.entries[entry].alive {
                self.carry_out(entry)?;
            }
        }
        Ok(())
    }
}
