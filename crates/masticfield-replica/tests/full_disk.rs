//! Tests of a data folder on a disk that refuses writes beyond a budget of bytes.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use masticfield_core::ids::ReplicaId;
use masticfield_replica::storage::{FileOps, Storage, StorageSize, inspect, is_lack_of_space};
use masticfield_replica::{Entry, EntryBody, HardState, PersistentState, Snapshot, Write};
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

const ID: ReplicaId = ReplicaId::new(1);

/// Bytes that the disk still takes.
#[derive(Clone)]
struct Budget(Arc<AtomicU64>);

impl Budget {
    fn unlimited() -> Self {
        Self(Arc::new(AtomicU64::new(u64::MAX)))
    }

    fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::SeqCst);
    }

    fn left(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }

    /// Writes what fits, and fails if that is not all.
    fn files(&self) -> FileOps {
        let budget = self.clone();
        FileOps::default().with_write(Arc::new(move |mut file: &File, bytes: &[u8]| {
            let fitting = usize::try_from(budget.left()).unwrap().min(bytes.len());
            budget.set(budget.left() - fitting as u64);
            file.write_all(&bytes[..fitting])?;
            if fitting < bytes.len() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            Ok(())
        }))
    }
}

fn entry(index: u64, term: u64, bytes: usize) -> Write {
    let payload = vec![u8::try_from(index % 251).unwrap(); bytes];
    let body = EntryBody::Payload(Bytes::from(payload));
    Write::Entry(Entry { index, term, body })
}

fn snapshot(index: u64, term: u64, keep_log: bool) -> Write {
    let snapshot = Snapshot {
        index,
        term,
        data: Bytes::from(vec![9; 50]),
        ..Snapshot::default()
    };
    Write::Snapshot { snapshot, keep_log }
}

fn hard_state(term: u64) -> HardState {
    HardState { term, vote: None }
}

fn open(dir: &Path, budget: &Budget) -> (Storage, PersistentState) {
    Storage::open_with_files(dir, ID, budget.files()).unwrap()
}

/// Number of writes of `batch` after which `before` equals `stored`, apart from the hard state.
fn durable_writes(
    mut before: PersistentState,
    batch: &[Write],
    stored: &PersistentState,
) -> Option<usize> {
    for count in 0..=batch.len() {
        before.hard_state = stored.hard_state;
        if before == *stored {
            return Some(count);
        }
        if let Some(write) = batch.get(count) {
            assert!(before.replay(write.clone()));
        }
    }
    None
}

/// Guards against a torn record before later ones, at every byte at which the disk can be full.
#[rstest]
#[case::entries(vec![Write::HardState(hard_state(2)), entry(4, 2, 40), entry(5, 2, 40)])]
#[case::overwritten(vec![Write::HardState(hard_state(2)), entry(2, 2, 40), entry(3, 2, 40)])]
#[case::compaction(vec![entry(4, 1, 40), snapshot(3, 1, true), entry(5, 1, 40)])]
#[case::installed_snapshot(vec![snapshot(20, 2, false), entry(21, 2, 40)])]
fn folder_is_recovered_from_every_partial_write(
    #[case] batch: Vec<Write>,
    #[values(false, true)] restart: bool,
) {
    let before = [entry(1, 1, 40), entry(2, 1, 40), entry(3, 1, 40)];
    let total = {
        let (dir, budget) = (tempfile::tempdir().unwrap(), Budget::unlimited());
        let (mut storage, _) = open(dir.path(), &budget);
        storage.write(&before).unwrap();
        let left = budget.left();
        storage.write(&batch).unwrap();
        left - budget.left()
    };
    for bytes in 0..total {
        let (dir, budget) = (tempfile::tempdir().unwrap(), Budget::unlimited());
        let (mut storage, mut model) = open(dir.path(), &budget);
        storage.write(&before).unwrap();
        for write in before.clone() {
            assert!(model.replay(write));
        }
        budget.set(bytes);
        let error = storage.write(&batch).unwrap_err();
        assert!(is_lack_of_space(&error), "{error}");
        assert!(
            storage.write(&[entry(9, 9, 1)]).is_err(),
            "not before it is recovered"
        );
        assert!(
            storage
                .recover(hard_state(3))
                .unwrap_err()
                .is_lack_of_space()
        );
        budget.set(u64::MAX);
        let stored = if restart {
            drop(storage);
            let (opened, stored) = open(dir.path(), &budget);
            storage = opened;
            stored
        } else {
            storage.recover(hard_state(3)).unwrap()
        };
        assert!(
            durable_writes(model, &batch, &stored).is_some(),
            "full after {bytes} bytes"
        );
        let mut expected = stored.clone();
        let next = stored.last_index() + 1;
        let more = [Write::HardState(hard_state(4)), entry(next, 4, 10)];
        storage.write(&more).unwrap();
        drop(storage);
        for write in more {
            assert!(expected.replay(write));
        }
        assert_eq!(inspect(dir.path()).unwrap().truncated_bytes, 0);
        assert_eq!(
            open(dir.path(), &budget).1,
            expected,
            "full after {bytes} bytes"
        );
    }
}

/// Guards against a segment without its first record, which would be corrupt after a restart.
#[rstest]
#[case::before_the_segment(0)]
#[case::within_its_first_record(7)]
fn full_disk_at_the_start_of_a_segment_is_recovered(#[case] bytes_after_the_batch: u64) {
    let (dir, budget) = (tempfile::tempdir().unwrap(), Budget::unlimited());
    let (mut storage, _) = open(dir.path(), &budget);
    let large: Vec<_> = (1..=9).map(|index| entry(index, 1, 1024 * 1024)).collect();
    let batch_bytes = {
        let (other, counted) = (tempfile::tempdir().unwrap(), Budget::unlimited());
        let (mut storage, _) = open(other.path(), &counted);
        let left = counted.left();
        storage.write(&large).unwrap();
        // The first record of the next segment is a hard state like that of an empty folder.
        let first_record = std::fs::read_dir(other.path()).unwrap();
        let sizes = first_record.map(|file| file.unwrap().metadata().unwrap().len());
        let smallest = sizes.filter(|size| *size > 10).min().unwrap();
        left - counted.left() - smallest
    };
    budget.set(batch_bytes + bytes_after_the_batch);
    assert!(is_lack_of_space(&storage.write(&large).unwrap_err()));
    budget.set(u64::MAX);
    let stored = storage.recover(hard_state(1)).unwrap();
    assert_eq!(stored.last_index(), 9);
    storage.write(&[entry(10, 1, 10)]).unwrap();
    drop(storage);
    assert_eq!(open(dir.path(), &budget).1.last_index(), 10);
}

/// Guards against records that a failed sync has left: a later sync can succeed without them.
#[test]
fn records_whose_sync_failed_are_removed() {
    let dir = tempfile::tempdir().unwrap();
    let full = Arc::new(AtomicU64::new(0));
    let switch = Arc::clone(&full);
    let files = FileOps::default().with_sync(Arc::new(move |file: &File| {
        match switch.load(Ordering::SeqCst) {
            0 => file.sync_data(),
            _ => Err(io::ErrorKind::QuotaExceeded.into()),
        }
    }));
    let (mut storage, _) = Storage::open_with_files(dir.path(), ID, files).unwrap();
    storage.write(&[entry(1, 1, 40)]).unwrap();
    full.store(1, Ordering::SeqCst);
    assert!(is_lack_of_space(
        &storage.write(&[entry(2, 1, 40)]).unwrap_err()
    ));
    assert!(
        storage
            .recover(hard_state(1))
            .unwrap_err()
            .is_lack_of_space()
    );
    full.store(0, Ordering::SeqCst);
    assert_eq!(storage.recover(hard_state(1)).unwrap().last_index(), 1);
}

/// Guards against the repair of a folder whose disk fails otherwise.
#[rstest]
#[case::full(io::ErrorKind::StorageFull, true)]
#[case::quota(io::ErrorKind::QuotaExceeded, true)]
#[case::size_of_a_file(io::ErrorKind::FileTooLarge, true)]
#[case::read_only(io::ErrorKind::ReadOnlyFilesystem, false)]
#[case::device(io::ErrorKind::Other, false)]
#[case::memory(io::ErrorKind::OutOfMemory, false)]
fn lack_of_space_is_told_from_other_errors(#[case] kind: io::ErrorKind, #[case] expected: bool) {
    assert_eq!(is_lack_of_space(&kind.into()), expected);
}

/// Guards against a probe that lets a replica take part for a single record.
#[test]
fn folder_is_not_recovered_for_little_space() {
    let (dir, budget) = (tempfile::tempdir().unwrap(), Budget::unlimited());
    let (mut storage, _) = open(dir.path(), &budget);
    budget.set(5);
    assert!(storage.write(&[entry(1, 1, 40)]).is_err());
    budget.set(10_000);
    assert!(
        storage
            .recover(hard_state(1))
            .unwrap_err()
            .is_lack_of_space()
    );
    budget.set(1_000_000);
    assert_eq!(storage.recover(hard_state(1)).unwrap().last_index(), 0);
}

/// Guards against a wrong size after a restart, a new segment or a compaction.
#[test]
fn size_is_that_of_the_files() {
    let (dir, budget) = (tempfile::tempdir().unwrap(), Budget::unlimited());
    let (mut storage, _) = open(dir.path(), &budget);
    let on_disk = || {
        let files = std::fs::read_dir(dir.path()).unwrap();
        let files = files.map(|file| file.unwrap());
        let counted = files.filter(|file| file.file_name() != "identity");
        counted
            .map(|file| file.metadata().unwrap().len())
            .sum::<u64>()
    };
    let large: Vec<_> = (1..=9).map(|index| entry(index, 1, 1024 * 1024)).collect();
    for batch in [large, vec![entry(10, 1, 100)], vec![snapshot(10, 1, true)]] {
        storage.write(&batch).unwrap();
        assert_eq!(storage.size().total_bytes, on_disk());
    }
    drop(storage);
    assert_eq!(open(dir.path(), &budget).0.size().total_bytes, on_disk());
}

#[rstest]
#[case::small(10, 0, false)]
#[case::snapshot_fits_twice(100, 70, false)]
#[case::no_space_for_another_snapshot(110, 70, true)]
fn compaction_is_due_while_there_is_space_for_it(
    #[case] total_mb: u64,
    #[case] snapshot_mb: u64,
    #[case] expected: bool,
) {
    let size = StorageSize {
        total_bytes: total_mb << 20,
        snapshot_bytes: snapshot_mb << 20,
    };
    assert_eq!(size.needs_compaction(192 << 20), expected);
}

/// One batch of a random run: its entries, whether a snapshot follows, and the budget.
fn batches() -> impl Strategy<Value = Vec<(usize, bool, Option<u64>, bool)>> {
    let budget = prop_oneof![Just(None), (0..2_500_u64).prop_map(Some)];
    vec((0..6_usize, any::<bool>(), budget, any::<bool>()), 1..30)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against the loss of synced writes, and of the order of writes, over many fillings.
    #[test]
    fn synced_writes_survive_full_disks(batches in batches()) {
        let (dir, budget) = (tempfile::tempdir().unwrap(), Budget::unlimited());
        let (mut storage, mut model) = open(dir.path(), &budget);
        for (term, (entries, compacts, bytes, restart)) in (1_u64..).zip(batches) {
            let mut batch = vec![Write::HardState(hard_state(term))];
            let first = model.last_index() + 1;
            batch.extend((first..).take(entries).map(|index| entry(index, term, 200)));
            if compacts && model.last_index() > model.snapshot.index {
                let index = model.last_index();
                let of_term = model.entries.last().unwrap().term;
                batch.push(snapshot(index, of_term, true));
            }
            budget.set(bytes.unwrap_or(u64::MAX));
            let result = storage.write(&batch);
            budget.set(u64::MAX);
            if result.is_ok() {
                for write in batch {
                    assert!(model.replay(write));
                }
                continue;
            }
            let stored = if restart {
                drop(storage);
                let (opened, stored) = open(dir.path(), &budget);
                storage = opened;
                stored
            } else {
                storage.recover(hard_state(term)).unwrap()
            };
            prop_assert!(durable_writes(model, &batch, &stored).is_some());
            model = stored;
        }
        drop(storage);
        prop_assert_eq!(inspect(dir.path()).unwrap().truncated_bytes, 0);
        prop_assert_eq!(open(dir.path(), &budget).1, model);
    }
}
