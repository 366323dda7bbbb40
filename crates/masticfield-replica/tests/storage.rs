//! Tests of the data folder: synced writes survive, corrupt files are refused.

use std::fs::{self, OpenOptions};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use assert_matches::assert_matches;
use bytes::Bytes;
use masticfield_core::ids::ReplicaId;
use masticfield_replica::storage::{Storage, inspect};
use masticfield_replica::{Entry, EntryBody, HardState, OpenError, Snapshot, Write};
use rstest::rstest;
use tempfile::TempDir;

const ID: ReplicaId = ReplicaId::new(1);

fn entry(index: u64, term: u64) -> Write {
    let body = EntryBody::Payload(Bytes::from(format!("payload {index} of term {term}")));
    Write::Entry(Entry { index, term, body })
}

fn snapshot(index: u64, term: u64, keep_log: bool) -> Write {
    let snapshot = Snapshot {
        index,
        term,
        data: Bytes::from_static(b"state"),
        ..Snapshot::default()
    };
    Write::Snapshot { snapshot, keep_log }
}

/// A data folder to which the batches were written, and which is closed again.
fn folder_with(batches: &[Vec<Write>]) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    for batch in batches {
        storage.write(batch).unwrap();
    }
    dir
}

fn ten_entries() -> TempDir {
    let batches: Vec<_> = (1..=10).map(|index| vec![entry(index, 1)]).collect();
    folder_with(&batches)
}

fn segment_paths(dir: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(dir).unwrap().map(|file| file.unwrap().path());
    let mut segments: Vec<_> = files
        .filter(|path| {
            path.file_name()
                .unwrap()
                .to_str()
                .unwrap()
                .starts_with("log-")
        })
        .collect();
    segments.sort();
    segments
}

/// Opens the folder; returns the terms of the entries in its log.
fn terms(dir: &TempDir) -> Vec<u64> {
    let (_, stored) = Storage::open(dir.path(), ID).unwrap();
    stored.entries.iter().map(|entry| entry.term).collect()
}

#[rstest]
#[case::in_order(vec![vec![entry(1, 1), entry(2, 1)], vec![entry(3, 2)]], vec![1, 1, 2])]
#[case::overwritten(vec![vec![entry(1, 1), entry(2, 1), entry(3, 1)], vec![entry(2, 2)]], vec![1, 2])]
#[case::compacted(vec![vec![entry(1, 1), entry(2, 1), entry(3, 2)], vec![snapshot(2, 1, true)]], vec![2])]
#[case::replaced(vec![vec![entry(1, 1), entry(2, 1)], vec![snapshot(9, 3, false), entry(10, 3)]], vec![3])]
fn writes_are_read_back(#[case] batches: Vec<Vec<Write>>, #[case] expected: Vec<u64>) {
    assert_eq!(terms(&folder_with(&batches)), expected);
}

#[test]
fn hard_state_survives_compaction() {
    let hard_state = HardState {
        term: 7,
        vote: None,
    };
    let batches = [
        vec![Write::HardState(hard_state), entry(1, 7)],
        vec![snapshot(1, 7, true)],
        vec![snapshot(1, 7, true)],
    ];
    let dir = folder_with(&batches);
    let (_, stored) = Storage::open(dir.path(), ID).unwrap();
    assert_eq!(stored.hard_state, hard_state);
    assert_eq!(stored.snapshot.index, 1);
}

#[test]
fn compaction_removes_segments() {
    let dir = ten_entries();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    storage.write(&[snapshot(10, 1, true)]).unwrap();
    assert_eq!(segment_paths(dir.path()).len(), 1);
    assert!(fs::metadata(&segment_paths(dir.path())[0]).unwrap().len() < 100);
}

#[test]
fn entries_of_earlier_terms_do_not_follow_an_installed_snapshot() {
    let dir = ten_entries();
    let log = fs::read(&segment_paths(dir.path())[0]).unwrap();
    let segment_path = segment_paths(dir.path())[0].clone();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    storage.write(&[snapshot(5, 2, false)]).unwrap();
    drop(storage);
    // The state after a crash between installing the snapshot and removing the old segment.
    fs::write(segment_path, log).unwrap();
    let (_, stored) = Storage::open(dir.path(), ID).unwrap();
    assert_eq!((stored.snapshot.index, stored.entries.len()), (5, 0));
}

#[rstest]
#[case::partial_record(|bytes: &mut Vec<u8>| { let cut = bytes.len() - 5; bytes.truncate(cut); }, 9)]
#[case::partial_header(|bytes: &mut Vec<u8>| bytes.extend_from_slice(&[9; 7]), 10)]
#[case::zeros(|bytes: &mut Vec<u8>| bytes.extend_from_slice(&[0; 4_096]), 10)]
fn incomplete_tail_is_truncated(#[case] damage: fn(&mut Vec<u8>), #[case] expected: usize) {
    let dir = ten_entries();
    let path = &segment_paths(dir.path())[0];
    let mut bytes = fs::read(path).unwrap();
    damage(&mut bytes);
    fs::write(path, &bytes).unwrap();
    assert!(inspect(dir.path()).unwrap().truncated_bytes > 0);
    assert_eq!(terms(&dir).len(), expected);
    assert_eq!(inspect(dir.path()).unwrap().truncated_bytes, 0);
}

#[test]
fn every_flipped_byte_before_the_last_record_is_refused() {
    let dir = ten_entries();
    let path = &segment_paths(dir.path())[0];
    let intact = fs::read(path).unwrap();
    let last_record = intact.len() - last_record_bytes(&dir);
    for offset in 0..last_record {
        let mut bytes = intact.clone();
        bytes[offset] ^= 0x10;
        fs::write(path, &bytes).unwrap();
        assert_matches!(
            inspect(dir.path()),
            Err(OpenError::Corrupt { .. }),
            "byte {offset}"
        );
        assert_matches!(
            Storage::open(dir.path(), ID),
            Err(OpenError::Corrupt { .. })
        );
    }
}

/// Size of the last record, in bytes; appends another of the same size.
fn last_record_bytes(dir: &TempDir) -> usize {
    let bytes_before = fs::metadata(&segment_paths(dir.path())[0]).unwrap().len();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    storage.write(&[entry(10, 1)]).unwrap();
    let bytes_after = fs::metadata(&segment_paths(dir.path())[0]).unwrap().len();
    usize::try_from(bytes_after - bytes_before).unwrap()
}

#[rstest]
#[case::older_segment("log-", 1)]
#[case::only_segment("log-", 2)]
#[case::snapshot("snapshot", 2)]
#[case::identity("identity", 1)]
fn missing_file_is_refused(#[case] prefix: &str, #[case] snapshot_index: u64) {
    let dir = folder_with(&[
        vec![entry(1, 1), entry(2, 1)],
        vec![snapshot(snapshot_index, 1, true)],
        vec![entry(3, 1)],
    ]);
    let files = fs::read_dir(dir.path())
        .unwrap()
        .map(|file| file.unwrap().path());
    let matching = files.filter(|path| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with(prefix)
    });
    fs::remove_file(matching.min().unwrap()).unwrap();
    assert_matches!(
        Storage::open(dir.path(), ID),
        Err(OpenError::Corrupt { .. })
    );
}

#[rstest]
#[case::snapshot("snapshot")]
#[case::identity("identity")]
fn flipped_byte_in_file_is_refused(#[case] name: &str) {
    let dir = folder_with(&[vec![entry(1, 1)], vec![snapshot(1, 1, true)]]);
    let path = dir.path().join(name);
    let mut bytes = fs::read(&path).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, bytes).unwrap();
    assert_matches!(
        Storage::open(dir.path(), ID),
        Err(OpenError::Corrupt { .. })
    );
}

#[test]
fn incomplete_snapshot_file_is_ignored() {
    let dir = ten_entries();
    fs::write(dir.path().join("snapshot.partial"), b"half").unwrap();
    assert_eq!(terms(&dir).len(), 10);
}

#[test]
fn folder_that_is_open_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let _storage = Storage::open(dir.path(), ID).unwrap();
    assert_matches!(Storage::open(dir.path(), ID), Err(OpenError::Locked { .. }));
    assert_matches!(inspect(dir.path()), Err(OpenError::Locked { .. }));
}

#[test]
fn folder_of_another_replica_is_refused() {
    let dir = ten_entries();
    let opened = Storage::open(dir.path(), ReplicaId::new(2));
    assert_matches!(opened, Err(OpenError::WrongReplica { .. }));
}

#[test]
fn each_new_folder_has_its_own_incarnation() {
    let incarnation = || {
        let dir = tempfile::tempdir().unwrap();
        let (storage, _) = Storage::open(dir.path(), ID).unwrap();
        storage.identity().incarnation()
    };
    assert_ne!(incarnation(), incarnation());
}

#[test]
fn failed_sync_is_returned() {
    let dir = tempfile::tempdir().unwrap();
    let syncs = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&syncs);
    let sync = Arc::new(
        move |file: &fs::File| match counter.fetch_add(1, Ordering::Relaxed) {
            0..=2 => file.sync_data(),
            _ => Err(io::ErrorKind::StorageFull.into()),
        },
    );
    let (mut storage, _) = Storage::open_with(dir.path(), ID, sync).unwrap();
    storage.write(&[entry(1, 1)]).unwrap();
    let failed = storage.write(&[entry(2, 1)]).unwrap_err();
    assert_eq!(failed.kind(), io::ErrorKind::StorageFull);
}

#[test]
fn batch_of_entries_costs_one_sync() {
    let dir = tempfile::tempdir().unwrap();
    let syncs = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&syncs);
    let sync = Arc::new(move |file: &fs::File| {
        counter.fetch_add(1, Ordering::Relaxed);
        file.sync_data()
    });
    let (mut storage, _) = Storage::open_with(dir.path(), ID, sync).unwrap();
    let syncs_before = syncs.load(Ordering::Relaxed);
    let batch: Vec<_> = (1..=500).map(|index| entry(index, 1)).collect();
    storage.write(&batch).unwrap();
    assert_eq!(syncs.load(Ordering::Relaxed) - syncs_before, 1);
}

#[test]
fn large_log_spans_segments() {
    let dir = tempfile::tempdir().unwrap();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    let body = EntryBody::Payload(Bytes::from(vec![7; 3 * 1024 * 1024]));
    for index in 1..=7 {
        let entry = Entry {
            index,
            term: 1,
            body: body.clone(),
        };
        storage.write(&[Write::Entry(entry)]).unwrap();
    }
    drop(storage);
    assert_eq!(segment_paths(dir.path()).len(), 3);
    assert_eq!(terms(&dir).len(), 7);
    let mut first = OpenOptions::new()
        .append(true)
        .open(&segment_paths(dir.path())[0])
        .unwrap();
    first.write_all(&[1, 2, 3]).unwrap();
    assert_matches!(
        Storage::open(dir.path(), ID),
        Err(OpenError::Corrupt { .. })
    );
}
