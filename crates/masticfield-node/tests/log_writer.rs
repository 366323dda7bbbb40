//! Log lines are bounded, and their writer never waits.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use masticfield_node::log_writer::{LineBudget, LineVerdict, LogWriter};

/// A reader that stands still until it is released.
struct Stalled(Receiver<()>);

impl Write for Stalled {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Dropping the sender ends the wait.
        _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_budget_are_counted_and_told_later() {
    let mut budget = LineBudget::default();
    let start = Instant::now();
    let written = (0..500).filter(|_| budget.admit(start, "refused") != LineVerdict::Suppress);
    assert_eq!(written.count(), 200);
    let other = budget.admit(start, "leads");
    assert_eq!(other, LineVerdict::Write { suppressed: 0 });
    let later = budget.admit(start + Duration::from_secs(1), "refused");
    assert_eq!(later, LineVerdict::Write { suppressed: 300 });
}

#[test]
fn a_reader_that_stands_still_blocks_nobody() {
    let (release, stalled) = channel();
    let writer = LogWriter::spawn(Stalled(stalled));
    for _ in 0..10_000 {
        writer.write("line".into());
    }
    // The buffer holds 4,096 lines, and the thread took at most 257 before it stood still.
    assert!(writer.dropped() >= 5_000, "{}", writer.dropped());
    drop(release);
}
