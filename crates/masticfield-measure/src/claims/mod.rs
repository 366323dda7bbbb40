//! Memory and time of the table of claims.
//!
//! The table is filled to its limit with claims that arrive at the rate of the target, half of
//! them ended. A plain map of the same claims, as wide as the messages carry them, is the
//! baseline.

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

/// Claims each second at the size of the target.
const CLAIMS_PER_S: u64 = 100;
/// Claims in one command.
const BATCH: usize = 64;
/// When the first claim is made, in seconds since the Unix epoch.
const START_S: u64 = 1_700_000_000;

inventory::submit! {
    Experiment { name: "claims", about: "Memory and time of the table of claims", run }
}

/// A state that was restored from a snapshot is not the one that was saved.
#[derive(Debug, Snafu)]
#[snafu(display("the restored state differs"))]
struct RestoredStateDiffers;

fn run(args: ExperimentArgs) -> Result<Value, ExperimentError> {
    let count = usize::try_from(CLAIMS_PER_S * ClaimTable::RETENTION_S)?;
    let claims = draw(args.seed, count);
    let (wide_bytes, wide) = measure_bytes(|| fill_wide(&claims))?;
    let start = Instant::now();
    let (state_bytes, state) = measure_bytes(|| fill_state(&claims))?;
    let fill_s = start.elapsed().as_secs_f64();
    let (snapshot_bytes, snapshot) = measure_bytes(|| state.to_snapshot())?;
    let snapshot = snapshot?;
    let start = Instant::now();
    let restored = State::from_snapshot(&snapshot)?;
    let restore_ms = start.elapsed().as_secs_f64() * 1e3;
    if restored != state {
        return Err(RestoredStateDiffers.into());
    }
    let kept = state.claims().len();
    // Kept until here, so that no measurement reuses the memory of an earlier one.
    drop(wide);
    Ok(json!({
        "claims": kept,
        "max_claims": ClaimTable::MAX_CLAIMS,
        "retention_s": ClaimTable::RETENTION_S,
        "bytes_per_claim": per(state_bytes, kept),
        "baseline_bytes_per_claim": per(wide_bytes, count),
        "snapshot_bytes_per_claim": per(snapshot.len(), kept),
        "snapshot_rss_mb": mb(snapshot_bytes),
        "table_mb": mb(state_bytes),
        "applied_claims_per_s": (number(count) / fill_s).round(),
        "restore_ms": restore_ms,
    }))
}

/// Claims in the order of their issue.
fn draw(seed: u64, count: usize) -> Vec<Claim> {
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
    for batch in claims.chunks(BATCH) {
        let at_ms = batch[0].key.issued_s() * 1_000;
        let index = state.applied() + 1;
        black_box(state.apply(
            index,
            &Envelope::new(at_ms, Command::Claims(batch.to_vec())),
        ));
        let ends = batch.iter().step_by(2);
        let ends = ends.map(|claim| (claim.key, claim.request, ClaimEnd::Ran));
        let ends = Command::ClaimEnds(ends.collect());
        black_box(state.apply(index + 1, &Envelope::new(at_ms, ends)));
    }
    state
}

fn fill_wide(claims: &[Claim]) -> BTreeMap<ClaimKey, (Claim, Option<ClaimVerdict>)> {
    let mut wide = BTreeMap::new();
    for claim in claims {
        wide.insert(claim.key, (*claim, None));
    }
    wide
}

/// The growth of the resident memory of this process while `make` runs.
fn measure_bytes<T>(make: impl FnOnce() -> T) -> Result<(usize, T), ExperimentError> {
    let before = resident_bytes()?;
    let value = make();
    Ok((resident_bytes()?.saturating_sub(before), value))
}

fn resident_bytes() -> Result<usize, ExperimentError> {
    let pages = procfs::process::Process::myself()?.statm()?.resident;
    Ok(usize::try_from(pages * procfs::page_size())?)
}

fn per(bytes: usize, count: usize) -> f64 {
    (number(bytes) / number(count) * 10.0).round() / 10.0
}

fn mb(bytes: usize) -> f64 {
    (number(bytes) / 1e5).round() / 10.0
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
