//! Outlier detection of one upstream.

use std::time::Duration;

/// Consecutive faults after which an upstream gets reduced traffic.
const REDUCED_AFTER: u32 = 2;
/// Consecutive faults after which an upstream is set aside.
const SET_ASIDE_AFTER: u32 = 5;
/// How long an upstream is set aside at first; doubles with each failed probe.
const INITIAL_PAUSE: Duration = Duration::from_secs(1);
/// Maximum time for which an upstream is set aside at once.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// How much traffic an upstream gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Traffic {
    /// As many requests as its slots allow.
    Full,
    /// A quarter of that, after a few faults.
    Reduced,
    /// No requests for a while.
    SetAside {
        /// Time from which a probe is allowed.
        until: Duration,
    },
    /// A single request, whose outcome decides between `Full` and `SetAside`.
    Probe,
}

/// Recent faults of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    traffic: Traffic,
    faults: u32,
    pause: Duration,
}

impl Health {
    /// Creates the health of an upstream without faults.
    pub const fn new() -> Self {
        Self {
            traffic: Traffic::Full,
            faults: 0,
            pause: INITIAL_PAUSE,
        }
    }

    /// The traffic that the upstream gets.
    pub const fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Whether the upstream gets no requests but a probe.
    pub const fn is_set_aside(&self) -> bool {
        matches!(self.traffic, Traffic::SetAside { .. } | Traffic::Probe)
    }

    /// Maximum number of requests in flight at an upstream with `slots` slots.
    pub fn cap(&self, slots: u16) -> u16 {
        match self.traffic {
            Traffic::Full => slots,
            Traffic::Reduced => (slots / 4).max(1),
            Traffic::SetAside { .. } => 0,
            Traffic::Probe => 1,
        }
    }

    /// Records a request that ended without a fault, which clears all earlier faults.
    pub const fn record_success(&mut self) {
        *self = Self::new();
    }

    /// Records a fault.
    ///
    /// Without `may_set_aside`, an upstream that would be set aside gets reduced traffic instead,
    /// unless a probe failed.
    pub fn record_fault(&mut self, now: Duration, may_set_aside: bool) {
        self.faults += 1;
        let was_probe = self.traffic == Traffic::Probe;
        if was_probe || (self.faults >= SET_ASIDE_AFTER && !self.is_set_aside()) {
            if was_probe {
                self.pause = (self.pause * 2).min(MAX_PAUSE);
            }
            self.traffic = if was_probe || may_set_aside {
                Traffic::SetAside {
                    until: now + self.pause,
                }
            } else {
                Traffic::Reduced
            };
        } else if self.faults >= REDUCED_AFTER && !self.is_set_aside() {
            self.traffic = Traffic::Reduced;
        }
    }

    /// Allows a probe once the pause has ended.
    pub fn allow_probe(&mut self, now: Duration) {
        if let Traffic::SetAside { until } = self.traffic
            && now >= until
        {
            self.traffic = Traffic::Probe;
        }
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
