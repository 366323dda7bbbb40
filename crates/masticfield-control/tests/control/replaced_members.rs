//! Entries of a control group whose members are replaced.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use masticfield_control::jobs::{JobControl, JobControlHandle, JobMetrics, serve_entries};
use masticfield_core::ids::ReplicaId;
use masticfield_entry::jobs::{JobRequestMetrics, LeaderLink, LeaderLinkHandle, LeaderLinkOptions};
use masticfield_jobs::job::{JobId, JobSpec, Resources, StepSpec};
use masticfield_jobs::leader::{JobRequest, JobRequestKind, LeaderOptions, Refusal, Reply};
use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use masticfield_jobs::state::JobStatus;
use masticfield_replica::{Membership, ReplicaHandle, ReplicaOptions};
use prometheus::Registry;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

// The ports are the same on all hosts, as each test process has its own loopback addresses.
const REPLICA_PORT: u16 = 7060;
const ENTRY_PORT: u16 = 7061;

/// Time limit for a condition to hold, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A control replica that accepts entries; it ends when it is dropped.
struct Member {
    ip: IpAddr,
    replica: ReplicaHandle,
    control: JobControlHandle,
    _tasks: JoinSet<()>,
    _dir: TempDir,
    _orders: mpsc::UnboundedReceiver<masticfield_control::jobs::OutboundOrder>,
}

/// The address of a host, by its number.
fn ip(host: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, low, host).into()
}

fn peers(hosts: &[u8]) -> Vec<(ReplicaId, SocketAddr)> {
    let peer = |host: &u8| {
        let address = SocketAddr::new(ip(*host), REPLICA_PORT);
        (ReplicaId::new(u64::from(*host)), address)
    };
    hosts.iter().map(peer).collect()
}

/// Starts a replica on a host with an empty disk.
async fn start(host: u8, seeds: &[u8], first_start: bool) -> Member {
    let others: Vec<_> = seeds.iter().copied().filter(|seed| *seed != host).collect();
    let dir = tempfile::tempdir().unwrap();
    let options = ReplicaOptions::new(ReplicaId::new(host.into()), dir.path())
        .listen(SocketAddr::new(ip(host), REPLICA_PORT))
        .peers(peers(&others))
        .target_voters(3)
        .may_bootstrap(first_start);
    let (replica, applied) = ReplicaHandle::open(options).await.unwrap();
    let (orders, orders_rx) = mpsc::unbounded_channel();
    let metrics = JobMetrics::register(&Registry::new()).unwrap();
    let leader = LeaderOptions::new(Duration::from_secs(5));
    let (job_control, control) = JobControl::new(replica.clone(), applied, leader, orders, metrics);
    let listener = TcpListener::bind((ip(host), ENTRY_PORT)).await.unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(job_control.run());
    tasks.spawn(serve_entries(listener, control.clone()));
    Member {
        ip: ip(host),
        replica,
        control,
        _tasks: tasks,
        _dir: dir,
        _orders: orders_rx,
    }
}

fn connect_entry(seeds: &[u8]) -> LeaderLinkHandle {
    let seeds = seeds.iter().map(|seed| SocketAddr::new(ip(*seed), 0));
    connect_entry_with(watch::channel(seeds.collect()).1)
}

fn connect_entry_with(seeds: watch::Receiver<Vec<SocketAddr>>) -> LeaderLinkHandle {
    let options = LeaderLinkOptions {
        process: 1,
        seeds,
        port: ENTRY_PORT,
    };
    let metrics = JobRequestMetrics::register(&Registry::new()).unwrap();
    let (link, handle) = LeaderLink::new(options, metrics);
    tokio::spawn(link.run());
    handle
}

async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let held = tokio::time::timeout(TIMEOUT, waiting).await;
    assert!(held.is_ok(), "{what}: not within {TIMEOUT:?}");
}

fn leader_of(members: &[Member]) -> Option<&Member> {
    members
        .iter()
        .find(|member| member.control.view().is_leader)
}

/// Waits until a leader lists exactly the running replicas, and each of them knows all as voters.
///
/// Until then the group may have two voters, and does not outlive the loss of one.
async fn await_members(members: &[Member]) {
    let mut running: Vec<_> = members.iter().map(|member| member.ip).collect();
    running.sort_unstable();
    eventually("the group has the running members as voters", || {
        let known_to_all = members.iter().all(|member| {
            let group = member.replica.members();
            voters(&group) == running
        });
        known_to_all
            && leader_of(members).is_some_and(|leader| {
                let listed = leader.control.view().members;
                let mut listed: Vec<_> = listed.iter().map(SocketAddr::ip).collect();
                listed.sort_unstable();
                listed == running
            })
    })
    .await;
}

/// The addresses of the voters of a group, in ascending order.
fn voters(group: &Membership) -> Vec<IpAddr> {
    let voters = group.voters().filter_map(|voter| group.address(voter));
    let mut ips: Vec<_> = voters.map(|address| address.ip()).collect();
    ips.sort_unstable();
    ips
}

/// Stops a member and waits until a new replica on `host` has taken its place.
async fn replace(members: &mut Vec<Member>, index: usize, host: u8) {
    let seeds: Vec<_> = members
        .iter()
        .map(|member| match member.ip {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(_) => unreachable!("all hosts have IPv4 addresses"),
        })
        .collect();
    members.push(start(host, &seeds, false).await);
    drop(members.remove(index));
    await_members(members).await;
}

fn config() -> QueuesConfig {
    QueuesConfig {
        version: 1,
        queues: vec![QueueConfig {
            name: "q".into(),
            authority: "a.example".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout_ms: 3_000,
            target_ms: 600,
            priority: 0,
            max_attempts: 2,
            stretch: 1.6,
            advice: None,
            public: false,
        }],
        pools: vec![PoolConfig {
            name: "p".into(),
            max_connections: 64,
            rejects_overload: false,
            standby: false,
        }],
        limits: None,
        workspaces: None,
    }
}

fn request(kind: JobRequestKind) -> JobRequest {
    JobRequest {
        authority: "a.example".into(),
        path: format!("/q/{}", JobId::new(7)),
        kind,
        key: None,
    }
}

fn job() -> JobSpec {
    JobSpec {
        payload: "".into(),
        steps: vec![StepSpec {
            count: 1,
            need: Resources {
                cpu_milli: 1_000,
                memory_mb: 10,
                gpus: 0,
            },
            estimate_ms: 500,
            ..StepSpec::default()
        }],
        timetable: None,
    }
}

/// Repeats a request, as a caller does, until the reply is `expected`.
async fn await_reply(entry: &LeaderLinkHandle, kind: &JobRequestKind, expected: &Reply) {
    let mut last = None;
    let asking = async {
        loop {
            let reply = entry.request(request(kind.clone())).await;
            if reply == *expected {
                return;
            }
            last = Some(reply);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let replied = tokio::time::timeout(TIMEOUT, asking).await;
    assert!(
        replied.is_ok(),
        "last reply {last:?} in place of {expected:?}"
    );
}

/// Starts a group of three and applies a configuration.
async fn start_group(seeds: &[u8; 3]) -> Vec<Member> {
    let mut members = Vec::new();
    for host in seeds {
        members.push(start(*host, seeds, true).await);
    }
    await_members(&members).await;
    let leader = leader_of(&members).unwrap().control.clone();
    let reply = leader.configure(config(), b"config".as_slice()).await;
    assert_eq!(reply, Reply::Done);
    members
}

/// Guards against an entry that answers every caller with "come back later" for good, once all
/// replicas that it knew when it connected to the leader are gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_finds_the_leader_after_all_members_were_replaced() {
    let seeds = [1, 2, 3];
    let mut members = start_group(&seeds).await;
    let entry = connect_entry(&seeds);
    await_reply(&entry, &JobRequestKind::Submit(job()), &Reply::Done).await;

    // The leader is replaced last, so that the entry stays connected to it.
    for host in [4, 5, 6] {
        let leader = leader_of(&members).map(|member| member.ip);
        let mut replaced: Vec<_> = (0..members.len())
            .filter(|index| seeds.iter().any(|seed| ip(*seed) == members[*index].ip))
            .collect();
        replaced.sort_by_key(|index| Some(members[*index].ip) == leader);
        replace(&mut members, replaced[0], host).await;
    }

    let queued = Reply::Status(JobStatus::Queued);
    await_reply(&entry, &JobRequestKind::Read, &queued).await;
}

/// Guards against an entry that is started with seeds that are all gone, and does not read later ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_whose_seeds_are_gone_finds_the_leader_through_later_seeds() {
    let _members = start_group(&[11, 12, 13]).await;
    let gone = SocketAddr::new(ip(19), 0);
    let (seeds, rx) = watch::channel(vec![gone]);
    let entry = connect_entry_with(rx);
    let submit = JobRequestKind::Submit(job());
    let refused = entry.request(request(submit.clone())).await;
    assert_eq!(refused, Reply::Refused(Refusal::NotReady));
    seeds.send_replace(vec![SocketAddr::new(ip(12), 0)]);
    await_reply(&entry, &submit, &Reply::Done).await;
}

/// Guards against a replica that never joins the group as it was started with seeds that are all gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_whose_seeds_are_gone_joins_through_later_seeds() {
    let mut members = start_group(&[21, 22, 23]).await;
    let joining = start(24, &[28, 29], false).await;
    drop(members.pop());
    joining.replica.set_peers(peers(&[21, 22])).await.unwrap();
    members.push(joining);
    await_members(&members).await;
}
