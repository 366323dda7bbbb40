//! The log writer limits the rate of each kind of line and never blocks.

use std::io::{ErrorKind, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use masticfield_node::log_writer::{LineBudget, LineVerdict, LogWriter};

/// An output that blocks until the sender is dropped.
struct Stalled(Receiver<()>);

impl Write for Stalled {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_over_the_rate_limit_are_suppressed_and_reported_later() {
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
fn a_blocked_output_does_not_block_the_program() {
    let (release, stalled) = channel();
    let writer = LogWriter::spawn(Stalled(stalled));
    for _ in 0..10_000 {
        writer.write("line".into());
    }
    // The queue holds 4,096 lines, and the thread takes at most 257 before its first write blocks.
    assert!(writer.dropped() >= 5_000, "{}", writer.dropped());
    drop(release);
}

/// An output that fails for lack of space, after a part of each write, while `full` is set.
struct Disk {
    full: Arc<AtomicBool>,
    written: Sender<Option<Vec<u8>>>,
}

impl Write for Disk {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if self.full.load(Ordering::SeqCst) {
            _ = self.written.send(None);
            return Err(ErrorKind::StorageFull.into());
        }
        _ = self.written.send(Some(buf.to_vec()));
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against the loss of every later line after one that a full disk has refused.
#[test]
fn lines_are_written_again_once_there_is_space() {
    let full = Arc::new(AtomicBool::new(true));
    let (written, attempts) = channel();
    let writer = LogWriter::spawn(Disk {
        full: Arc::clone(&full),
        written,
    });
    writer.write("refused".into());
    assert_eq!(attempts.recv().unwrap(), None);
    full.store(false, Ordering::SeqCst);
    writer.write("later".into());
    // The refused write may have left a part of a line.
    assert_eq!(attempts.recv().unwrap(), Some(b"\nlater\n".to_vec()));
    assert_eq!(writer.dropped(), 1);
}
