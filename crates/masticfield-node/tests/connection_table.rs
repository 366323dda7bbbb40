//! Decisions about the connections of a listener.

use std::time::{Duration, Instant};

use masticfield_node::http::{Admission, ConnectionKey, ConnectionTable};
use rstest::rstest;

/// What the connections of a test do.
#[derive(Debug, Clone, Copy)]
enum Activity {
    /// Nothing since this many seconds.
    Idle(u64),
    /// A request is being handled since this many seconds.
    Handling(u64),
    /// A request was handled, and nothing was sent since this many seconds.
    Responding(u64),
}

use Activity::{Handling, Idle, Responding};

fn add(table: &mut ConnectionTable, activity: Activity, now: Instant) -> ConnectionKey {
    let (Idle(seconds) | Handling(seconds) | Responding(seconds)) = activity;
    let since = now.checked_sub(Duration::from_secs(seconds)).unwrap();
    let Admission::Admitted(key) = table.admit(since) else {
        panic!("the table is not full yet");
    };
    if !matches!(activity, Idle(_)) {
        table.begin_handling(key);
    }
    if matches!(activity, Responding(_)) {
        table.end_handling(key, since);
    }
    key
}

#[rstest]
#[case::longest_idle(&[Idle(1), Idle(3), Idle(2)], Some(1))]
#[case::request_in_progress_is_kept(&[Idle(1), Handling(30), Idle(2)], Some(2))]
#[case::unread_response(&[Idle(1), Handling(30), Responding(9)], Some(2))]
#[case::only_requests_in_progress(&[Handling(1), Handling(2)], None)]
fn a_full_table_closes_the_connection_without_progress_for_longest(
    #[case] activities: &[Activity],
    #[case] closed: Option<usize>,
) {
    let mut table = ConnectionTable::new(activities.len());
    let now = Instant::now() + Duration::from_hours(1);
    let keys: Vec<_> = activities
        .iter()
        .map(|activity| add(&mut table, *activity, now))
        .collect();
    let expected = closed.map_or(Admission::Refused, |at| Admission::Close(keys[at]));
    assert_eq!(table.admit(now), expected);
    assert_eq!(table.len(), activities.len());
}

#[test]
fn progress_keeps_a_connection_open() {
    let mut table = ConnectionTable::new(2);
    let now = Instant::now() + Duration::from_hours(1);
    let slow = add(&mut table, Idle(9), now);
    let silent = add(&mut table, Idle(5), now);
    table.progressed(slow, now);
    assert_eq!(table.admit(now), Admission::Close(silent));
    assert!(table.remove(silent));
    assert!(matches!(table.admit(now), Admission::Admitted(_)));
}
