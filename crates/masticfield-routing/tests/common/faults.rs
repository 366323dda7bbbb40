//! Faults: killed and restarted entries, wrong membership views and leaving upstreams.

use masticfield_core::ids::EntryId;

use super::world::{announcement, id};
use super::{ENTRIES, Entry, Network, Violation};

impl Network {
    /// Stops an entry as a power loss does: its requests run on at the upstreams.
    pub(super) fn kill(&mut self, entry: usize) {
        self.entries[entry].alive = false;
        self.abandon(entry);
    }

    /// Restarts the process of an entry, which closes its connections.
    pub(super) fn restart(&mut self, entry: usize) {
        if !self.entries[entry].alive {
            return;
        }
        self.abandon(entry);
        self.exchanges.retain(|e| e.entry != entry);
        let incarnation = 1_000 + u64::try_from(self.now.as_millis()).unwrap_or(0);
        let mut restarted = self.entry(entry, self.now, incarnation);
        restarted.view = self.entries[entry].view;
        self.entries[entry] = restarted;
        self.publish_views();
    }

    /// Gives up all open requests of an entry, whose callers get no answer.
    pub(super) fn abandon(&mut self, entry: usize) {
        let open = self.exchanges.iter().filter(|e| e.entry == entry);
        let open: Vec<usize> = open.map(|e| e.request).collect();
        let waiting = std::mem::take(&mut self.entries[entry].waiting);
        for request in open.into_iter().chain(waiting.into_values()) {
            self.requests[request].abandoned = true;
        }
    }

    /// Makes every entry see exactly the entries that run.
    pub(super) fn correct_views(&mut self) {
        let running = |e: &Entry| e.alive && !e.stopped;
        let view = (0..ENTRIES).filter(|i| running(&self.entries[*i]));
        let view = view.fold(0_u8, |view, i| view | 1 << i);
        for entry in &mut self.entries {
            entry.view = view;
        }
        self.publish_views();
    }

    /// Passes every entry's view of the live entries to its router.
    pub(super) fn publish_views(&mut self) {
        let all: Vec<EntryId> = (0..ENTRIES).map(id).collect();
        for number in 0..self.entries.len() {
            let now = self.local_time(number);
            let entry = &mut self.entries[number];
            let seen = |i: &usize| entry.view & (1 << i) != 0 && !(*i == number && entry.stopped);
            let live: Vec<EntryId> = (0..ENTRIES).filter(seen).map(id).collect();
            entry.router.set_entries(now, &all, &live);
        }
    }

    /// Makes an upstream leave, of which every entry is notified at once.
    pub(super) fn leave(&mut self, upstream: usize) -> Result<(), Violation> {
        self.leaving[upstream] = true;
        for entry in 0..ENTRIES {
            let now = self.local_time(entry);
            let announcement = announcement(upstream, true);
            self.entries[entry]
                .router
                .upsert_upstream(now, &announcement);
            if self.entries[entry].alive {
                self.carry_out(entry)?;
            }
        }
        Ok(())
    }
}
