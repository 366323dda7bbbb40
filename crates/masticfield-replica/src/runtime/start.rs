//! Start of a replica.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use masticfield_core::clock::boot_now;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::disk_writer::DiskWriter;
use super::full_disk::RETRY_INTERVAL;
use super::message::Hello;
use super::request::Request;
use super::running::{RunningReplica, random_jitter};
use super::traffic::TrafficCounter;
use super::{deliver, listen};
use crate::consensus::Replica;
use crate::error::ListenSnafu;
use crate::storage::Storage;
use crate::{Applied, Membership, OpenError, PersistentState, ReplicaOptions, ReplicaStatus};

/// Maximum number of queued messages from peers; further ones wait in their connections.
const MAX_RECEIVED: usize = 1_024;

/// Channels and counters of a started replica, for its handle.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) status: watch::Receiver<ReplicaStatus>,
    pub(crate) members: watch::Receiver<Membership>,
    pub(crate) applied: mpsc::Receiver<Applied>,
    pub(crate) traffic: Arc<TrafficCounter>,
}

/// Opens the data folder and starts the tasks of a replica.
pub(crate) async fn start(
    options: ReplicaOptions,
    requests: mpsc::Receiver<Request>,
) -> Result<Started, OpenError> {
    let listener = bind(&options).await.context(ListenSnafu)?;
    let address = listener.as_ref().map(TcpListener::local_addr).transpose();
    let address = address.context(ListenSnafu)?;
    let (storage, stored) = open_storage(&options).await?;
    let identity = storage.identity();
    let hello = Hello {
        identity,
        address: address.unwrap_or(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        initial_members: if options.is_bootstrap_allowed() {
            initial_members(&options)
        } else {
            Vec::new()
        },
        has_state: stored != PersistentState::default(),
    };
    let replica = Replica::new(identity, options.consensus_timing(), stored)
        .started_at(boot_now(), random_jitter(options.consensus_timing()));
    let (status_tx, status) = watch::channel(ReplicaStatus {
        id: options.id(),
        leader: None,
        last_contact: boot_now(),
        term: replica.term(),
        committed: 0,
        lease_until: None,
        storage_failed: false,
        lacks_space: false,
        majority_lacks_space: false,
        needs_compaction: false,
        is_voter: false,
    });
    let (members_tx, members) = watch::channel(replica.log().members().clone());
    let (received_tx, received) = mpsc::channel(MAX_RECEIVED);
    if let Some(listener) = listener {
        tokio::spawn(listen::run(
            listener,
            options.peer_keys(),
            received_tx.clone(),
        ));
    }
    let (deliveries, applied) = deliver::spawn();
    let (hello_tx, _) = watch::channel(hello);
    let traffic = Arc::new(TrafficCounter::default());
    let running = RunningReplica {
        replica,
        timing: options.consensus_timing(),
        size: storage.size(),
        disk: DiskWriter::spawn(storage),
        no_space: None,
        disk_bytes: options.disk_size(),
        pending_writes: Vec::new(),
        pending_messages: Vec::new(),
        syncing_messages: None,
        links: std::collections::BTreeMap::new(),
        peers: options.peer_addresses().to_vec(),
        hello: hello_tx,
        known_peers: super::known_peers::KnownPeers::default(),
        pending_replies: std::collections::BTreeMap::new(),
        delivered_index: 0,
        last_payload_index: 0,
        _received: received_tx,
        deliveries,
        status: status_tx,
        members: members_tx,
        traffic: Arc::clone(&traffic),
        next_hello_at: std::time::Duration::ZERO,
        target_voters: options.target_voter_count(),
        keys: options.peer_keys(),
    };

    tokio::spawn(running.run(requests, received));
    Ok(Started {
        status,
        members,
        applied,
        traffic,
    })
}

async fn bind(options: &ReplicaOptions) -> std::io::Result<Option<TcpListener>> {
    if let Some(listener) = options.bound_listener() {
        let listener = listener.try_clone()?;
        listener.set_nonblocking(true)?;
        return TcpListener::from_std(listener).map(Some);
    }
    match options.listen_address() {
        Some(address) => TcpListener::bind(address).await.map(Some),
        None => Ok(None),
    }
}

/// Opens the data folder; waits as long as there is no space for what this has to write.
async fn open_storage(options: &ReplicaOptions) -> Result<(Storage, PersistentState), OpenError> {
    let mut waits_since = None;
    loop {
        let options = options.clone();
        let open =
            move || Storage::open_with_files(options.data_dir(), options.id(), options.file_ops());
        let opened = tokio::task::spawn_blocking(open).await;
        let opened = opened.expect("opening the folder does not panic");
        match opened {
            Err(error) if error.is_lack_of_space() => {
                if waits_since.is_none() {
                    log::warn!(error:%; "no space in the data folder; the replica waits to open it");
                    waits_since = Some(boot_now());
                }
            }
            opened => {
                if let Some(since) = waits_since {
                    let lasted = boot_now().saturating_sub(since);
                    log::info!(lasted:?; "the wait for space in the data folder has ended");
                }
                return opened;
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// The replica and its configured peers, in ascending order and without duplicates.
fn initial_members(options: &ReplicaOptions) -> Vec<masticfield_core::ids::ReplicaId> {
    let peers = options.peer_addresses().iter().map(|(id, _)| *id);
    let mut members: Vec<_> = peers.chain([options.id()]).collect();
    members.sort_unstable();
    members.dedup();
    members
}
