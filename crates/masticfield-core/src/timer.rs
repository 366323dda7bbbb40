//! A timer service with periodic and one-shot subscriptions.
//!
//! One task waits for all deadlines of a process. A subscription ends when its receiver is
//! dropped.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::timer::Timer;
//!
//! # tokio::runtime::Builder::new_current_thread().enable_time().build()?.block_on(async {
//! let timer = Timer::spawn();
//! let mut ticks = timer.every(Duration::from_millis(1));
//! let tick = ticks.recv().await.expect("the timer runs as long as a handle exists");
//! assert_eq!(tick.number(), 1);
//! # });
//! # Ok::<(), std::io::Error>(())
//! ```

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::time::DelayQueue;

/// Handle to the timer service of a process.
#[derive(Debug, Clone)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Subscription>,
}

/// Event that a subscription of the timer sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    number: u64,
    sent_at: Instant,
}

#[derive(Debug)]
struct Subscription {
    delay: Duration,
    period: Option<Duration>,
    number: u64,
    tx: mpsc::Sender<Tick>,
}

impl Timer {
    /// Starts the service; it ends when the last handle is dropped and no subscription is left.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime with time enabled.
    pub fn spawn() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self { tx }
    }

    /// Subscribes to a tick every `period`, starting one period from now.
    ///
    /// A tick is skipped if the previous one has not been received.
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Tick> {
        self.subscribe(period, Some(period))
    }

    /// Subscribes to a single tick `delay` from now.
    pub fn after(&self, delay: Duration) -> mpsc::Receiver<Tick> {
        self.subscribe(delay, None)
    }

    fn subscribe(&self, delay: Duration, period: Option<Duration>) -> mpsc::Receiver<Tick> {
        let (tx, rx) = mpsc::channel(1);
        let subscription = Subscription {
            delay,
            period,
            number: 0,
            tx,
        };
        // If the service has ended, the sender is dropped and the receiver yields `None`.
        drop(self.tx.send(subscription));
        rx
    }
}

impl Tick {
    /// Returns the number of the tick in its subscription, counted from 1.
    pub const fn number(self) -> u64 {
        self.number
    }

    /// Returns the time at which the tick was sent.
    pub const fn sent_at(self) -> Instant {
        self.sent_at
    }
}

async fn run(mut rx: mpsc::UnboundedReceiver<Subscription>) {
    let mut queue = DelayQueue::new();
    let mut open = true;
    while open || !queue.is_empty() {
        tokio::select! {
            subscription = rx.recv(), if open => match subscription {
                Some(subscription) => {
                    let delay = subscription.delay;
                    queue.insert(subscription, delay);
                }
                None => open = false,
            },
            Some(expired) = std::future::poll_fn(|cx| queue.poll_expired(cx)), if !queue.is_empty() => {
                if let Some((subscription, period)) = fire(expired.into_inner()) {
                    queue.insert(subscription, period);
                }
            }
        }
    }
}

/// Sends a tick; returns the subscription and its period if it continues.
fn fire(mut subscription: Subscription) -> Option<(Subscription, Duration)> {
    subscription.number += 1;
    let tick = Tick {
        number: subscription.number,
        sent_at: Instant::now(),
    };
    let sent = subscription.tx.try_send(tick);
    match (sent, subscription.period) {
        (Err(mpsc::error::TrySendError::Closed(_)), _) | (_, None) => None,
        (_, Some(period)) => Some((subscription, period)),
    }
}
