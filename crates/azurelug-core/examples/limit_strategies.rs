//! Compares ways to keep the limits that targets name for the requests from all gateways together:
//! how much of the limits is used, and how close a target gets to the most requests in four
//! seconds that it tolerates.
//!
//! `cargo run --release -p azurelug-core --example limit_strategies`

use std::collections::VecDeque;
use std::time::Duration;

use azurelug_core::gateway::limits::{Decision, Grantor};
use azurelug_core::gateway::rendezvous;
use azurelug_types::id::TargetName;
use azurelug_types::rate::Rate;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Length of a run.
const SPAN: Duration = Duration::from_secs(60);

/// Span in which a target counts its requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests, as a multiple of what the limits allow.
const DEMAND: f64 = 1.5;

/// Targets that a request tries.
const MAX_TRIES: usize = 6;

#[derive(Clone, Copy, Debug)]
enum Strategy {
    /// Each gateway keeps an equal share of the limit.
    EqualShares,
    /// A few gateways, chosen by hashing, keep equal shares; the others send nothing.
    FewSenders,
    /// One gateway grants permits on demand.
    Permits,
}

struct World {
    gateways: usize,
    targets: Vec<TargetName>,
    limit: f64,
    random: Pcg64,
    /// When each gateway may send to each target again.
    next: Vec<Vec<Duration>>,
    grantor: Grantor,
    arrivals: Vec<VecDeque<Duration>>,
    most_in_window: usize,
    sent: usize,
}

impl World {
    fn new(gateways: usize, targets: usize, limit: f64) -> Self {
        let name = |number| TargetName(format!("target-{number}"));
        Self {
            gateways,
            targets: (0..targets).map(name).collect(),
            limit,
            random: Pcg64::seed_from_u64(1),
            next: vec![vec![Duration::ZERO; targets]; gateways],
            grantor: Grantor::default(),
            arrivals: vec![VecDeque::new(); targets],
            most_in_window: 0,
            sent: 0,
        }
    }

    fn run(mut self, strategy: Strategy) -> (f64, f64) {
        let allowed = self.limit * self.targets.len() as f64;
        let interval = Duration::from_secs_f64(1.0 / (allowed * DEMAND));
        let mut now = Duration::ZERO;
        while now < SPAN {
            now += interval.mul_f64(-self.random.random::<f64>().ln());
            // Clients are unevenly distributed over the gateways.
            let position = self.random.random::<f64>().powf(1.5);
            let gateway = (position * self.gateways as f64) as usize;
            for _ in 0..MAX_TRIES {
                let target = self.random.random_range(0..self.targets.len());
                if self.may_send(strategy, gateway, target, now) {
                    self.record(target, now);
                    break;
                }
            }
        }
        let used = self.sent as f64 / (allowed * SPAN.as_secs_f64());
        let tolerated = 1.5 * self.limit * WINDOW.as_secs_f64() + 5.0;
        (used, self.most_in_window as f64 / tolerated)
    }

    fn may_send(
        &mut self,
        strategy: Strategy,
        gateway: usize,
        target: usize,
        now: Duration,
    ) -> bool {
        let senders = match strategy {
            Strategy::EqualShares => self.gateways,
            Strategy::FewSenders => (self.limit as usize).clamp(1, self.gateways),
            Strategy::Permits => return self.is_granted(target, now),
        };
        if senders < self.gateways && !self.is_sender(senders, gateway, target) {
            return false;
        }
        let next = &mut self.next[gateway][target];
        let may_send = *next <= now;
        if may_send {
            *next = now + Duration::from_secs_f64(senders as f64 / self.limit);
        }
        may_send
    }

    fn is_sender(&self, senders: usize, gateway: usize, target: usize) -> bool {
        let name = &self.targets[target];
        let own = rendezvous::weight(name, &gateway);
        let better = (0..self.gateways).filter(|other| rendezvous::weight(name, other) > own);
        better.take(senders).count() < senders
    }

    fn is_granted(&mut self, target: usize, now: Duration) -> bool {
        let rate = Rate::from_per_second(self.limit).expect("the limit is positive");
        let name = &self.targets[target];
        let decision = self.grantor.grant(name, rate, 1.0, 1, now);
        matches!(decision, Decision::Granted(_))
    }

    fn record(&mut self, target: usize, now: Duration) {
        self.sent += 1;
        let arrivals = &mut self.arrivals[target];
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|first| *first + WINDOW <= now) {
            arrivals.pop_front();
        }
        self.most_in_window = self.most_in_window.max(arrivals.len());
    }
}

fn main() {
    println!(
        "gateways targets limit/s strategy      used of the limits   busiest 4 s of tolerated"
    );
    for (gateways, targets) in [(9, 18), (71, 60), (295, 130)] {
        for limit in [0.3, 2.2, 30.0] {
            for strategy in [
                Strategy::EqualShares,
                Strategy::FewSenders,
                Strategy::Permits,
            ] {
                let (used, busiest) = World::new(gateways, targets, limit).run(strategy);
                let name = format!("{strategy:?}");
                println!("{gateways:8} {targets:7} {limit:7} {name:13} {used:18.2} {busiest:26.2}");
            }
        }
    }
}
