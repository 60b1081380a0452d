//! Bounds the calls that one daemon has in flight at a target in cold start.
//!
//! Owns the limit in force of one target as this daemon sees it. Never lets the parts of all
//! daemons add up to more than that limit while the target is cold or warming up.

use std::time::Duration;

use azurelug_types::key;

/// Samples that the first-token median needs before it can reveal a cold turn.
const MIN_SAMPLES: usize = 16;
/// A first-token time over this many times the median is a sign of a cold target; one is taken to be
/// at least this much slower.
pub const COLD_FACTOR: u32 = 4;
/// Consecutive first-token times over the bound that count as a cold turn. A single one is often
/// only a long prompt.
const SLOW_IN_A_ROW: u8 = 2;
/// Completed calls needed for one step when the daemon's part is smaller than this.
const MIN_COMPLETIONS: u32 = 4;
/// For this long, a report that says that the target is cold outweighs completed calls.
const REPORT_TRUST: Duration = Duration::from_secs(5);

key! {
    /// This daemon's place among the entry daemons that share a target.
    pub struct Position {
        /// From 0, below `daemons`.
        pub rank: u32,
        /// How many daemons share the target, 1 or more.
        pub daemons: u32,
    }

    /// What a target or a load-reporting service says about a target.
    pub struct LoadReport {
        /// Calls running and queued at the target.
        pub calls: u32,
        /// When they were counted, on this daemon's clock.
        pub taken_at: Duration,
        /// Whether the target is past its cold start.
        pub warm: bool,
        /// Identifies the run of the engine; a later run has a larger stamp.
        pub start_stamp: u64,
    }

    /// How warm a target is believed to be.
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// Nothing is known yet. It counts as cold.
        Unknown,
        /// Seen cold: the limit stays at the cold limit.
        Cold,
        /// No longer cold: the limit rises by steps.
        Rising,
        /// The full limit is in force.
        Warm,
    }
}

/// The slow start of one target.
#[derive(Clone, Debug)]
pub struct SlowStart {
    limit: u32,
    cold_limit: u32,
    level: u32,
    phase: Phase,
    completed: u32,
    slow_in_a_row: u8,
    start_stamp: Option<u64>,
    /// When the last sign of cold was seen. Reports from before it say nothing about it.
    cold_since: Duration,
    /// When a report last said that the target is cold.
    reported_cold: Option<Duration>,
}

impl Position {
    /// A daemon that shares its targets with nobody.
    pub const ALONE: Self = Self {
        rank: 0,
        daemons: 1,
    };

    /// This daemon's part of `total`. The parts of all ranks add up to `total`; `salt` spreads
    /// the remainders of different targets over different daemons.
    #[must_use]
    pub fn part(self, total: u32, salt: u32) -> u32 {
        let daemons = self.daemons.max(1);
        let turn = (self.rank % daemons + salt % daemons) % daemons;
        total / daemons + u32::from(turn < total % daemons)
    }
}

impl SlowStart {
    /// A target about which nothing is known.
    #[must_use]
    pub fn new(limit: u32, cold_limit: u32) -> Self {
        let cold_limit = cold_limit.min(limit);
        Self {
            limit,
            cold_limit,
            level: cold_limit,
            phase: Phase::Unknown,
            completed: 0,
            slow_in_a_row: 0,
            start_stamp: None,
            cold_since: Duration::ZERO,
            reported_cold: None,
        }
    }

    /// Takes over changed limits and keeps the phase.
    pub fn set_limits(&mut self, limit: u32, cold_limit: u32) {
        self.limit = limit;
        self.cold_limit = cold_limit.min(limit);
        self.level = match self.phase {
            Phase::Unknown | Phase::Cold => self.cold_limit,
            Phase::Rising => self.level.clamp(self.cold_limit, limit),
            Phase::Warm => limit,
        };
    }

    /// The limit in force for the whole target.
    #[must_use]
    pub fn level(&self) -> u32 {
        self.level
    }

    /// The phase, for state dumps.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Calls that this daemon may have in flight. The whole limit once the target is warm, because
    /// leased shares then divide it; this daemon's part before.
    #[must_use]
    pub fn allowance(&self, position: Position, salt: u32) -> u32 {
        match self.phase {
            Phase::Warm => self.limit,
            _ => position.part(self.level, salt),
        }
    }

    /// A load report; `part` is this daemon's part of the limit in force.
    pub fn report(&mut self, report: &LoadReport, part: u32, now: Duration) {
        let known = self.start_stamp.replace(report.start_stamp);
        let restarted = known.is_some_and(|known| known != report.start_stamp);
        if !report.warm || restarted {
            self.turn_cold(now);
        }
        if !report.warm {
            self.reported_cold = Some(now);
            return;
        }
        if restarted || report.taken_at < self.cold_since {
            return;
        }
        self.reported_cold = None;
        match self.phase {
            Phase::Unknown => self.turn_warm(),
            Phase::Cold => self.phase = Phase::Rising,
            // A daemon whose part is empty completes no calls and follows the reports instead.
            Phase::Rising if part == 0 => self.step(),
            _ => {}
        }
    }

    /// A successful call. `median` is the target's usual first-token time in microseconds with
    /// the number of samples behind it. Returns whether the call revealed a cold turn.
    pub fn success(
        &mut self,
        first_token: u32,
        median: Option<(u32, usize)>,
        part: u32,
        now: Duration,
    ) -> bool {
        let slow = median.is_some_and(|(usual, samples)| {
            samples >= MIN_SAMPLES && first_token > usual.saturating_mul(COLD_FACTOR)
        });
        if slow {
            self.completed = 0;
            self.slow_in_a_row = self.slow_in_a_row.saturating_add(1);
            if self.slow_in_a_row >= SLOW_IN_A_ROW && self.phase == Phase::Warm {
                self.turn_cold(now);
                return true;
            }
            return false;
        }
        self.slow_in_a_row = 0;
        let reported_cold = self
            .reported_cold
            .is_some_and(|at| now.saturating_sub(at) < REPORT_TRUST);
        if self.phase != Phase::Warm && !reported_cold {
            self.completed += 1;
            if self.completed >= part.max(MIN_COMPLETIONS) {
                self.step();
            }
        }
        false
    }

    /// A failed call. While the limit rises, a failure takes it back to the cold limit.
    pub fn failure(&mut self) {
        if self.phase == Phase::Rising {
            self.level = self.cold_limit;
            self.completed = 0;
        }
    }

    /// The cold limit applies at once.
    pub fn turn_cold(&mut self, now: Duration) {
        self.cold_since = now;
        self.phase = Phase::Cold;
        self.level = self.cold_limit;
        self.completed = 0;
        self.slow_in_a_row = 0;
    }

    /// The full limit applies at once.
    fn turn_warm(&mut self) {
        self.phase = Phase::Warm;
        self.level = self.limit;
        self.completed = 0;
    }

    /// One step up: half as much again, at least one.
    fn step(&mut self) {
        self.completed = 0;
        self.phase = Phase::Rising;
        self.level = (self.level + (self.level / 2).max(1)).min(self.limit);
        if self.level == self.limit {
            self.turn_warm();
        }
    }
}
