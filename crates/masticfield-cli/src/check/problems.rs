//! Errors of a note that was parsed.

use std::sync::Arc;

use masticfield_core::config::{NoteError, NoteProblem, SpecKind};
use masticfield_core::note::ReleaseNote;

use super::source_map::{Place, SourceMap};
use super::{Base, Finding, Rule};

/// Returns the errors in the versions of a note.
pub(super) fn versions(
    note: &ReleaseNote,
    base: Base<'_>,
    map: &SourceMap<'_>,
) -> impl Iterator<Item = Finding> {
    let (number, builds_on) = (note.number, note.builds_on);
    let stale = base.version().filter(|version| *version != builds_on);
    let stale = stale.map(|in_force| NoteError::StaleBase {
        number,
        builds_on,
        in_force,
    });
    let rising = number > builds_on;
    let rising = (!rising).then_some(NoteError::NumberNotRising { number, builds_on });
    let stale = stale.map(|error| version_error(&error, map.header("builds_on")));
    let rising = rising.map(|error| version_error(&error, map.header("number")));
    stale.into_iter().chain(rising)
}

fn version_error(error: &NoteError, place: Option<Place>) -> Finding {
    place_at(Finding::error(Rule::Base, error.to_string()), place)
}

/// Returns the finding of an inconsistency.
pub(super) fn finding(problem: &NoteProblem, map: &SourceMap<'_>) -> Finding {
    let (kind, name) = object(problem);
    let place = match problem {
        NoteProblem::Exists { .. } => map.declared(kind, name, "name"),
        NoteProblem::Missing { .. } => map.missing(kind, name),
        NoteProblem::OutOfRange { field, .. } => map.declared(kind, name, field),
        NoteProblem::Dangling {
            target,
            target_name,
            ..
        } => map
            .declared(kind, name, reference(kind, *target))
            .or_else(|| map.withdrawn(*target, target_name)),
    };
    let finding = Finding {
        kind: Some(kind),
        name: Some(Arc::clone(name)),
        ..Finding::error(Rule::Inconsistent, problem.to_string())
    };
    place_at(finding, place)
}

/// Whether the leader reports the problem whatever configuration the note builds on.
///
/// The problem is one of the note on an empty configuration.
pub(super) fn is_certain(problem: &NoteProblem, map: &SourceMap<'_>) -> bool {
    match problem {
        NoteProblem::Exists { .. } | NoteProblem::OutOfRange { .. } => true,
        NoteProblem::Missing { kind, name } => map.is_missing_in_any(*kind, name),
        NoteProblem::Dangling {
            target,
            target_name,
            ..
        } => map.withdrawn(*target, target_name).is_some(),
    }
}

/// The object that a problem is about.
pub(super) const fn object(problem: &NoteProblem) -> (SpecKind, &Arc<str>) {
    match problem {
        NoteProblem::Exists { kind, name }
        | NoteProblem::Missing { kind, name }
        | NoteProblem::Dangling { kind, name, .. }
        | NoteProblem::OutOfRange { kind, name, .. } => (*kind, name),
    }
}

/// The field by which one kind of object refers to another.
const fn reference(kind: SpecKind, target: SpecKind) -> &'static str {
    match (kind, target) {
        (SpecKind::Maintenance, _) => "pools",
        (_, SpecKind::Team) => "team",
        _ => "pool",
    }
}

fn place_at(finding: Finding, place: Option<Place>) -> Finding {
    let (position, field) = place.map(|place| (place.position, place.field)).unzip();
    Finding {
        position,
        field,
        ..finding
    }
}
