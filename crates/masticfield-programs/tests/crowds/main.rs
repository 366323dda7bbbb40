//! Clients that do not behave end no process, which stays within its memory and descriptors and
//! serves ordinary clients meanwhile.

mod crowd;
mod installation;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rstest::rstest;

use crate::crowd::{
    Crowd, Pattern, Request, Usage, body_request, chunked_request, serve_once, serve_until_success,
};
use crate::installation::{
    Installation, Listener, MAX_ANNOUNCEMENT_BYTES, MAX_FDS, MAX_NOTE_BYTES, MAX_REQUEST_BYTES,
    MEMORY_MB,
};

/// Number of connections in a crowd that is larger than the number of descriptors.
const MANY: usize = 900;

/// Time limit for the response to a request without other load.
const CALM_TIMEOUT: Duration = Duration::from_secs(30);

/// Only one crowd at a time.
static TURN: Mutex<()> = Mutex::new(());

#[track_caller]
fn withstands(listener: Listener, pattern: Pattern, bytes: usize, count: usize) {
    withstands_requests(listener, pattern, &listener.request_of(bytes), count);
}

/// Opens a crowd, and checks its process and ordinary requests while it is open.
#[track_caller]
fn withstands_requests(listener: Listener, pattern: Pattern, req: &Request, count: usize) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut installation = Installation::start();
    let usage = Usage::sample(installation.pid(listener));
    let crowd = Crowd::open(installation.address(listener), pattern, req, count);
    let statuses = [listener, Listener::Callers].map(|listener| {
        let req = body_request(&listener.request());
        serve_until_success(installation.address(listener), &req)
    });
    let (connections, sent) = crowd.size();
    println!("{listener:?}, {pattern:?}: {connections} connections, {sent} bytes; {usage}");
    let ended = installation.ended_programs();
    assert!(ended.is_empty(), "{ended:?} ended");
    assert!(
        usage.peak_kb() <= MEMORY_MB * 1024,
        "more than {MEMORY_MB} MiB: {usage}"
    );
    assert!(
        usage.max_fds() <= MAX_FDS,
        "more than {MAX_FDS} descriptors: {usage}"
    );
    let served = statuses.map(|status| status == Some(200));
    assert_eq!(served, [true; 2], "ordinary requests: {statuses:?}");
}

#[rstest]
#[case::whole(Pattern::WholeBody, 200)]
#[case::in_pieces(Pattern::BodyInPieces, 200)]
#[case::in_large_chunks(Pattern::LargeChunks, 200)]
#[case::in_chunks_of_one_byte(Pattern::SmallChunks, 40)]
fn unfinished_requests_of_callers_keep_within_the_memory(
    #[case] pattern: Pattern,
    #[case] count: usize,
) {
    withstands(Listener::Callers, pattern, MAX_REQUEST_BYTES, count);
}

#[rstest]
#[case::whole(Pattern::WholeBody)]
#[case::in_pieces(Pattern::BodyInPieces)]
#[case::in_large_chunks(Pattern::LargeChunks)]
#[case::in_chunks_of_one_byte(Pattern::SmallChunks)]
fn unfinished_announcements_of_upstreams_keep_within_the_memory(#[case] pattern: Pattern) {
    withstands(Listener::Upstreams, pattern, MAX_ANNOUNCEMENT_BYTES, 700);
}

#[rstest]
#[case::whole(Pattern::WholeBody, 100)]
#[case::in_pieces(Pattern::BodyInPieces, 100)]
#[case::in_large_chunks(Pattern::LargeChunks, 100)]
#[case::in_chunks_of_one_byte(Pattern::SmallChunks, 20)]
fn unfinished_notes_keep_within_the_memory(#[case] pattern: Pattern, #[case] count: usize) {
    withstands(Listener::Operators, pattern, MAX_NOTE_BYTES, count);
}

#[rstest]
#[case::entry_whole(Listener::EntryAdmin, Pattern::WholeBody)]
#[case::control_process_in_chunks_of_one_byte(Listener::ControlAdmin, Pattern::SmallChunks)]
fn bodies_at_the_admin_listener_keep_within_the_memory(
    #[case] listener: Listener,
    #[case] pattern: Pattern,
) {
    withstands(listener, pattern, 256 * 1024, 150);
}

#[rstest]
#[case::status(Listener::Operators)]
#[case::metrics_of_the_entry(Listener::EntryAdmin)]
#[case::metrics_of_the_control_process(Listener::ControlAdmin)]
fn unread_responses_keep_within_the_memory(#[case] listener: Listener) {
    withstands_requests(listener, Pattern::UnreadResponses, &listener.request(), 400);
}

#[rstest]
#[case::callers(Listener::Callers)]
#[case::upstreams(Listener::Upstreams)]
#[case::admin_of_the_entry(Listener::EntryAdmin)]
#[case::operators(Listener::Operators)]
#[case::admin_of_the_control_process(Listener::ControlAdmin)]
fn silent_connections_keep_within_the_descriptors(#[case] listener: Listener) {
    withstands(listener, Pattern::Nothing, 0, MANY);
}

#[rstest]
#[case::callers(Listener::Callers)]
#[case::upstreams(Listener::Upstreams)]
#[case::operators(Listener::Operators)]
fn unfinished_heads_keep_within_the_descriptors(#[case] listener: Listener) {
    withstands(listener, Pattern::UnfinishedHead, 0, MANY);
}

#[rstest]
#[case::request(Listener::Callers, MAX_REQUEST_BYTES)]
#[case::announcement(Listener::Upstreams, MAX_ANNOUNCEMENT_BYTES)]
#[case::note(Listener::Operators, MAX_NOTE_BYTES)]
#[case::metrics_of_the_entry(Listener::EntryAdmin, 0)]
#[case::metrics_of_the_control_process(Listener::ControlAdmin, 0)]
fn one_request_of_the_largest_legal_size_is_served(
    #[case] listener: Listener,
    #[case] bytes: usize,
) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let installation = Installation::start();
    let req = body_request(&listener.request_of(bytes));
    let status = serve_once(installation.address(listener), &req, CALM_TIMEOUT);
    assert_eq!(status, Some(200));
}

#[rstest]
#[case::request(Listener::Callers)]
#[case::announcement(Listener::Upstreams)]
#[case::note(Listener::Operators)]
fn one_request_in_chunks_of_one_byte_is_served(#[case] listener: Listener) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let installation = Installation::start();
    let req = chunked_request(&listener.request_of(MAX_ANNOUNCEMENT_BYTES), 1);
    let status = serve_once(installation.address(listener), &req, CALM_TIMEOUT);
    assert_eq!(status, Some(200));
}
