//! Orders in which waiting jobs are scheduled.

/// Order in which waiting jobs of a pool get free capacity.
///
/// Jobs with long-running tasks come first in every order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum JobOrder {
    /// Jobs that can still be on time first, then by priority and due time.
    #[default]
    OnTimeFirst,
    /// By time of submission; a baseline for comparison.
    FirstComeFirstServed,
    /// By due time; a baseline for comparison.
    EarliestDeadline,
    /// By remaining critical path; a baseline for comparison.
    ShortestFirst,
    /// By priority and due time; a baseline for comparison.
    Priority,
    /// By value per core-second; a baseline for comparison.
    ValueDensity,
    /// As many jobs on time as possible, then by due time; a baseline for comparison.
    MooreHodgson,
}

impl JobOrder {
    /// Returns the name used in measurement reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OnTimeFirst => "on_time_first",
            Self::FirstComeFirstServed => "fifo",
            Self::EarliestDeadline => "earliest_deadline",
            Self::ShortestFirst => "shortest_first",
            Self::Priority => "priority",
            Self::ValueDensity => "value_density",
            Self::MooreHodgson => "moore_hodgson",
        }
    }
}
