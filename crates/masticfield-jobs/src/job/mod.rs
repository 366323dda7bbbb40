//! What a caller hands in: a job of steps, each of which has tasks.

mod id;
mod resources;
mod spec;
mod step;

pub use id::{JobId, ParseIdError, RunId, TaskId};
pub use resources::Resources;
pub use spec::{InvalidJob, JobSpec, MAX_TASKS, Timetable};
pub use step::StepSpec;
