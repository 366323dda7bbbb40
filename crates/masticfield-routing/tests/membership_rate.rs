//! Messages and bytes of the membership at rest, and after a zone of upstreams leaves.

#[expect(dead_code, reason = "shared with the other tests of membership")]
mod network;

use masticfield_routing::membership::{Defect, Timing};
use network::Network;
use rstest::rstest;

/// Most bytes that an entry may send and receive in a second, headers included.
const LIMIT_BYTES_PER_S: usize = 6_000;

/// Seconds for which an entry is watched at rest.
const WATCHED_S: usize = 30;

/// Lets entries come to rest, and returns the messages and bytes a second of the busiest one.
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
    network.run_for(u64::try_from(WATCHED_S).unwrap() * 1_000);
    let both = network.sent.iter().zip(&network.received);
    let rates = both.map(|(sent, received)| {
        (
            (sent.0 + received.0) / WATCHED_S,
            (sent.1 + received.1) / WATCHED_S,
        )
    });
    rates.max_by_key(|(_, bytes)| *bytes).unwrap()
}

#[rstest]
#[case::today(9, 50)]
#[case::target_on_seven(7, 2_300)]
#[case::target_on_twenty(20, 2_300)]
fn rate_at_rest_is_within_the_limit(#[case] entries: usize, #[case] upstreams: usize) {
    let (messages, bytes) = rate_at_rest(entries, upstreams);
    println!("{entries} entries, {upstreams} upstreams: {messages} messages/s, {bytes} bytes/s");
    assert!(bytes <= LIMIT_BYTES_PER_S, "{bytes} bytes/s");
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
    let most = network.sent.iter().map(|(_, bytes)| bytes).max().unwrap();
    println!(
        "{} ms, at most {most} bytes sent by an entry",
        network.now_ms - start
    );
    assert!(network.violations.is_empty(), "{:?}", network.violations);
}

/// With a third of the datagrams lost, entries seldom lose sight of upstreams that serve.
#[test]
fn serving_upstreams_stay_usable_with_a_third_lost() {
    let mut network = Network::new(7, 9, 50, Timing::new(), Defect::None);
    network.run_for(20_000);
    network.faults.lost = 333;
    let (mut usable, mut samples) = (0, 0);
    for _ in 0..120 {
        network.run_for(1_000);
        let now = network.now();
        let known = network.entries.iter().flatten();
        usable += known
            .map(|entry| entry.all_serving(now).count())
            .sum::<usize>();
        samples += 9 * 50;
    }
    println!("{usable} of {samples} samples usable");
    assert!(usable * 100 >= samples * 99);
}

/// Lets half of 50 upstreams leave one after the other, and returns the longest use after that.
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
    println!("{lost} of 1,000 lost: used for at most {longest} ms after leaving");
    assert!(longest <= limit_ms);
}
