//! A stand-in for the leading control replica.

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

pub struct Control {
    pub address: SocketAddr,
    pub claims: Arc<Mutex<ClaimTable>>,
    /// How many of the next claim messages are made durable but not answered.
    pub unanswered: Arc<AtomicUsize>,
}

impl Control {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let control = Self {
            address: listener.local_addr().unwrap(),
            claims: Arc::default(),
            unanswered: Arc::default(),
        };
        let note = ReleaseNote::from_toml(NOTE).unwrap();
        let config = Box::new(FleetConfig::default().apply(&note).unwrap());
        let (claims, unanswered) = (Arc::clone(&control.claims), Arc::clone(&control.unanswered));
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let link = Connection::new(stream).unwrap();
                tokio::spawn(converse(
                    link,
                    Arc::clone(&claims),
                    Arc::clone(&unanswered),
                    config.clone(),
                ));
            }
        });
        control
    }
}

async fn converse(
    mut link: Connection<EntryToControl, ControlToEntry>,
    table: Arc<Mutex<ClaimTable>>,
    unanswered: Arc<AtomicUsize>,
    config: Box<FleetConfig>,
) -> Result<(), WireError> {
    loop {
        let msg = match link.receive().await? {
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
                let silent = |left: usize| left.checked_sub(1);
                if unanswered
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, silent)
                    .is_ok()
                {
                    // The connection breaks before the verdicts are sent.
                    return Ok(());
                }
                ControlToEntry::Verdicts { sequence, verdicts }
            }
            EntryToControl::EndedClaims(ends) => {
                let mut table = table.lock().unwrap();
                for ended in &ends {
                    table.end(ended.key, ended.request, ended.end);
                }
                continue;
            }
            EntryToControl::Upstreams { .. } => continue,
        };
        link.send(&msg).await?;
    }
}
