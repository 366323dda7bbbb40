//! Requests that run at most once: those in progress, and the answers held for resends.

mod book_actor;
mod plugin;
mod stored_answer;

pub(crate) use book_actor::{Begin, BookActor, End, Find, Found};
pub(crate) use stored_answer::StoredAnswer;
