//! Slow start: limits the calls that one daemon has in flight at a target in cold start.
//!
//! Tracks the current limit of one target as this daemon sees it. While the target is cold or
//! warming up, the parts of all daemons never add up to more than that limit.

use std::time::Duration;

use azurelug_types::key;

/// Samples that the first-token median needs before it is used to detect a cold start.
const MIN_SAMPLES: usize = 16;
/// A first-token time over this multiple of the median indicates a cold target. Deadline estimates
/// assume that a cold target is this much slower.
pub const COLD_FACTOR: u32 = 4;
/// Consecutive slow first tokens that indicate a cold start. A single one is often just a long
/// prompt.
const MIN_CONSECUTIVE_SLOW: u8 = 2;
/// Minimum number of completed calls before the limit is raised by one step.
const MIN_COMPLETIONS: u32 = 4;
/// For this long after a report of a cold target, completed calls do not raise the limit.
const COLD_REPORT_VALIDITY: Duration = Duration::from_secs(5);

key! {
    /// This daemon's rank among the entry daemons that share a target.
    pub struct DaemonRank {
        /// Zero-based rank, less than `daemons`.
        pub rank: u32,
        /// Number of daemons that share the target, at least 1.
        pub daemons: u32,
    }

    /// Load of a target, as reported by the target or by a load-reporting service.
    pub struct LoadReport {
        /// Calls in progress or queued at the target.
        pub calls: u32,
        /// When they were counted, on this daemon's clock.
        pub taken_at: Duration,
        /// Whether the target is past its cold start.
        pub warm: bool,
        /// Identifies one start of the engine process; a later start has a larger stamp.
        pub start_stamp: u64,
    }

    /// Slow start phase of a target.
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// Nothing is known yet; treated as cold.
        Unknown,
        /// In cold start: the limit stays at the cold limit.
        Cold,
        /// No longer cold: the limit is raised step by step.
        Rising,
        /// The full limit applies.
        Warm,
    }
}

/// The slow start of one target.
#[derive(Clone, Debug)]
pub struct SlowStart {
    limit: u32,
    cold_limit: u32,
    current_limit: u32,
    phase: Phase,
    completed_calls: u32,
    consecutive_slow: u8,
    start_stamp: Option<u64>,
    /// When a cold start was last detected. Warm reports taken earlier are ignored.
    cold_since: Duration,
    /// When the target was last reported as cold.
    cold_reported_at: Option<Duration>,
}

impl DaemonRank {
    /// The position of a daemon that is the only one using its targets.
    pub const ALONE: Self = Self {
        rank: 0,
        daemons: 1,
    };

    /// This daemon's part of `total`. The parts of all ranks add up to `total`; `salt` spreads
    /// the remainders of different targets over different daemons.
    #[must_use]
    pub fn part(self, total: u32, salt: u32) -> u32 {
        let daemons = self.daemons.max(1);
        let rotated_rank = (self.rank % daemons + salt % daemons) % daemons;
        total / daemons + u32::from(rotated_rank < total % daemons)
    }
}

impl SlowStart {
    /// Creates the state of a target about which nothing is known.
    #[must_use]
    pub fn new(limit: u32, cold_limit: u32) -> Self {
        let cold_limit = cold_limit.min(limit);
        Self {
            limit,
            cold_limit,
            current_limit: cold_limit,
            phase: Phase::Unknown,
            completed_calls: 0,
            consecutive_slow: 0,
            start_stamp: None,
            cold_since: Duration::ZERO,
            cold_reported_at: None,
        }
    }

    /// Changes the limits and keeps the phase.
    pub fn set_limits(&mut self, limit: u32, cold_limit: u32) {
        self.limit = limit;
        self.cold_limit = cold_limit.min(limit);
        self.current_limit = match self.phase {
            Phase::Unknown | Phase::Cold => self.cold_limit,
            Phase::Rising => self.current_limit.clamp(self.cold_limit, limit),
            Phase::Warm => limit,
        };
    }

    /// The current limit of the whole target.
    #[must_use]
    pub fn current_limit(&self) -> u32 {
        self.current_limit
    }

    /// The phase, for state dumps.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Number of calls that this daemon may have in flight: the whole limit once the target is
    /// warm, because leased shares then divide it among the daemons, and this daemon's part before
    /// that.
    #[must_use]
    pub fn allowance(&self, position: DaemonRank, salt: u32) -> u32 {
        match self.phase {
            Phase::Warm => self.limit,
            _ => position.part(self.current_limit, salt),
        }
    }

    /// Applies a load report; `part` is this daemon's part of the current limit.
    pub fn apply_report(&mut self, report: &LoadReport, part: u32, now: Duration) {
        let previous = self.start_stamp.replace(report.start_stamp);
        let restarted = previous.is_some_and(|previous| previous != report.start_stamp);
        if !report.warm || restarted {
            self.enter_cold(now);
        }
        if !report.warm {
            self.cold_reported_at = Some(now);
            return;
        }
        if restarted || report.taken_at < self.cold_since {
            return;
        }
        self.cold_reported_at = None;
        match self.phase {
            Phase::Unknown => self.enter_warm(),
            Phase::Cold => self.phase = Phase::Rising,
            // A daemon whose part is 0 completes no calls, so reports raise its limit instead.
            Phase::Rising if part == 0 => self.raise_limit(),
            _ => {}
        }
    }

    /// Records a successful call. `median` is the target's median first-token time in microseconds
    /// with the number of samples. Returns whether the call showed a new cold start.
    pub fn record_success(
        &mut self,
        first_token: u32,
        median: Option<(u32, usize)>,
        part: u32,
        now: Duration,
    ) -> bool {
        let slow = median.is_some_and(|(typical, samples)| {
            samples >= MIN_SAMPLES && first_token > typical.saturating_mul(COLD_FACTOR)
        });
        if slow {
            self.completed_calls = 0;
            self.consecutive_slow = self.consecutive_slow.saturating_add(1);
            if self.consecutive_slow >= MIN_CONSECUTIVE_SLOW && self.phase == Phase::Warm {
                self.enter_cold(now);
                return true;
            }
            return false;
        }
        self.consecutive_slow = 0;
        let is_reported_cold = self
            .cold_reported_at
            .is_some_and(|at| now.saturating_sub(at) < COLD_REPORT_VALIDITY);
        if self.phase != Phase::Warm && !is_reported_cold {
            self.completed_calls += 1;
            if self.completed_calls >= part.max(MIN_COMPLETIONS) {
                self.raise_limit();
            }
        }
        false
    }

    /// Records a failed call. A failure while the limit is being raised resets it to the cold
    /// limit.
    pub fn record_failure(&mut self) {
        if self.phase == Phase::Rising {
            self.current_limit = self.cold_limit;
            self.completed_calls = 0;
        }
    }

    /// Resets the limit to the cold limit.
    pub fn enter_cold(&mut self, now: Duration) {
        self.cold_since = now;
        self.phase = Phase::Cold;
        self.current_limit = self.cold_limit;
        self.completed_calls = 0;
        self.consecutive_slow = 0;
    }

    /// Sets the full limit.
    fn enter_warm(&mut self) {
        self.phase = Phase::Warm;
        self.current_limit = self.limit;
        self.completed_calls = 0;
    }

    /// Raises the limit by half, at least by one.
    fn raise_limit(&mut self) {
        self.completed_calls = 0;
        self.phase = Phase::Rising;
        self.current_limit = (self.current_limit + (self.current_limit / 2).max(1)).min(self.limit);
        if self.current_limit == self.limit {
            self.enter_warm();
        }
    }
}
