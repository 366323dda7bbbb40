//! The leader's relays: which entry carries the calls to an executor, and the calls on their way.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CALL_VALIDITY, CallResult, CallTag, ExecutorCall, RelayedCall};
use crate::leader::Event;
use crate::state::ExecutorKey;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Interval of checks for silent relays and overdue results.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Key of a relay: the number of its connection, unique within a leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelayKey(pub u64);

/// What an entry says of itself when it offers to relay calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayOffer {
    /// Availability zone of the entry.
    pub zone: Arc<str>,
    /// Host and port at which the entry accepts announcements of executors.
    pub announce_address: Arc<str>,
}

/// When relays are used, and how long a call through one may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayOptions {
    /// Number of executors from which on calls go through relays. Fewer executors cost the leader
    /// less than the way through a relay costs the callers.
    pub min_executors: usize,
    /// Silence of a relay after which it gets no calls, and those on their way are given up.
    pub max_silence: Duration,
    /// Time for which a relay that was silent gets no calls.
    pub suspension: Duration,
    /// Time beyond the validity of a call and its executor's time limit until the result counts as
    /// lost.
    pub result_margin: Duration,
}

/// How a call reaches its executor.
#[derive(Debug, Clone, PartialEq)]
pub enum Route {
    /// The leader calls the executor itself.
    Direct(ExecutorCall),
    /// A relay calls the executor.
    Relay(RelayKey, RelayedCall),
}

/// The relays of one leadership, and the calls that they have not answered.
#[derive(Debug)]
pub struct Relays {
    options: RelayOptions,
    connected: BTreeMap<RelayKey, Relay>,
    /// Relay of each executor that was called, as far as it is chosen; `None` for no relay.
    chosen: HashMap<ExecutorKey, Option<RelayKey>>,
    pending: BTreeMap<u64, PendingCall>,
    /// Times at which pending calls are given up.
    deadlines: BTreeSet<(Duration, u64)>,
    last_number: u64,
    next_check: Duration,
}

#[derive(Debug)]
struct Relay {
    offer: RelayOffer,
    /// Time of the latest message.
    last_heard: Duration,
    /// Time until which the relay gets no calls.
    suspended_until: Option<Duration>,
}

#[derive(Debug)]
struct PendingCall {
    relay: RelayKey,
    tag: CallTag,
    deadline: Duration,
}

impl RelayOptions {
    /// Creates the options with defaults.
    pub const fn new() -> Self {
        Self {
            min_executors: 128,
            max_silence: Duration::from_millis(1_300),
            suspension: Duration::from_secs(4),
            result_margin: Duration::from_millis(300),
        }
    }
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl Relays {
    /// Creates an empty set of relays.
    pub fn new(options: RelayOptions) -> Self {
        Self {
            options,
            connected: BTreeMap::new(),
            chosen: HashMap::new(),
            pending: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            last_number: 0,
            next_check: Duration::ZERO,
        }
    }

    /// Adds a relay whose connection is open now.
    pub fn connect(&mut self, now: Duration, key: RelayKey, offer: RelayOffer) {
        let relay = Relay {
            offer,
            last_heard: now,
            suspended_until: None,
        };
        self.connected.insert(key, relay);
        self.chosen.clear();
    }

    /// Removes a relay whose connection has ended; returns the results of its calls, which are not
    /// known.
    pub fn disconnect(&mut self, key: RelayKey) -> Vec<Event> {
        if self.connected.remove(&key).is_none() {
            return Vec::new();
        }
        self.chosen.retain(|_, relay| *relay != Some(key));
        self.give_up(key)
    }

    /// Records that a message of a relay has arrived.
    pub fn record_contact(&mut self, now: Duration, key: RelayKey) {
        if let Some(relay) = self.connected.get_mut(&key) {
            relay.last_heard = now;
        }
    }

    /// Returns whether calls go through relays, given the number of all executors.
    pub fn are_used(&self, executors: usize) -> bool {
        executors >= self.options.min_executors && !self.connected.is_empty()
    }

    /// Decides how a call reaches its executor, which is in `zone`; `executors` is the number of
    /// all executors.
    pub fn route(
        &mut self,
        now: Duration,
        call: ExecutorCall,
        zone: &str,
        executors: usize,
    ) -> Route {
        if executors < self.options.min_executors {
            return Route::Direct(call);
        }
        let chosen = self.chosen.get(&call.executor).copied();
        let relay = chosen.unwrap_or_else(|| {
            let relay = self.choose(&call.id, zone);
            self.chosen.insert(call.executor, relay);
            relay
        });
        let Some(relay) = relay else {
            return Route::Direct(call);
        };
        self.last_number += 1;
        let number = self.last_number;
        let deadline = now + CALL_VALIDITY + call.timeout() + self.options.result_margin;
        let pending = PendingCall {
            relay,
            tag: call.tag(),
            deadline,
        };
        self.pending.insert(number, pending);
        self.deadlines.insert((deadline, number));
        Route::Relay(relay, RelayedCall { number, call })
    }

    /// Returns where an executor should announce itself: at its relay, if it has one.
    pub fn announce_address(&self, id: &str, zone: &str, executors: usize) -> Option<Arc<str>> {
        if executors < self.options.min_executors {
            return None;
        }
        let relay = self.connected.get(&self.choose(id, zone)?)?;
        Some(Arc::clone(&relay.offer.announce_address))
    }

    /// Returns the event that reports the result of a call; `None` if the call was given up.
    pub fn resolve(&mut self, number: u64, result: CallResult) -> Option<(CallTag, Event)> {
        let pending = self.pending.remove(&number)?;
        self.deadlines.remove(&(pending.deadline, number));
        Some((pending.tag, pending.tag.event(result)))
    }

    /// Gives up calls whose results are overdue and those of relays that have become silent;
    /// returns their results, which are not known.
    pub fn expire(&mut self, now: Duration) -> Vec<Event> {
        if now < self.next_check {
            return Vec::new();
        }
        self.next_check = now + CHECK_INTERVAL;
        let mut events = self.suspend_silent(now);
        while let Some((deadline, number)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.pop_first();
            if let Some(pending) = self.pending.remove(&number) {
                log::info!(executor = pending.tag.executor().0, call = pending.tag.name(); "no result from a relay");
                events.push(pending.tag.unanswered());
            }
        }
        events
    }

    /// Drops what is kept for an executor that has ended.
    pub fn forget(&mut self, executor: ExecutorKey) {
        self.chosen.remove(&executor);
    }

    /// Returns the number of relays that get calls, and of calls on their way.
    pub fn load(&self) -> (usize, usize) {
        let relays = self.connected.values();
        let usable = relays.filter(|relay| relay.suspended_until.is_none());
        (usable.count(), self.pending.len())
    }

    /// Takes relays that are silent out of use, and lets those back in that were not silent again.
    fn suspend_silent(&mut self, now: Duration) -> Vec<Event> {
        let mut silent = Vec::new();
        for (key, relay) in &mut self.connected {
            let is_silent = now > relay.last_heard + self.options.max_silence;
            if is_silent {
                if relay.suspended_until.is_none() {
                    silent.push(*key);
                }
                relay.suspended_until = Some(now + self.options.suspension);
            } else if relay.suspended_until.is_some_and(|until| now >= until) {
                relay.suspended_until = None;
                self.chosen.clear();
            }
        }
        let mut events = Vec::new();
        for key in silent {
            log::info!(relay = key.0; "a relay is silent; its executors get other relays");
            self.chosen.retain(|_, relay| *relay != Some(key));
            events.extend(self.give_up(key));
        }
        events
    }

    /// Removes the calls of a relay, and returns their results, which are not known.
    fn give_up(&mut self, key: RelayKey) -> Vec<Event> {
        let calls = self
            .pending
            .extract_if(.., |_, pending| pending.relay == key);
        let calls: Vec<_> = calls.collect();
        let mut events = Vec::with_capacity(calls.len());
        for (number, pending) in calls {
            self.deadlines.remove(&(pending.deadline, number));
            events.push(pending.tag.unanswered());
        }
        events
    }

    /// Chooses the relay of an executor by rendezvous hashing: among those in its zone if there are
    /// any, otherwise among all.
    fn choose(&self, id: &str, zone: &str) -> Option<RelayKey> {
        let usable = self
            .connected
            .iter()
            .filter(|(_, relay)| relay.suspended_until.is_none());
        let key = |(key, relay): (&RelayKey, &Relay)| {
            let near = *relay.offer.zone == *zone;
            (near, score(id, &relay.offer.announce_address), *key)
        };
        usable.map(key).max().map(|(_, _, relay)| relay)
    }
}

/// Rendezvous score of a relay for an executor. It depends on addresses, not on connections, so
/// that executors keep their relays across leaderships.
fn score(id: &str, address: &str) -> u64 {
    let bytes = id.bytes().chain([0]).chain(address.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Finalizer of the hash, after which similar inputs also differ in the high bits.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
