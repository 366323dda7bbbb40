//! Data folders with damaged files. Opening one may fail but must not panic.

use std::fs;
use std::path::PathBuf;

use bytes::Bytes;
use masticfield_core::ids::ReplicaId;
use masticfield_replica::storage::{Storage, inspect};
use masticfield_replica::{Entry, EntryBody, HardState, Snapshot, Write};
use proptest::prelude::*;
use proptest::sample::Index;
use tempfile::TempDir;

const ID: ReplicaId = ReplicaId::new(1);

/// A data folder with an identity, a snapshot and a log.
fn folder() -> TempDir {
    let dir = tempfile::tempdir().unwrap();
    let (mut storage, _) = Storage::open(dir.path(), ID).unwrap();
    let entry = |index| {
        let body = EntryBody::Payload(Bytes::from_static(b"payload"));
        Write::Entry(Entry {
            index,
            term: 2,
            body,
        })
    };
    let snapshot = Snapshot {
        index: 3,
        term: 2,
        data: Bytes::from_static(b"state"),
        ..Snapshot::default()
    };
    let hard_state = HardState {
        term: 2,
        vote: None,
    };
    let keep_log = true;
    storage.write(&[Write::HardState(hard_state)]).unwrap();
    storage
        .write(&(1..=6).map(entry).collect::<Vec<_>>())
        .unwrap();
    storage
        .write(&[Write::Snapshot { snapshot, keep_log }])
        .unwrap();
    storage
        .write(&(7..=9).map(entry).collect::<Vec<_>>())
        .unwrap();
    dir
}

fn files(dir: &TempDir) -> Vec<PathBuf> {
    let files = fs::read_dir(dir.path()).unwrap();
    let mut files: Vec<_> = files.map(|file| file.unwrap().path()).collect();
    files.sort();
    files
}

fn open(dir: &TempDir) {
    _ = inspect(dir.path());
    _ = Storage::open(dir.path(), ID);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn no_damaged_file_takes_the_storage_down(
        file in any::<Index>(),
        damage in prop::collection::vec((any::<Index>(), any::<u8>()), 0..4),
        cut in prop::option::of(any::<Index>()),
        tail in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let dir = folder();
        let files = files(&dir);
        let path = file.get(&files);
        let mut bytes = fs::read(path).unwrap();
        if !bytes.is_empty() {
            for (at, byte) in damage {
                *at.get_mut(&mut bytes) = byte;
            }
            if let Some(cut) = cut {
                bytes.truncate(cut.index(bytes.len()));
            }
        }
        bytes.extend(tail);
        fs::write(path, bytes).unwrap();
        open(&dir);
    }

    #[test]
    fn no_replaced_file_takes_the_storage_down(
        file in any::<Index>(),
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let dir = folder();
        fs::write(file.get(&files(&dir)), bytes).unwrap();
        open(&dir);
    }
}
