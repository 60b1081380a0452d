//! Simulated clocks, processes and a network with faults, for the schedules.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Simulated real time in microseconds.
pub(crate) type Micros = u64;

pub(crate) const MILLI: Micros = 1_000;
pub(crate) const SECOND: Micros = 1_000_000;

/// How often each fault occurred.
pub(crate) type FaultCounts = BTreeMap<&'static str, u64>;

/// Result of one schedule: steps, and how often each fault or event occurred.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) steps: u64,
    pub(crate) faults: FaultCounts,
}

impl Report {
    pub(crate) fn add(&mut self, other: &Report) {
        self.steps += other.steps;
        for (name, count) in &other.faults {
            *self.faults.entry(name).or_default() += count;
        }
    }
}

pub(crate) struct SimRandom(Pcg64);

impl SimRandom {
    pub(crate) fn new(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed))
    }

    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.0.random_range(0..end)
    }

    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..=high)
    }

    /// True with probability 1 / `times`.
    pub(crate) fn one_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }
}

/// A process with its own monotonic clock. The process may be frozen.
pub(crate) struct Process {
    offset: u64,
    rate_ppm: u64,
    pub(crate) incarnation: u64,
    pub(crate) frozen_until: Micros,
    pub(crate) next_renewal: Duration,
}

impl Process {
    /// Any two rates differ by at most 1%.
    pub(crate) fn new(dice: &mut SimRandom, incarnation: u64) -> Self {
        let rate_ppm = match dice.below(3) {
            0 => 1_000_000,
            1 => 1_010_000,
            _ => dice.between(1_000_000, 1_010_000),
        };
        Self {
            offset: dice.below(1_000 * SECOND),
            rate_ppm,
            incarnation,
            frozen_until: 0,
            next_renewal: Duration::ZERO,
        }
    }

    /// The process's clock at the real time `now`.
    pub(crate) fn clock(&self, now: Micros) -> Duration {
        Duration::from_micros(self.offset + now * self.rate_ppm / 1_000_000)
    }

    pub(crate) fn is_frozen(&self, now: Micros) -> bool {
        now < self.frozen_until
    }

    /// Whether a renewal is due; if so, the next one is due 400 to 600 ms later.
    pub(crate) fn take_due_renewal(&mut self, now: Micros, dice: &mut SimRandom) -> bool {
        let clock = self.clock(now);
        let due = !self.is_frozen(now) && clock >= self.next_renewal;
        if due {
            self.next_renewal = clock + Duration::from_millis(dice.between(400, 600));
        }
        due
    }
}

/// A network with its messages in transit. Addresses are small integers.
pub(crate) struct Net<M> {
    queue: BTreeMap<(Micros, u64), (usize, M)>,
    sequence: u64,
    blocked: BTreeSet<(usize, usize)>,
    /// Percentage of messages lost until the faults end.
    pub(crate) loss: u64,
    pub(crate) faults_ended: bool,
    pub(crate) faults: FaultCounts,
}

impl<M: Clone> Net<M> {
    pub(crate) fn new(dice: &mut SimRandom) -> Self {
        Self {
            queue: BTreeMap::new(),
            sequence: 0,
            blocked: BTreeSet::new(),
            loss: [0, 2, 10, 30][dice.below(4) as usize],
            faults_ended: false,
            faults: FaultCounts::new(),
        }
    }

    pub(crate) fn count(&mut self, name: &'static str) {
        *self.faults.entry(name).or_default() += 1;
    }

    /// Cuts one direction of one link, or restores all links.
    pub(crate) fn partition(&mut self, dice: &mut SimRandom, addresses: usize) {
        if dice.one_in(3) {
            self.blocked.clear();
            return;
        }
        let from = dice.below(addresses as u64) as usize;
        let to = dice.below(addresses as u64) as usize;
        self.blocked.insert((from, to));
        self.count("partition (one way)");
        if dice.one_in(3) {
            self.blocked.insert((to, from));
        }
    }

    pub(crate) fn end_faults(&mut self) {
        self.faults_ended = true;
        self.blocked.clear();
    }

    pub(crate) fn send(
        &mut self,
        now: Micros,
        dice: &mut SimRandom,
        from: usize,
        to: usize,
        message: M,
    ) {
        if self.blocked.contains(&(from, to)) {
            self.count("message blocked");
            return;
        }
        if !self.faults_ended && dice.below(100) < self.loss {
            self.count("message lost");
            return;
        }
        if !self.faults_ended && dice.one_in(12) {
            self.count("message duplicated");
            let delay = dice.between(MILLI, 16 * SECOND);
            self.enqueue(now + delay, to, message.clone());
        }
        let delay = if !self.faults_ended && dice.one_in(10) {
            self.count("message delayed and reordered");
            dice.between(100 * MILLI, 4 * SECOND)
        } else {
            dice.between(500, 4 * MILLI)
        };
        self.enqueue(now + delay, to, message);
    }

    /// Queues a message for delivery at `at`, also again for a receiver that is frozen.
    pub(crate) fn enqueue(&mut self, at: Micros, to: usize, message: M) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, message));
    }

    pub(crate) fn receive(&mut self, now: Micros) -> Option<(usize, M)> {
        let entry = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }
}
