//! Sync rate of a disk.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use snafu::ResultExt;

use super::error::{IoSnafu, StateError};

/// Time for which the disk is measured.
const MEASURE_PERIOD: Duration = Duration::from_secs(3);

/// Size of one write in bytes, that of a log entry with one claim.
const WRITE_BYTES: usize = 96;

/// Number of small writes per second that can be appended and synced one after another.
pub(super) fn syncs_per_second(dir: &Path) -> Result<f64, StateError> {
    let mut file = File::create(dir.join("syncs")).context(IoSnafu)?;
    let start = Instant::now();
    let mut syncs = 0_u32;
    while start.elapsed() < MEASURE_PERIOD {
        file.write_all(&[7; WRITE_BYTES]).context(IoSnafu)?;
        file.sync_data().context(IoSnafu)?;
        syncs += 1;
    }
    Ok(f64::from(syncs) / start.elapsed().as_secs_f64())
}
