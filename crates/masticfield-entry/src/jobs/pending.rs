//! Questions without an answer.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_jobs::leader::{Refusal, Reply};
use masticfield_jobs::protocol::FromEntry;

use super::link_handle::Question;

/// Longest wait for a connection: the leader may just be changing.
const UNSENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the answer to a question that was sent. An election takes up to 1.3 s.
const SENT_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Questions without an answer, by number.
#[derive(Debug, Default)]
pub(super) struct Pending {
    questions: BTreeMap<u64, Waiting>,
    last: u64,
}

#[derive(Debug)]
struct Waiting {
    question: Question,
    asked: Duration,
    sent: bool,
}

impl Pending {
    /// Takes up a question; returns its message.
    pub(super) fn add(&mut self, now: Duration, question: Question, sent: bool) -> FromEntry {
        self.last += 1;
        let message = message(self.last, &question);
        let waiting = Waiting {
            question,
            asked: now,
            sent,
        };
        self.questions.insert(self.last, waiting);
        message
    }

    /// The messages of all questions, for a new connection.
    pub(super) fn send_all(&mut self) -> Vec<FromEntry> {
        let questions = self.questions.iter_mut();
        questions
            .map(|(number, waiting)| {
                waiting.sent = true;
                message(*number, &waiting.question)
            })
            .collect()
    }

    /// Passes an answer on.
    pub(super) fn answer(&mut self, number: u64, reply: Reply) {
        if let Some(waiting) = self.questions.remove(&number) {
            // A caller that has gone away needs no answer.
            drop(waiting.question.reply.send(reply));
        }
    }

    /// Gives up the questions that have waited too long.
    pub(super) fn expire(&mut self, now: Duration) {
        let expired = self.questions.iter().filter(|(_, waiting)| {
            now >= waiting.asked
                + if waiting.sent {
                    SENT_TIMEOUT
                } else {
                    UNSENT_TIMEOUT
                }
        });
        let expired: Vec<_> = expired
            .map(|(number, waiting)| (*number, waiting.sent))
            .collect();
        for (number, sent) in expired {
            let reply = if sent {
                Reply::Unknown
            } else {
                Reply::Refused(Refusal::NotReady)
            };
            self.answer(number, reply);
        }
    }

    /// Whether no question waits.
    pub(super) fn is_empty(&self) -> bool {
        self.questions.is_empty()
    }
}

fn message(number: u64, question: &Question) -> FromEntry {
    FromEntry::Request {
        number,
        request: question.intake.clone(),
    }
}
