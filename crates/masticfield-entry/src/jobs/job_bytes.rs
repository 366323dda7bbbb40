//! Memory of decoded jobs.

use std::sync::Arc;

use masticfield_jobs::job::{JobSpec, StepSpec};

/// Estimates the memory that a decoded job holds, in bytes.
pub fn job_bytes(job: &JobSpec) -> usize {
    let text = |text: &Option<Arc<str>>| text.as_ref().map_or(0, |text| text.len());
    let steps = job.steps.iter().map(|step| {
        let texts = text(&step.label) + text(&step.data_rack) + text(&step.image);
        texts + step.depends_on.capacity() * size_of::<u16>()
    });
    let steps: usize = steps.sum();
    steps + job.steps.capacity() * size_of::<StepSpec>() + job.payload.len()
}
