//! Memory and time that the claim table needs.
//!
//! The table is filled with the claims of one retention period at the target rate, half of them
//! ended. The baseline is a plain map of the same claims in the form that messages carry.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_state::{ClaimTable, Command, Envelope, State};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use snafu::Snafu;

use crate::experiment::{Experiment, ExperimentArgs, ExperimentError};

/// Claims per second at the target size.
const CLAIMS_PER_S: u64 = 100;
/// Claims in one command.
const CLAIMS_PER_COMMAND: usize = 64;
/// Time of the first claim, in seconds since the Unix epoch.
const START_S: u64 = 1_700_000_000;

inventory::submit! {
    Experiment { name: "claims", about: "Memory and time that the claim table needs", run }
}

/// The state restored from a snapshot differs from the state that was saved.
#[derive(Debug, Snafu)]
#[snafu(display("the state restored from the snapshot differs from the saved state"))]
struct RestoredStateDiffers;

fn run(args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let count = usize::try_from(CLAIMS_PER_S * ClaimTable::RETENTION_S)?;
    let claims = generate_claims(args.seed, count);
    let (baseline_bytes, baseline) = measure_growth(|| fill_baseline(&claims))?;
    let start = Instant::now();
    let (state_bytes, state) = measure_growth(|| fill_state(&claims))?;
    let fill_s = start.elapsed().as_secs_f64();
    let (snapshot_growth, snapshot) = measure_growth(|| state.to_snapshot())?;
    let snapshot = snapshot?;
    let start = Instant::now();
    let restored = State::from_snapshot(&snapshot)?;
    let restore_ms = start.elapsed().as_secs_f64() * 1e3;
    if restored != state {
        return Err(RestoredStateDiffers.into());
    }
    let held = state.claims().len();
    // Freed only now: later measurements must not reuse the memory of the baseline.
    drop(baseline);
    Ok(json!({
        "claims": held,
        "max_claims": ClaimTable::MAX_CLAIMS,
        "retention_s": ClaimTable::RETENTION_S,
        "bytes_per_claim": bytes_per(state_bytes, held),
        "baseline_bytes_per_claim": bytes_per(baseline_bytes, count),
        "snapshot_bytes_per_claim": bytes_per(snapshot.len(), held),
        "snapshot_rss_mb": megabytes(snapshot_growth),
        "table_mb": megabytes(state_bytes),
        "applied_claims_per_s": (as_f64(count) / fill_s).round(),
        "restore_ms": restore_ms,
    }))
}

/// Random claims in the order of their issue.
fn generate_claims(seed: u64, count: usize) -> Vec<Claim> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let claim = |n: usize| Claim {
        key: ClaimKey::from_digest(rng.random(), START_S + n as u64 / CLAIMS_PER_S),
        fingerprint: rng.random(),
        request: RequestId::new(EntryId::new(u16::try_from(n % 9).unwrap_or(0)), n as u64),
    };
    (0..count).map(claim).collect()
}

fn fill_state(claims: &[Claim]) -> State {
    let mut state = State::new();
    for batch in claims.chunks(CLAIMS_PER_COMMAND) {
        let now_ms = batch[0].key.issued_s() * 1_000;
        let index = state.applied() + 1;
        black_box(state.apply(
            index,
            &Envelope::new(now_ms, Command::Claims(batch.to_vec())),
        ));
        let ended = batch.iter().step_by(2);
        let ended = ended.map(|claim| (claim.key, claim.request, ClaimEnd::Ran));
        let ended = Command::ClaimEnds(ended.collect());
        black_box(state.apply(index + 1, &Envelope::new(now_ms, ended)));
    }
    state
}

fn fill_baseline(claims: &[Claim]) -> BTreeMap<ClaimKey, (Claim, Option<ClaimVerdict>)> {
    let mut baseline = BTreeMap::new();
    for claim in claims {
        baseline.insert(claim.key, (*claim, None));
    }
    baseline
}

/// Growth of the resident memory of this process while `create` runs, in bytes.
fn measure_growth<T>(create: impl FnOnce() -> T) -> Result<(usize, T), ExperimentError> {
    let before = resident_bytes()?;
    let value = create();
    Ok((resident_bytes()?.saturating_sub(before), value))
}

fn resident_bytes() -> Result<usize, ExperimentError> {
    let pages = procfs::process::Process::myself()?.statm()?.resident;
    Ok(usize::try_from(pages * procfs::page_size())?)
}

fn bytes_per(bytes: usize, count: usize) -> f64 {
    (as_f64(bytes) / as_f64(count) * 10.0).round() / 10.0
}

fn megabytes(bytes: usize) -> f64 {
    (as_f64(bytes) / 1e5).round() / 10.0
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
