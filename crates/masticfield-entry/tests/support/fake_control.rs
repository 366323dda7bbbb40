//! A fake of the leading control replica, with a real claim table.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use masticfield_core::config::FleetConfig;
use masticfield_core::note::ReleaseNote;
use masticfield_state::ClaimTable;
use masticfield_wire::control::{ControlToEntry, EntryToControl};
use masticfield_wire::{Connection, WireError};
use tokio::net::TcpListener;

/// The release note of the configuration: one service, `shop`.
const NOTE: &str = r#"
number = 1
builds_on = 0
[[added.pools]]
name = "counter"
hosts = 1
[[added.services]]
name = "shop"
pool = "counter"
executors = 1
deadline = "2s"
max_body_bytes = 1000
"#;

pub struct FakeControl {
    pub address: SocketAddr,
    pub claims: Arc<Mutex<ClaimTable>>,
    /// Number of further claim messages that are recorded without sending their verdicts.
    pub lost_verdicts: Arc<AtomicUsize>,
}

impl FakeControl {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = Self {
            address: listener.local_addr().unwrap(),
            claims: Arc::default(),
            lost_verdicts: Arc::default(),
        };
        let note = ReleaseNote::from_toml(NOTE).unwrap();
        let config = Box::new(FleetConfig::default().apply(&note).unwrap());
        let (claims, lost_verdicts) = (
            Arc::clone(&control.claims),
            Arc::clone(&control.lost_verdicts),
        );
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let connection = Connection::new(stream).unwrap();
                tokio::spawn(serve(
                    connection,
                    Arc::clone(&claims),
                    Arc::clone(&lost_verdicts),
                    config.clone(),
                ));
            }
        });
        control
    }
}

async fn serve(
    mut connection: Connection<EntryToControl, ControlToEntry>,
    table: Arc<Mutex<ClaimTable>>,
    lost_verdicts: Arc<AtomicUsize>,
    config: Box<FleetConfig>,
) -> Result<(), WireError> {
    loop {
        let msg = match connection.receive().await? {
            EntryToControl::Hello(_) => ControlToEntry::Config(config.clone()),
            EntryToControl::Renew { sequence, version } => ControlToEntry::Lease {
                sequence,
                version,
                ttl: Duration::from_secs(10),
            },
            EntryToControl::Claims { sequence, claims } => {
                let now = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap()
                    .as_secs();
                let mut table = table.lock().unwrap();
                let verdicts = claims.iter().map(|claim| table.claim(now, claim)).collect();
                let decrement = |remaining: usize| remaining.checked_sub(1);
                if lost_verdicts
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                    .is_ok()
                {
                    // Close the connection before the verdicts are sent.
                    return Ok(());
                }
                ControlToEntry::Verdicts { sequence, verdicts }
            }
            EntryToControl::EndedClaims(ended_claims) => {
                let mut table = table.lock().unwrap();
                for ended in &ended_claims {
                    table.end(ended.key, ended.request, ended.end);
                }
                continue;
            }
            EntryToControl::Upstreams { .. } => continue,
        };
        connection.send(&msg).await?;
    }
}
