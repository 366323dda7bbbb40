//! Formatting of results as tables and sentences.

use std::time::{Duration, SystemTime};

use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::{Cell, Table};
use masticfield_core::operator::{
    FleetStatus, HistoryRow, HostRow, JobRow, NoteAccepted, PlanPreview, RolloutStatus, UpstreamRow,
};

use crate::logs::{Relation, Timeline};

/// Formats the acceptance of a note.
pub(crate) fn accepted(accepted: &NoteAccepted) -> String {
    let suffix = if accepted.repeated {
        " (it had been accepted before)"
    } else {
        ""
    };
    format!("note {} is accepted{suffix}", accepted.number)
}

/// Formats the status of a note that is in force.
pub(crate) fn rollout(status: &RolloutStatus) -> String {
    let after = status
        .in_force_after_ms
        .map_or_else(String::new, |millis| format!(" after {millis} ms"));
    let entries = status.acknowledged.len();
    format!(
        "note {} is in force on {entries} entries{after}",
        status.number
    )
}

/// Formats the changes that a note would cause.
pub(crate) fn preview(preview: &PlanPreview) -> String {
    let steps = preview
        .steps
        .iter()
        .map(|step| [step.action.to_string(), step.reason.to_string()]);
    let mut text = format!(
        "note {} would move {} hosts and {} tasks and keep {} hosts in reserve\n",
        preview.number, preview.host_moves, preview.job_moves, preview.buffer_hosts
    );
    for shortfall in &preview.shortfalls {
        text.push_str("not covered: ");
        text.push_str(shortfall);
        text.push('\n');
    }
    text.push_str(&table(["step", "reason"], steps));
    text
}

/// Formats the overview of the installation.
pub(crate) fn status(status: &FleetStatus) -> String {
    let leader = status
        .leader
        .map_or_else(|| "none".to_owned(), |leader| leader.to_string());
    let in_force = if status.in_force {
        "in force everywhere"
    } else {
        "not in force everywhere"
    };
    let entries = status.entries.iter().map(|row| {
        [
            row.entry.to_string(),
            row.zone.to_string(),
            row.version.to_string(),
        ]
    });
    let pools = status.pools.iter().map(|row| {
        [
            row.pool.to_string(),
            row.needed.to_string(),
            row.owned.to_string(),
            row.healthy.to_string(),
            row.draining.to_string(),
        ]
    });
    let services = status.services.iter().map(|row| {
        [
            row.service.to_string(),
            row.pool.to_string(),
            format!("{}/{}", row.serving, row.executors),
            format!("{}", row.availability),
            humantime::format_duration(Duration::from_secs(row.budget_left_s)).to_string(),
        ]
    });
    format!(
        "replica {}, leader {leader}, note {} {in_force}\n{}\n{}\n{}",
        status.replica,
        status.version,
        table(["entry", "zone", "note"], entries),
        table(["pool", "needed", "owned", "healthy", "draining"], pools),
        table(
            ["service", "pool", "executors", "promise", "budget left"],
            services
        ),
    )
}

/// Formats the list of hosts.
pub(crate) fn hosts(rows: &[HostRow]) -> String {
    let cells = rows.iter().map(|row| {
        [
            row.host.to_string(),
            row.zone.to_string(),
            row.rack.to_string(),
            row.pool.as_deref().unwrap_or("-").to_owned(),
            row.generation.to_string(),
            row.state.to_string(),
            row.health.to_string(),
        ]
    });
    table(
        [
            "host",
            "zone",
            "rack",
            "pool",
            "generation",
            "state",
            "health",
        ],
        cells,
    )
}

/// Formats the list of upstreams.
pub(crate) fn upstreams(rows: &[UpstreamRow]) -> String {
    let cells = rows.iter().map(|row| {
        [
            row.upstream.to_string(),
            row.service.to_string(),
            row.host.to_string(),
            row.zone.to_string(),
            row.address.to_string(),
            row.slots.to_string(),
            row.state.to_string(),
        ]
    });
    table(
        [
            "upstream", "service", "host", "zone", "address", "slots", "state",
        ],
        cells,
    )
}

/// Formats the list of jobs.
pub(crate) fn jobs(rows: &[JobRow]) -> String {
    let cells = rows.iter().map(|row| {
        [
            row.job.to_string(),
            row.pool.to_string(),
            row.team.to_string(),
            row.wanted.to_string(),
            row.running.to_string(),
            row.finished.to_string(),
            row.note.as_deref().unwrap_or_default().to_owned(),
        ]
    });
    table(
        [
            "job", "pool", "team", "wanted", "running", "finished", "note",
        ],
        cells,
    )
}

/// Formats events of the history.
pub(crate) fn history(rows: &[HistoryRow]) -> String {
    let cells = rows.iter().map(|row| {
        let time = SystemTime::UNIX_EPOCH + Duration::from_millis(row.at_ms);
        [
            row.index.to_string(),
            humantime::format_rfc3339_millis(time).to_string(),
            row.event.to_string(),
            row.reason.to_string(),
        ]
    });
    table(["index", "at", "event", "reason"], cells)
}

fn table<const N: usize>(header: [&str; N], rows: impl IntoIterator<Item = [String; N]>) -> String {
    let mut table = Table::new();
    table
        .load_style(UTF8_HORIZONTAL_ONLY)
        .set_header(header.map(Cell::new));
    table.add_rows(rows.into_iter().map(|row| row.map(Cell::new)));
    table.to_string()
}

/// Formats the timeline of a job, followed by the summary of its lines.
pub(crate) fn timeline(timeline: &Timeline) -> String {
    let rows = timeline.lines.iter().map(|line| {
        let relation = match line.relation {
            Relation::Job => "job",
            Relation::Executor => "executor",
            Relation::Common => "all",
        };
        let fields = line.fields.iter().map(|(name, value)| match value {
            serde_json::Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        let fields: Vec<_> = fields.collect();
        [
            line.at.clone(),
            relation.into(),
            line.origin.clone(),
            line.message.clone(),
            fields.join(" "),
        ]
    });
    let rows = table(["TIME", "TIE", "FROM", "WHAT", "FIELDS"], rows);
    let summary = timeline.summary.iter();
    let summary: Vec<_> = summary
        .map(|(kind, count)| format!("{count} x {kind}"))
        .collect();
    format!("{rows}\n{}: {}", timeline.job, summary.join(", "))
}
