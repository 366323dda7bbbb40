//! Requests to the leading replica that have no reply yet.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_jobs::leader::{Refusal, Reply};
use masticfield_jobs::protocol::FromEntry;

use super::link_handle::QueuedRequest;

/// Longest wait of a request for a connection; covers a change of the leader.
const UNSENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the reply to a request that was sent; an election takes up to 1.3 s.
const SENT_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Requests without a reply, by the number under which they are sent.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<u64, PendingRequest>,
    last_number: u64,
}

#[derive(Debug)]
struct PendingRequest {
    queued: QueuedRequest,
    /// When the request was added, as time since boot.
    added_at: Duration,
    sent: bool,
}

impl PendingRequests {
    /// Adds a request and returns the message that carries it.
    pub(super) fn add(&mut self, now: Duration, queued: QueuedRequest, sent: bool) -> FromEntry {
        self.last_number += 1;
        let message = message(self.last_number, &queued);
        let pending = PendingRequest {
            queued,
            added_at: now,
            sent,
        };
        self.requests.insert(self.last_number, pending);
        message
    }

    /// Marks all requests as sent and returns their messages, for a new connection.
    pub(super) fn send_all(&mut self) -> Vec<FromEntry> {
        let requests = self.requests.iter_mut();
        requests
            .map(|(number, pending)| {
                pending.sent = true;
                message(*number, &pending.queued)
            })
            .collect()
    }

    /// Removes a request and passes the reply to its caller.
    pub(super) fn resolve(&mut self, number: u64, reply: Reply) {
        if let Some(pending) = self.requests.remove(&number) {
            // Fails only if the caller no longer waits.
            drop(pending.queued.reply_to.send(reply));
        }
    }

    /// Resolves the requests whose time limit has passed.
    pub(super) fn expire(&mut self, now: Duration) {
        let expired = self.requests.iter().filter(|(_, pending)| {
            now >= pending.added_at
                + if pending.sent {
                    SENT_TIMEOUT
                } else {
                    UNSENT_TIMEOUT
                }
        });
        let expired: Vec<_> = expired
            .map(|(number, pending)| (*number, pending.sent))
            .collect();
        for (number, sent) in expired {
            let reply = if sent {
                Reply::Unknown
            } else {
                Reply::Refused(Refusal::NotReady)
            };
            self.resolve(number, reply);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

fn message(number: u64, queued: &QueuedRequest) -> FromEntry {
    FromEntry::Request {
        number,
        request: queued.request.clone(),
    }
}
