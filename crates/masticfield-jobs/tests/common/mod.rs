//! What several tests of states and leaders share.

use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use masticfield_jobs::state::Command;

/// Returns the command that configures one queue and its pool.
pub(crate) fn configure(max_attempts: u32) -> Command {
    let config = QueuesConfig {
        version: 1,
        queues: vec![QueueConfig {
            name: "q".into(),
            authority: "a.example".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout_ms: 3_000,
            target_ms: 600,
            priority: 0,
            max_attempts,
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
    };
    Command::Configure {
        config,
        content: b"config"[..].into(),
    }
}
