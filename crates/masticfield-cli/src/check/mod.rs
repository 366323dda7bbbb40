//! Check of a release note before it is sent.
//!
//! The check needs no connection. It reports everything at once: what makes the leader refuse the
//! note, entries that can never match anything, limits that contradict each other, and the
//! differences from the configuration that the note changes.
//!
//! # Examples
//!
//! ```
//! use masticfield_cli::check::{Base, check};
//!
//! let note = b"number = 1\nbuilds_on = 0\n[added]\npools = [{ name = \"a b\", hosts = 1 }]\n";
//! let report = check(note, Base::Unknown);
//! assert_eq!(report.errors(), 1);
//! assert_eq!(report.findings()[0].position.unwrap().line, 4);
//! ```

mod base;
mod change;
mod difference;
mod document;
mod finding;
mod found;
mod limits;
mod part;
mod path;
mod problems;
mod repair;
mod report;
mod source_map;
mod unmatched;
mod warning;

use masticfield_core::config::FleetConfig;
use masticfield_core::note::{ParseNoteError, ReleaseNote};

use document::Document;
use source_map::SourceMap;
use warning::Warning;

pub use base::Base;
pub use change::{Change, ChangeKind, FieldChange};
pub use finding::{Finding, Rule, Severity};
pub use report::Report;

/// Checks the release note in `bytes` against the configuration that it changes.
///
/// Every note that the leader refuses has an error in the report, and no other note has one, if
/// `base` is the configuration in force.
pub fn check(bytes: &[u8], base: Base<'_>) -> Report {
    match ReleaseNote::from_bytes(bytes) {
        Ok(note) => check_document(&Document::new(text(bytes), note), base),
        Err(error @ ParseNoteError::Syntax { .. }) => {
            check_document(&Document::repaired(text(bytes), &error), base)
        }
        Err(error) => Report::new(base, vec![Finding::unreadable(&error)]),
    }
}

/// The text of a note that was decoded, or whose bytes are known to be UTF-8.
fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap_or_default()
}

fn check_document(document: &Document<'_>, base: Base<'_>) -> Report {
    let mut findings = document.errors().to_vec();
    let Some(note) = document.note() else {
        return Report::new(base, findings);
    };
    let map = SourceMap::new(document.lines(), document.table());
    if document.has_versions() {
        findings.extend(problems::versions(note, base, &map));
    }
    let under = base.under(note);
    let (config, mut invalid) = under
        .as_deref()
        .unwrap_or(&FleetConfig::default())
        .merge(note);
    if under.is_none() {
        invalid.retain(|problem| problems::is_certain(problem, &map));
    }
    invalid.retain(|problem| document.is_certain_of(problem, &map));
    findings.extend(
        invalid
            .iter()
            .map(|problem| problems::finding(problem, &map)),
    );
    if !document.is_intact() {
        return Report::new(base, findings);
    }
    let warnings = warnings(note, &config, under.is_some()).into_iter();
    findings.extend(warnings.map(|warning| warning.locate(&map)));
    let report = Report::new(base, findings);
    match under {
        Some(under) => report.with_changes(difference::changes(&under, &config)),
        None => report,
    }
}

/// The warnings about a configuration, which may lack what the note builds on.
fn warnings(note: &ReleaseNote, config: &FleetConfig, is_complete: bool) -> Vec<Warning> {
    let mut warnings = unmatched::overridden(note);
    unmatched::check_objects(config, &mut warnings);
    limits::check_objects(config, &mut warnings);
    if is_complete {
        unmatched::check_fleet(config, &mut warnings);
        limits::check_fleet(config, &mut warnings);
    }
    warnings
}
