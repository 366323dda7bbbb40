//! Whether an upstream is an outlier.

use std::time::Duration;

/// Faults in a row after which an upstream gets fewer requests.
const FEWER_AFTER: u32 = 2;
/// Faults in a row after which an upstream gets none.
const NONE_AFTER: u32 = 5;
/// How long an upstream is first set aside; doubles each time its trial fails.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest time that an upstream is set aside.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// How many requests an upstream gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Intake {
    /// As many as its slots allow.
    Full,
    /// A quarter of them, after some faults.
    Fewer,
    /// None, until a time.
    SetAside {
        /// When a trial may be made.
        until: Duration,
    },
    /// One request, whose end decides.
    Trial,
}

/// The recent faults of one upstream.
#[derive(Debug, Clone, Copy)]
pub struct Health {
    intake: Intake,
    faults: u32,
    pause: Duration,
}

impl Health {
    /// Creates the health of an upstream that has shown no fault.
    pub const fn new() -> Self {
        Self {
            intake: Intake::Full,
            faults: 0,
            pause: FIRST_PAUSE,
        }
    }

    /// How many requests the upstream gets.
    pub const fn intake(&self) -> Intake {
        self.intake
    }

    /// Whether the upstream gets no ordinary requests.
    pub const fn is_set_aside(&self) -> bool {
        matches!(self.intake, Intake::SetAside { .. } | Intake::Trial)
    }

    /// Most requests in flight, of the upstream's `slots`.
    pub fn cap(&self, slots: u16) -> u16 {
        match self.intake {
            Intake::Full => slots,
            Intake::Fewer => (slots / 4).max(1),
            Intake::SetAside { .. } => 0,
            Intake::Trial => 1,
        }
    }

    /// Notes a request that ended well.
    pub const fn succeed(&mut self) {
        *self = Self::new();
    }

    /// Notes a fault; the upstream is set aside only if `may_set_aside`.
    pub fn fail(&mut self, now: Duration, may_set_aside: bool) {
        self.faults += 1;
        let was_trial = self.intake == Intake::Trial;
        if was_trial || (self.faults >= NONE_AFTER && !self.is_set_aside()) {
            if was_trial {
                self.pause = (self.pause * 2).min(MAX_PAUSE);
            }
            self.intake = if was_trial || may_set_aside {
                Intake::SetAside {
                    until: now + self.pause,
                }
            } else {
                Intake::Fewer
            };
        } else if self.faults >= FEWER_AFTER && !self.is_set_aside() {
            self.intake = Intake::Fewer;
        }
    }

    /// Begins a trial once the pause is over.
    pub fn wake(&mut self, now: Duration) {
        if let Intake::SetAside { until } = self.intake
            && now >= until
        {
            self.intake = Intake::Trial;
        }
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
