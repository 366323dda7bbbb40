//! Relays: entries that carry the leader's calls to executors, and their faults.

use std::time::Duration;

use masticfield_jobs::leader::{CallError, Event};
use masticfield_jobs::relay::{
    CALL_VALIDITY, CallResult, ExecutorCall, RelayGate, RelayKey, RelayOffer, RelayVerdict,
    RelayedCall, Route,
};
use rand::RngExt;

use super::{NETWORK_DELAY_MS, ScheduledEvent, Simulation};
use crate::scenario::RelayDefect;

/// Interval of a relay's messages to the leader, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// Time until a relay that has lost its leader is connected again, in milliseconds.
const RECONNECT_MS: u64 = 200;

/// A simulated relay.
#[derive(Debug, Clone)]
pub(super) struct RelayNode {
    gate: RelayGate,
    /// Difference of the relay's clock to simulated time, in milliseconds.
    ahead_ms: u64,
    /// Connection to the leader: its number at the gate, the leader's epoch, and its key there.
    connection: Option<Connection>,
    /// Time until which the process is paused; what arrives meanwhile waits.
    paused_until: u64,
    /// Time until which messages to the leader are lost.
    mute_until: u64,
    /// Highest term of the calls that have arrived.
    highest_term: u64,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    number: u64,
    epoch: u64,
    key: RelayKey,
}

/// A relayed call at its relay.
#[derive(Debug, Clone)]
pub(super) struct CallAtRelay {
    pub(super) relay: usize,
    /// Key of the relay when the leader sent the call.
    pub(super) key: RelayKey,
    pub(super) epoch: u64,
    pub(super) call: RelayedCall,
}

impl Simulation {
    /// Starts the relays of the scenario.
    pub(super) fn start_relays(&mut self) {
        for relay in 0..self.scenario.relays {
            let ahead_ms = self.rng.random_range(0..100_000);
            self.relay_nodes.push(RelayNode {
                gate: RelayGate::default(),
                ahead_ms,
                connection: None,
                paused_until: 0,
                mute_until: 0,
                highest_term: 0,
            });
            self.schedule(1, ScheduledEvent::RelayHeartbeat(relay));
        }
    }

    /// Lets a relay exchange clocks with the leader, or connect to it, and schedules the next time.
    pub(super) fn relay_heartbeat(&mut self, index: usize) {
        self.schedule(HEARTBEAT_MS, ScheduledEvent::RelayHeartbeat(index));
        let now = self.now;
        let (back, epoch) = (self.rng.random_range(0..5), self.epoch);
        let relay = &mut self.relay_nodes[index];
        if relay.paused_until > now || relay.mute_until > now {
            return;
        }
        let local = Duration::from_millis(now + relay.ahead_ms);
        let stamp = Duration::from_millis(now + back);
        let connection = relay
            .connection
            .filter(|connection| connection.epoch == epoch);
        if let Some(connection) = connection {
            relay.gate.record_leader_clock(local, stamp);
            self.relays
                .record_contact(Duration::from_millis(now), connection.key);
            return;
        }
        self.last_relay_key += 1;
        let key = RelayKey(self.last_relay_key);
        let number = relay.gate.connect();
        relay.gate.record_leader_clock(local, stamp);
        relay.connection = Some(Connection { number, epoch, key });
        let offer = RelayOffer {
            zone: "zone".into(),
            announce_address: format!("relay-{index}").into(),
        };
        self.relays.connect(Duration::from_millis(now), key, offer);
        self.relay_keys.insert(key, index);
    }

    /// Sends a call through a relay; returns it if there is none to use.
    pub(super) fn send_through_relay(&mut self, call: ExecutorCall) -> Option<ExecutorCall> {
        if self.scenario.relays == 0 {
            return Some(call);
        }
        let now = Duration::from_millis(self.now);
        let route = self.relays.route(now, call, "zone", usize::MAX);
        let (key, call) = match route {
            Route::Direct(call) => return Some(call),
            Route::Relay(key, call) => (key, call),
        };
        let relay = self.relay_keys[&key];
        let late = self
            .rng
            .random_bool(self.scenario.faults.late_relay_messages);
        let after = if late {
            self.rng.random_range(300..3_000)
        } else {
            NETWORK_DELAY_MS
        };
        let epoch = self.epoch;
        let arrival = ScheduledEvent::ArriveAtRelay(CallAtRelay {
            relay,
            key,
            epoch,
            call,
        });
        self.schedule(after, arrival);
        None
    }

    /// Handles a call that has arrived at its relay: sends it to the executor if the gate allows it.
    pub(super) fn arrive_at_relay(&mut self, arrival: CallAtRelay) {
        let now = self.now;
        let relay = &mut self.relay_nodes[arrival.relay];
        if relay.paused_until > now {
            let wait = relay.paused_until - now;
            return self.schedule(wait, ScheduledEvent::ArriveAtRelay(arrival));
        }
        let ExecutorCall { term, decided, .. } = arrival.call.call;
        // A call of an earlier connection is still in the buffers of that connection.
        let current = relay
            .connection
            .filter(|connection| connection.key == arrival.key);
        let number = current.map_or(0, |connection| connection.number);
        let ticket = relay.gate.ticket(number, term, decided);
        relay.highest_term = relay.highest_term.max(term);
        let local = Duration::from_millis(now + relay.ahead_ms);
        let verdict = match (relay.gate.check(ticket, local), self.scenario.relay_defect) {
            (RelayVerdict::Expired, Some(RelayDefect::SendExpired))
            | (
                RelayVerdict::Deposed | RelayVerdict::Disconnected,
                Some(RelayDefect::SendDeposed),
            ) => RelayVerdict::Send,
            (verdict, _) => verdict,
        };
        if verdict != RelayVerdict::Send {
            let result = arrival.call.call.tag().failed(CallError::Unknown);
            return self.return_result(&arrival, result);
        }
        let age = Duration::from_millis(now).saturating_sub(decided);
        let highest = relay.highest_term;
        if age > CALL_VALIDITY {
            let text = format!("{now}: a relay sends a call {age:?} after its decision");
            self.checker.violations.push(text);
        }
        if term < highest {
            let text = format!("{now}: a relay sends a call of term {term} after one of {highest}");
            self.checker.violations.push(text);
        }
        self.call_executor(&arrival.call.call.clone(), Some(arrival));
    }

    /// Sends the result of a relayed call to the leader, unless the relay is cut off.
    pub(super) fn return_result(&mut self, arrival: &CallAtRelay, result: CallResult) {
        let relay = &self.relay_nodes[arrival.relay];
        if relay.mute_until > self.now {
            return;
        }
        let wait = relay.paused_until.saturating_sub(self.now);
        let event = ScheduledEvent::RelayedResult {
            epoch: arrival.epoch,
            number: arrival.call.number,
            result,
        };
        self.schedule(wait + NETWORK_DELAY_MS, event);
    }

    /// Passes the result of a relayed call to the leader that has sent it, if it still leads.
    pub(super) fn handle_relayed_result(&mut self, epoch: u64, number: u64, result: CallResult) {
        if epoch == self.epoch
            && let Some((_, event)) = self.relays.resolve(number, result)
        {
            self.notify_leader(epoch, event);
        }
    }

    /// Reports calls whose results are overdue to the leader.
    pub(super) fn expire_relayed_calls(&mut self) {
        for event in self.relays.expire(Duration::from_millis(self.now)) {
            self.report_lost_call(event);
        }
    }

    fn report_lost_call(&mut self, event: Event) {
        let event = match event {
            Event::StartResult { executor, run, .. }
                if self.scenario.relay_defect == Some(RelayDefect::LostNeverRan) =>
            {
                let result = Err(CallError::Rejected(
                    masticfield_jobs::leader::Rejection::Unavailable,
                ));
                Event::StartResult {
                    executor,
                    run,
                    result,
                }
            }
            event => event,
        };
        self.notify_leader(self.epoch, event);
    }

    /// Pauses, mutes or restarts a random relay.
    pub(super) fn disturb_relay(&mut self) {
        let index = self.rng.random_range(0..self.relay_nodes.len());
        let duration = self.rng.random_range(200..5_000);
        let kind = self.rng.random_range(0..3);
        let now = self.now;
        let relay = &mut self.relay_nodes[index];
        match kind {
            0 => relay.paused_until = now + duration,
            1 => relay.mute_until = now + duration,
            _ => {
                // The process restarts: the leader sees the connection end, if it still leads.
                let ended = relay.connection.take();
                relay.gate = RelayGate::default();
                relay.highest_term = 0;
                relay.mute_until = now + RECONNECT_MS;
                let ended = ended.filter(|connection| connection.epoch == self.epoch);
                let lost = ended.map(|connection| self.relays.disconnect(connection.key));
                for event in lost.into_iter().flatten() {
                    self.report_lost_call(event);
                }
            }
        }
    }
}
