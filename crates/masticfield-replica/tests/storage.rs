//! Tests of the data folder: what is synced survives, what is damaged is refused.

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

fn folder(batches: &[Vec<Write>]) -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    for batch in batches {
        storage.write(batch).unwrap();
    }
    dir
}

fn ten_entries() -> TempDir {
    let batches: Vec<_> = (1..=10).map(|index| vec![entry(index, 1)]).collect();
    folder(&batches)
}

fn segments(dir: &Path) -> Vec<PathBuf> {
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

fn terms(dir: &TempDir) -> Vec<u64> {
    let (_, stored) = Storage::open(dir.path(), ID).unwrap();
    stored.entries.iter().map(|entry| entry.term).collect()
}

#[rstest]
#[case::in_order(vec![vec![entry(1, 1), entry(2, 1)], vec![entry(3, 2)]], vec![1, 1, 2])]
#[case::overwritten(vec![vec![entry(1, 1), entry(2, 1), entry(3, 1)], vec![entry(2, 2)]], vec![1, 2])]
#[case::compacted(vec![vec![entry(1, 1), entry(2, 1), entry(3, 2)], vec![snapshot(2, 1, true)]], vec![2])]
#[case::replaced(vec![vec![entry(1, 1), entry(2, 1)], vec![snapshot(9, 3, false), entry(10, 3)]], vec![3])]
fn what_is_written_is_read_back(#[case] batches: Vec<Vec<Write>>, #[case] expected: Vec<u64>) {
    assert_eq!(terms(&folder(&batches)), expected);
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
    let dir = folder(&batches);
    let (_, stored) = Storage::open(dir.path(), ID).unwrap();
    assert_eq!(stored.hard_state, hard_state);
    assert_eq!(stored.snapshot.index, 1);
}

#[test]
fn compaction_removes_segments() {
    let dir = ten_entries();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    storage.write(&[snapshot(10, 1, true)]).unwrap();
    assert_eq!(segments(dir.path()).len(), 1);
    assert!(fs::metadata(&segments(dir.path())[0]).unwrap().len() < 100);
}

#[test]
fn entries_of_earlier_terms_do_not_follow_an_installed_snapshot() {
    let dir = ten_entries();
    let log = fs::read(&segments(dir.path())[0]).unwrap();
    let name = segments(dir.path())[0].clone();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    storage.write(&[snapshot(5, 2, false)]).unwrap();
    drop(storage);
    // As if the crash came before the old segment was removed.
    fs::write(name, log).unwrap();
    let (_, stored) = Storage::open(dir.path(), ID).unwrap();
    assert_eq!((stored.snapshot.index, stored.entries.len()), (5, 0));
}

#[rstest]
#[case::half_a_record(|bytes: &mut Vec<u8>| { let cut = bytes.len() - 5; bytes.truncate(cut); }, 9)]
#[case::half_a_header(|bytes: &mut Vec<u8>| bytes.extend_from_slice(&[9; 7]), 10)]
#[case::zeros(|bytes: &mut Vec<u8>| bytes.extend_from_slice(&[0; 4_096]), 10)]
fn torn_tail_is_cut(#[case] tear: fn(&mut Vec<u8>), #[case] expected: usize) {
    let dir = ten_entries();
    let path = &segments(dir.path())[0];
    let mut bytes = fs::read(path).unwrap();
    tear(&mut bytes);
    fs::write(path, &bytes).unwrap();
    assert!(inspect(dir.path()).unwrap().truncated_bytes > 0);
    assert_eq!(terms(&dir).len(), expected);
    assert_eq!(inspect(dir.path()).unwrap().truncated_bytes, 0);
}

#[test]
fn every_flipped_byte_before_the_last_record_is_refused() {
    let dir = ten_entries();
    let path = &segments(dir.path())[0];
    let sound = fs::read(path).unwrap();
    let last_record = sound.len() - record_bytes(&dir);
    for at in 0..last_record {
        let mut bytes = sound.clone();
        bytes[at] ^= 0x10;
        fs::write(path, &bytes).unwrap();
        assert_matches!(
            inspect(dir.path()),
            Err(OpenError::Damaged { .. }),
            "byte {at}"
        );
        assert_matches!(
            Storage::open(dir.path(), ID),
            Err(OpenError::Damaged { .. })
        );
    }
}

/// Size of the last record.
fn record_bytes(dir: &TempDir) -> usize {
    let ten = fs::metadata(&segments(dir.path())[0]).unwrap().len();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    storage.write(&[entry(10, 1)]).unwrap();
    let eleven = fs::metadata(&segments(dir.path())[0]).unwrap().len();
    usize::try_from(eleven - ten).unwrap()
}

#[rstest]
#[case::older_segment("log-", 1)]
#[case::only_segment("log-", 2)]
#[case::snapshot("snapshot", 2)]
#[case::identity("identity", 1)]
fn missing_file_is_refused(#[case] prefix: &str, #[case] snapshot_index: u64) {
    let dir = folder(&[
        vec![entry(1, 1), entry(2, 1)],
        vec![snapshot(snapshot_index, 1, true)],
        vec![entry(3, 1)],
    ]);
    let files = fs::read_dir(dir.path())
        .unwrap()
        .map(|file| file.unwrap().path());
    let named = files.filter(|path| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with(prefix)
    });
    fs::remove_file(named.min().unwrap()).unwrap();
    assert_matches!(
        Storage::open(dir.path(), ID),
        Err(OpenError::Damaged { .. })
    );
}

#[rstest]
#[case::snapshot("snapshot")]
#[case::identity("identity")]
fn flipped_byte_in_file_is_refused(#[case] name: &str) {
    let dir = folder(&[vec![entry(1, 1)], vec![snapshot(1, 1, true)]]);
    let path = dir.path().join(name);
    let mut bytes = fs::read(&path).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, bytes).unwrap();
    assert_matches!(
        Storage::open(dir.path(), ID),
        Err(OpenError::Damaged { .. })
    );
}

#[test]
fn partial_snapshot_is_not_read() {
    let dir = ten_entries();
    fs::write(dir.path().join("snapshot.partial"), b"half").unwrap();
    assert_eq!(terms(&dir).len(), 10);
}

#[test]
fn second_process_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let _storage = Storage::open(dir.path(), ID).unwrap();
    assert_matches!(Storage::open(dir.path(), ID), Err(OpenError::Locked { .. }));
    assert_matches!(inspect(dir.path()), Err(OpenError::Locked { .. }));
}

#[test]
fn other_replica_is_refused() {
    let dir = ten_entries();
    let opened = Storage::open(dir.path(), ReplicaId::new(2));
    assert_matches!(opened, Err(OpenError::OtherReplica { .. }));
}

#[test]
fn new_folder_has_another_incarnation() {
    let incarnation = || {
        let dir = tempfile::tempdir().unwrap();
        let (storage, _) = Storage::open(dir.path(), ID).unwrap();
        storage.identity().incarnation()
    };
    assert_ne!(incarnation(), incarnation());
}

#[test]
fn failed_sync_is_reported() {
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
fn many_entries_cost_one_sync() {
    let dir = tempfile::tempdir().unwrap();
    let syncs = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&syncs);
    let sync = Arc::new(move |file: &fs::File| {
        counter.fetch_add(1, Ordering::Relaxed);
        file.sync_data()
    });
    let (mut storage, _) = Storage::open_with(dir.path(), ID, sync).unwrap();
    let before = syncs.load(Ordering::Relaxed);
    let batch: Vec<_> = (1..=500).map(|index| entry(index, 1)).collect();
    storage.write(&batch).unwrap();
    assert_eq!(syncs.load(Ordering::Relaxed) - before, 1);
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
    assert_eq!(segments(dir.path()).len(), 3);
    assert_eq!(terms(&dir).len(), 7);
    let mut first = OpenOptions::new()
        .append(true)
        .open(&segments(dir.path())[0])
        .unwrap();
    first.write_all(&[1, 2, 3]).unwrap();
    assert_matches!(
        Storage::open(dir.path(), ID),
        Err(OpenError::Damaged { .. })
    );
}
