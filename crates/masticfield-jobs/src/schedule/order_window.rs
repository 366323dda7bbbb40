//! Limit on requests to the platform.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of the platform's window, with a margin for requests that arrive closer together than
/// they were sent.
const WINDOW: Duration = Duration::from_millis(1_050);

/// Number of requests that may be sent within any second.
///
/// The platform accepts a number of requests per second and answers further ones with 429. Whether
/// it counts in fixed seconds, in a sliding second or with a token bucket is not documented. A
/// sliding window satisfies all three, and lets the whole number go at once after an idle second.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_jobs::schedule::OrderWindow;
///
/// let mut window = OrderWindow::default();
/// window.record(Duration::from_secs(1));
/// assert_eq!(window.available(Duration::from_millis(1_500), 3), 2);
/// assert_eq!(window.available(Duration::from_millis(2_500), 3), 3);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderWindow {
    sent: VecDeque<Duration>,
}

impl OrderWindow {
    /// Records a request that is sent now.
    pub fn record(&mut self, now: Duration) {
        self.sent.push_back(now);
    }

    /// Returns how many requests may be sent now if `per_second` are accepted.
    pub fn available(&mut self, now: Duration, per_second: u32) -> usize {
        while self.sent.front().is_some_and(|sent| now >= *sent + WINDOW) {
            self.sent.pop_front();
        }
        (per_second as usize).saturating_sub(self.sent.len())
    }
}
