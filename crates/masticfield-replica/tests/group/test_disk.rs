//! A disk that refuses writes beyond a budget of bytes.

use std::fs::File;
use std::io::{self, Write as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use masticfield_replica::storage::WriteFn;

/// A disk of which a test sets how many more bytes it takes; clones refer to the same disk.
#[derive(Debug, Clone)]
pub struct TestDisk {
    budget: Arc<AtomicU64>,
}

impl TestDisk {
    /// Creates disks that take any number of bytes.
    pub fn several(count: usize) -> Vec<Self> {
        let disk = || Self {
            budget: Arc::new(AtomicU64::new(u64::MAX)),
        };
        std::iter::repeat_with(disk).take(count).collect()
    }

    /// Lets the disk take `bytes` more, and then a part of one more write.
    pub fn fill_after(&self, bytes: u64) {
        self.budget.store(bytes, Ordering::SeqCst);
    }

    pub fn free(&self) {
        self.budget.store(u64::MAX, Ordering::SeqCst);
    }

    pub fn write_fn(&self) -> WriteFn {
        let budget = Arc::clone(&self.budget);
        Arc::new(move |mut file: &File, bytes: &[u8]| {
            let take = |left: u64| Some(left.saturating_sub(bytes.len() as u64));
            let left = budget.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
            let fitting = usize::try_from(left.unwrap()).unwrap_or(usize::MAX);
            if bytes.len() <= fitting {
                return file.write_all(bytes);
            }
            file.write_all(&bytes[..fitting])?;
            Err(io::ErrorKind::StorageFull.into())
        })
    }
}
