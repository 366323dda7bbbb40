//! Lists of hosts of which some entries cannot be read.

use std::time::Duration;

use masticfield_jobs::job::Resources;
use masticfield_jobs::leader::{
    ClaimWatch, Event, HostOptions, Leader, LeaderOptions, ListedHost, Moment, ReplyId,
};
use masticfield_jobs::state::{Command, State, WaveOrder};
use rstest::rstest;

fn host(name: &str) -> ListedHost {
    ListedHost {
        name: name.into(),
        pool: "p".into(),
        up: true,
        kind: None,
        capacity: Resources::default(),
        executor: None,
    }
}

fn moment(elapsed_ms: u64) -> Moment {
    Moment {
        monotonic: Duration::from_millis(100_000 + elapsed_ms),
        wall_ms: 1_700_000_000_000 + elapsed_ms,
    }
}

/// Guards against a wave that is reported as completed although one of its hosts, whose entry could
/// not be read a few times, had no upkeep.
#[rstest]
#[case::partial(|hosts| Event::PartialHostList { hosts }, false)]
#[case::complete(|hosts| Event::HostList { hosts: Some(hosts) }, true)]
fn a_host_is_gone_only_if_complete_lists_lack_it(
    #[case] list: fn(Vec<ListedHost>) -> Event,
    #[case] expected: bool,
) {
    let options = LeaderOptions::new(Duration::from_secs(5)).hosts(HostOptions {
        move_time: Duration::from_millis(1_500),
        upkeep_time: Duration::from_secs(2),
        handover: Duration::from_secs(3),
        orders_per_s: None,
    });
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(State::default(), options, watch, moment(0));
    let hosts = Some(vec![host("m-1"), host("m-2")]);
    leader.handle(moment(1), Event::HostList { hosts });
    let order = WaveOrder {
        number: 1,
        hosts: vec!["m-1".into(), "m-2".into()],
        duration_ms: 60_000,
        cap: 1,
    };
    let reply_to = ReplyId(1);
    leader.handle(moment(2), Event::Wave { reply_to, order });
    let mut commands = leader.decide(moment(3)).commands;
    for elapsed_ms in 4..8 {
        leader.handle(moment(elapsed_ms), list(vec![host("m-1")]));
        commands.extend(leader.decide(moment(elapsed_ms)).commands);
    }
    let removed = commands
        .iter()
        .any(|command| matches!(command, Command::UpkeepBegun { host, .. } if &**host == "m-2"));
    assert_eq!(removed, expected);
}
