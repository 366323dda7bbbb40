//! Operations of a property test.

/// One operation on the simulated entries, network or upstreams.
#[derive(Debug, Clone)]
pub enum Op {
    /// Lets a number of milliseconds pass.
    Advance(u64),
    /// Admits requests at an entry.
    Admit {
        entry: usize,
        count: usize,
        idempotent: bool,
    },
    /// Ends dispatches of an entry; `outcome` is an index into the possible outcomes.
    Finish {
        entry: usize,
        count: usize,
        outcome: usize,
    },
    /// Cuts the link between two entries, in both directions.
    Cut(usize, usize),
    /// Cuts all links of an entry.
    Isolate(usize),
    /// Restores all links.
    Heal,
    /// Stops an entry for good, while its requests run on at the upstreams.
    Kill(usize),
    /// Restarts an entry, which closes its connections.
    Restart(usize),
    /// Sets which entries an entry considers live, as a bit set.
    View(usize, u8),
    /// Makes the views of all entries correct.
    CorrectViews,
    /// Stops an entry gracefully.
    Stop(usize),
    /// Makes an upstream leave.
    Leave(usize),
}
