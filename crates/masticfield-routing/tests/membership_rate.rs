//! Network load of the membership at rest and while upstreams leave.

#[expect(dead_code, reason = "shared with tests/membership.rs")]
mod network;

use masticfield_routing::membership::{Defect, Timing};
use network::Network;
use rstest::rstest;

/// Limit for the bytes that an entry sends and receives per second, headers included.
const LIMIT_BYTES_PER_S: usize = 6_000;

/// Duration of the measurement, in seconds.
const MEASURED_S: usize = 30;

/// The messages and bytes per second of the busiest entry, once all tables have converged.
fn rate_at_rest(entries: usize, upstreams: usize) -> (usize, usize) {
    let mut network = Network::new(7, entries, upstreams, Timing::new(), Defect::None);
    network.run_for(15_000);
    assert!(
        network.differences().is_empty(),
        "{:?}",
        network.differences()
    );
    network.sent.fill((0, 0));
    network.received.fill((0, 0));
    network.run_for(u64::try_from(MEASURED_S).unwrap() * 1_000);
    let totals = network.sent.iter().zip(&network.received);
    let rates = totals.map(|(sent, received)| {
        (
            (sent.0 + received.0) / MEASURED_S,
            (sent.1 + received.1) / MEASURED_S,
        )
    });
    rates.max_by_key(|(_, bytes)| *bytes).unwrap()
}

#[rstest]
#[case::today(9, 50)]
#[case::target_with_seven_entries(7, 2_300)]
#[case::target_with_twenty_entries(20, 2_300)]
fn rate_at_rest_is_within_the_limit(#[case] entries: usize, #[case] upstreams: usize) {
    let (messages, bytes) = rate_at_rest(entries, upstreams);
    println!("{entries} entries, {upstreams} upstreams: {messages} messages/s, {bytes} bytes/s");
    assert!(
        bytes <= LIMIT_BYTES_PER_S,
        "{bytes} bytes/s exceed the limit of {LIMIT_BYTES_PER_S} bytes/s"
    );
}

#[test]
fn a_tenth_of_all_upstreams_leaves_at_once_within_three_seconds() {
    let mut network = Network::new(7, 7, 2_300, Timing::new(), Defect::None);
    network.run_for(20_000);
    network.faults.lost = 333;
    network.limit_ms = 3_000;
    network.sent.fill((0, 0));
    let start = network.now_ms;
    (0..230).for_each(|upstream| network.leave(upstream));
    network.run_for(4_000);
    let max = network.sent.iter().map(|(_, bytes)| bytes).max().unwrap();
    println!(
        "{} ms, at most {max} bytes sent by an entry",
        network.now_ms - start
    );
    assert!(network.violations.is_empty(), "{:?}", network.violations);
}

/// Serving upstreams are usable in 99 of 100 samples with a third of the datagrams lost.
#[test]
fn serving_upstreams_stay_usable_with_a_third_lost() {
    let mut network = Network::new(7, 9, 50, Timing::new(), Defect::None);
    network.run_for(20_000);
    network.faults.lost = 333;
    let (mut usable, mut samples) = (0, 0);
    for _ in 0..120 {
        network.run_for(1_000);
        let now = network.now();
        let entries = network.entries.iter().flatten();
        usable += entries
            .map(|entry| entry.all_serving(now).count())
            .sum::<usize>();
        samples += 9 * 50;
    }
    println!("{usable} of {samples} samples usable");
    assert!(usable * 100 >= samples * 99);
}

/// Longest use of an upstream after it began to leave, while half of 50 upstreams leave.
fn longest_use_ms(lost: u32) -> u64 {
    let longest = (0..8).map(|seed| {
        let mut network = Network::new(seed, 9, 50, Timing::new(), Defect::None);
        network.run_for(15_000);
        network.faults.lost = lost;
        for upstream in 0..25 {
            network.leave(upstream);
            network.run_for(200);
        }
        network.run_for(20_000);
        network.longest_use_ms
    });
    longest.max().unwrap()
}

#[rstest]
#[case::none_lost(0, 3_000)]
#[case::a_third_lost(333, 3_000)]
#[case::all_lost(1_000, 15_000)]
fn leaving_upstreams_get_no_new_work(#[case] lost: u32, #[case] limit_ms: u64) {
    let longest = longest_use_ms(lost);
    println!("{lost} of 1,000 datagrams lost: used for at most {longest} ms after leaving");
    assert!(longest <= limit_ms);
}
