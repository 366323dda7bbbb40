//! Timelines of jobs: which log lines are included and how they are classified.

use std::time::Duration;

use masticfield_cli::logs::{LogLine, Relation, Timeline};
use rstest::rstest;

const JOB: &str = "9f9e3699c3d5658a";

const LINES: [&str; 8] = [
    r#"{"at":"2026-01-01T00:00:09.000Z","program":"entry","message":"not served","path":"/q/9f9e3699c3d5658a","reply":"Unknown"}"#,
    r#"3.1 core-1 {"at":"2026-01-01T00:00:10.000Z","program":"control","message":"job accepted","job":"9f9e3699c3d5658a"}"#,
    r#"{"at":"2026-01-01T00:00:10.020Z","program":"control","message":"placed","run":"9f9e3699c3d5658a.0.0.0#1","executor":6,"id":"e6"}"#,
    r#"{"at":"2026-01-01T00:00:10.030Z","program":"control","message":"placed","run":"00000000000000a1.0.0.0#1","executor":6,"id":"e6"}"#,
    r#"{"at":"2026-01-01T00:00:11.000Z","program":"control","message":"executor does not answer","executor":6}"#,
    r#"{"at":"2026-01-01T00:00:11.500Z","program":"control","message":"executor does not answer","executor":7}"#,
    r#"{"at":"2026-01-01T00:00:14.000Z","program":"control","message":"run ended","run":"9f9e3699c3d5658a.0.0.0#1","executor":6,"how":"lapsed"}"#,
    r#"{"at":"2026-01-01T00:00:08.500Z","program":"entry","message":"the leading replica is not connected","why":""}"#,
];

fn timeline(around: Duration) -> Timeline {
    let lines = LINES.iter().filter_map(|text| LogLine::parse(text));
    Timeline::gather(lines, JOB, around)
}

#[test]
fn a_timeline_has_lines_about_the_job_its_executors_and_all_jobs() {
    let timeline = timeline(Duration::from_secs(1));
    let lines: Vec<_> = timeline
        .lines
        .iter()
        .map(|line| (line.relation, line.message.as_str()))
        .collect();
    assert_eq!(
        lines,
        [
            (Relation::Common, "the leading replica is not connected"),
            (Relation::Job, "not served"),
            (Relation::Job, "job accepted"),
            (Relation::Job, "placed"),
            (Relation::Executor, "executor does not answer"),
            (Relation::Job, "run ended"),
        ]
    );
    assert_eq!(timeline.summary.get("run ended: lapsed"), Some(&1));
    assert_eq!(timeline.lines[2].origin, "3.1 core-1 control");
}

#[test]
fn lines_outside_the_time_around_the_job_are_excluded() {
    let timeline = timeline(Duration::from_millis(100));
    assert!(
        timeline
            .lines
            .iter()
            .all(|line| line.relation != Relation::Common),
        "{timeline:?}"
    );
}

#[rstest]
#[case::text("not a log line")]
#[case::truncated(r#"{"at":"2026-01-01T00:00:09.000Z","program""#)]
#[case::of_another_program(r#"{"level":"info","msg":"hello"}"#)]
fn lines_of_other_formats_are_skipped(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), None);
}
