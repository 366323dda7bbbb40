//! What happens to the routers.

/// Something that happens to the routers.
#[derive(Debug, Clone)]
pub enum Op {
    Advance(u64),
    Admit {
        entry: usize,
        count: usize,
        idempotent: bool,
    },
    Finish {
        entry: usize,
        count: usize,
        ending: usize,
    },
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    Kill(usize),
    Restart(usize),
    View(usize, u8),
    TrueViews,
    Stop(usize),
    Leave(usize),
}
