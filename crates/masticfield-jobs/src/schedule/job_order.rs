//! Rules by which waiting jobs get room.

/// Rules by which waiting jobs get room; jobs whose tasks last come first under each.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum JobOrder {
    /// Those that can be on time first, by priority and due time.
    #[default]
    OnTimeFirst,
    /// As they came; a baseline.
    FirstComeFirstServed,
    /// By due time; a baseline.
    EarliestDeadline,
    /// By what is left of their chain of work; a baseline.
    ShortestFirst,
}

impl JobOrder {
    /// The name in figures.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OnTimeFirst => "on_time_first",
            Self::FirstComeFirstServed => "fifo",
            Self::EarliestDeadline => "earliest_deadline",
            Self::ShortestFirst => "shortest_first",
        }
    }
}
