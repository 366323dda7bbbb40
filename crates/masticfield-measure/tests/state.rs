//! Experiment `state`.

use masticfield_measure::state;

/// The report of the experiment had null for this time.
#[tokio::test(flavor = "multi_thread")]
async fn the_time_until_a_note_is_in_force_is_measured() {
    let median = state::in_force_ms(3).await.unwrap();
    assert!(median.is_finite() && median >= 0.0, "{median}");
}
