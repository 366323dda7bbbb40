//! Problems and warnings of configurations of queues.

use std::sync::Arc;

use masticfield_jobs::job::Resources;
use masticfield_jobs::queue::{
    AdviceConfig, ConfigWarning, InvalidConfig, KeyDigest, PoolConfig, QueueConfig, QueuesConfig,
    WorkspaceConfig,
};
use rstest::rstest;

fn queue(name: &str, prefix: &str) -> QueueConfig {
    QueueConfig {
        name: name.into(),
        authority: "a.example".into(),
        prefix: prefix.into(),
        pool: "p".into(),
        timeout_ms: 3_000,
        target_ms: 600,
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        advice: None,
        public: false,
    }
}

fn pool(name: &str, standby: bool) -> PoolConfig {
    PoolConfig {
        name: name.into(),
        max_connections: 64,
        rejects_overload: false,
        standby,
    }
}

fn workspace(name: &str, keys: &[&str]) -> WorkspaceConfig {
    WorkspaceConfig {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::new(key).unwrap())
            .collect(),
        weight: 1.0,
        quota: Resources::default(),
    }
}

/// A configuration without problems and warnings: a prefix of another queue hides nothing.
fn config() -> QueuesConfig {
    QueuesConfig {
        version: 1,
        queues: vec![queue("q", "/q/"), queue("all", "/")],
        pools: vec![pool("p", false), pool("standby", true)],
        limits: None,
        workspaces: Some(vec![workspace("w", &["k1", "k2"])]),
    }
}

fn name() -> Arc<str> {
    "q".into()
}

#[test]
fn a_sound_configuration_has_neither_problems_nor_warnings() {
    let config = config();
    assert_eq!(config.problems(), []);
    assert_eq!(config.warnings(), []);
    assert_eq!(config.check(), Ok(()));
}

#[test]
fn all_problems_are_returned_and_the_first_one_refuses_the_configuration() {
    let mut config = config();
    config.pools.push(pool("p", false));
    config.queues[0].pool = "nothing".into();
    config.queues[0].timeout_ms = 0;
    config.queues.push(queue("q", "/"));
    let twice = vec![workspace("w", &["k1"]), workspace("w", &["k1"])];
    config.workspaces = Some(twice);
    let problems = config.problems();
    assert_eq!(
        problems,
        [
            InvalidConfig::DuplicateName { name: "p".into() },
            InvalidConfig::UnknownPool {
                queue: name(),
                pool: "nothing".into()
            },
            InvalidConfig::ZeroTimeout { queue: name() },
            InvalidConfig::DuplicateRoute { queue: name() },
            InvalidConfig::DuplicateName { name: name() },
            InvalidConfig::DuplicateWorkspace { name: "w".into() },
            InvalidConfig::DuplicateKey {
                workspace: "w".into(),
                other: "w".into()
            },
        ]
    );
    assert_eq!(config.check(), Err(problems[0].clone()));
}

#[rstest]
#[case::standby_pool(
    |config: &mut QueuesConfig| config.queues[0].pool = "standby".into(),
    vec![ConfigWarning::StandbyPool { queue: name(), pool: "standby".into() }]
)]
#[case::timeout_below_objective(
    |config: &mut QueuesConfig| config.queues[0].target_ms = 3_001,
    vec![ConfigWarning::TimeoutBelowObjective { queue: name() }]
)]
#[case::timeout_at_the_objective(
    |config: &mut QueuesConfig| config.queues[0].target_ms = 3_000,
    vec![]
)]
#[case::advice_never_valid(
    |config: &mut QueuesConfig| config.queues[0].advice = Some(AdviceConfig {
        decision_ms: 1,
        period_ms: 1,
        validity_ms: 0,
    }),
    vec![ConfigWarning::AdviceNeverValid { queue: name() }]
)]
#[case::unused_pool(
    |config: &mut QueuesConfig| config.pools.push(pool("p-2", false)),
    vec![ConfigWarning::UnusedPool { pool: "p-2".into() }]
)]
#[case::no_keys(
    |config: &mut QueuesConfig| config.workspaces = Some(vec![workspace("w", &["k"]), workspace("w-2", &[])]),
    vec![ConfigWarning::NoKeys { workspace: "w-2".into() }]
)]
#[case::no_callers(
    |config: &mut QueuesConfig| {
        config.workspaces = Some(Vec::new());
        config.queues[1].public = true;
    },
    vec![ConfigWarning::NoCallers { queue: name() }]
)]
#[case::no_workspaces(|config: &mut QueuesConfig| config.workspaces = None, vec![])]
fn entries_without_effect_and_contradictory_limits_are_warned_of(
    #[case] change: fn(&mut QueuesConfig),
    #[case] expected: Vec<ConfigWarning>,
) {
    let mut config = config();
    change(&mut config);
    assert_eq!(config.warnings(), expected);
    assert_eq!(config.problems(), []);
}
