//! Jobs as callers submit them: steps of identical tasks, with dependencies between steps.

mod id;
mod resources;
mod spec;
mod step;

pub use id::{JobId, ParseIdError, RunId, TaskId};
pub use resources::Resources;
pub use spec::{InvalidJob, JobSpec, MAX_TASKS, Timetable};
pub use step::StepSpec;
