//! Declarations that are identified by name.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{NoteProblem, SpecKind};
use crate::note::{HostSpec, JobSpec, MaintenanceSpec, PoolSpec, ServiceSpec, TeamSpec};

/// A declaration that is identified by its name.
pub(super) trait Named: Clone {
    /// Kind of the declared object.
    const KIND: SpecKind;

    /// Returns the name of the declared object.
    fn name(&self) -> &Arc<str>;
}

macro_rules! named {
    ($($spec:ty => $kind:ident),* $(,)?) => {
        $(impl Named for $spec {
            const KIND: SpecKind = SpecKind::$kind;

            fn name(&self) -> &Arc<str> {
                &self.name
            }
        })*
    };
}

named! {
    HostSpec => Host,
    PoolSpec => Pool,
    ServiceSpec => Service,
    TeamSpec => Team,
    JobSpec => Job,
    MaintenanceSpec => Maintenance,
}

/// Applies the three sections of a note to the declarations of one kind.
///
/// Names that should exist but do not, and the reverse, are added to `problems`.
pub(super) fn apply_sections<T: Named>(
    specs: &mut BTreeMap<Arc<str>, T>,
    added: &[T],
    changed: &[T],
    withdrawn: &[Arc<str>],
    problems: &mut Vec<NoteProblem>,
) {
    for name in withdrawn {
        if specs.remove(name).is_none() {
            problems.push(NoteProblem::Missing {
                kind: T::KIND,
                name: Arc::clone(name),
            });
        }
    }
    for spec in changed {
        let name = Arc::clone(spec.name());
        if specs.insert(Arc::clone(&name), spec.clone()).is_none() {
            problems.push(NoteProblem::Missing {
                kind: T::KIND,
                name,
            });
        }
    }
    for spec in added {
        let name = Arc::clone(spec.name());
        if specs.insert(Arc::clone(&name), spec.clone()).is_some() {
            problems.push(NoteProblem::Exists {
                kind: T::KIND,
                name,
            });
        }
    }
}
