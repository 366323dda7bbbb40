//! Bounds of the HTTP listeners.

use masticfield_core::settings::Checker;
use masticfield_node::args::NodeArgs;
use masticfield_node::http::ResourceBounds;
use rstest::rstest;

const MB: u64 = 1 << 20;

#[rstest]
#[case::defaults(None, None, 48 * MB, 2_922)]
#[case::few_descriptors(Some(256 * MB), Some(400), 48 * MB, 150)]
#[case::little_memory(Some(48 * MB), Some(4_096), 9 * MB, 614)]
#[case::only_reserved_descriptors(Some(256 * MB), Some(200), 48 * MB, 1)]
fn bounds_follow_from_memory_and_descriptors(
    #[case] memory_bytes: Option<u64>,
    #[case] max_fds: Option<u64>,
    #[case] body_bytes: u64,
    #[case] connections: usize,
) {
    let bounds = ResourceBounds::new(memory_bytes, max_fds);
    assert_eq!(bounds.body_bytes() as u64, body_bytes);
    assert_eq!(bounds.small_body_bytes() as u64, body_bytes / 8);
    assert_eq!(bounds.connections(), connections);
}

/// Largest bodies of the two programs of the users' platform, with what is decoded from them.
#[rstest]
#[case::job_of_256_kib_decoded_to_ten_times_its_size(11 * 256 * 1024)]
#[case::announcement(4 * MB)]
#[case::configuration_of_512_kib(5 * 512 * 1024)]
fn the_largest_legal_body_fits_alone_with_little_memory(#[case] bytes: u64) {
    let bounds = ResourceBounds::new(Some(48 * MB), None);
    assert!(bytes <= (bounds.body_bytes() - bounds.small_body_bytes()) as u64);
}

#[rstest]
#[case::memory("--memory-mb", "31", "4096")]
#[case::descriptors("--max-fds", "64", "255")]
#[case::not_a_number("--memory-mb", "much", "4096")]
fn flags_out_of_range_are_reported(
    #[case] flag: &str,
    #[case] memory_mb: &str,
    #[case] max_fds: &str,
) {
    let args = NodeArgs {
        memory_mb: memory_mb.to_owned(),
        max_fds: max_fds.to_owned(),
        ..NodeArgs::default()
    };
    let mut checker = Checker::new();
    assert_eq!(args.check(&mut checker), None);
    let error = checker.finish().unwrap_err().to_string();
    assert!(error.contains(flag), "{error}");
}
