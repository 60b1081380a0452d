//! A backend that can handle eight calls at once, shared by two client processes. A grantor divides
//! the limit, and a holder in each client checks the client's share before each call. One client
//! then stops renewing its lease.
//!
//! Run it with `cargo run -p azurelug-coordination --example shared_limit`.

use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::share::{Capacity, Grantor, Holder, Limits, Slot, Timing};

/// The backend's target id.
const BACKEND: u32 = 1;

/// Calls that the backend can handle at once.
const LIMIT: u32 = 8;

/// Time between two renewals.
const RENEWAL: Duration = Duration::from_millis(500);

/// The longest call in this example.
const CALL: Duration = Duration::from_secs(3);

/// A client: its holder and its running calls.
struct Client {
    holder: Holder,
    running: Vec<Slot>,
}

impl Client {
    fn new(id: u64, timing: Timing) -> Self {
        // The incarnation differs for each start of the process; a server draws it at random.
        let identity = Identity { id, incarnation: 1 };
        let mut holder = Holder::new(Duration::ZERO, identity, timing);
        holder.set_demand(BACKEND, LIMIT);
        Self {
            holder,
            running: Vec::new(),
        }
    }

    /// Sends a renewal. Messages arrive at once here; late or lost ones would be harmless too.
    fn renew(&mut self, grantor: &mut Grantor, now: Duration) {
        let request = self.holder.request(now);
        if let Some(answer) = grantor.request(now, &request, &mut Vec::new()) {
            self.holder.answer(&answer);
        }
    }

    /// Starts calls until the holder refuses one; returns how many run.
    fn fill(&mut self, now: Duration) -> usize {
        while let Ok(slot) = self.holder.start(now, BACKEND, CALL) {
            self.running.push(slot);
        }
        self.running.len()
    }

    fn end_calls(&mut self) {
        for slot in self.running.drain(..) {
            self.holder.end(slot);
        }
    }
}

/// The number of running calls at three points in time.
pub(crate) struct Report {
    /// Calls of both clients while both renew their leases.
    pub(crate) shared: [usize; 2],
    /// Calls of the first client while the second has stopped renewing, with its calls running.
    pub(crate) silent: usize,
    /// Calls of the first client after the second one's lease and the longest call have ended.
    pub(crate) alone: usize,
}

/// Runs the clients and checks that the calls at the backend never exceed its limit.
pub(crate) fn run() -> Report {
    let timing = Timing {
        longest_call: CALL,
        ..Timing::default()
    };
    let mut grantor = Grantor::for_new_system(Duration::ZERO, 1, timing, Limits::default());
    // Without base shares, nothing can be used without a lease.
    let capacity = Capacity {
        limit: LIMIT,
        cold: LIMIT,
        base: 0,
    };
    assert!(
        grantor.set_capacity(BACKEND, capacity),
        "there is room for one target"
    );
    let (mut first, mut second) = (Client::new(1, timing), Client::new(2, timing));
    let mut now = Duration::ZERO;
    let mut shared = [0, 0];
    for _ in 0..6 {
        now += RENEWAL;
        first.renew(&mut grantor, now);
        second.renew(&mut grantor, now);
        shared = [first.fill(now), second.fill(now)];
        assert!(shared[0] + shared[1] <= LIMIT as usize, "too many calls");
        first.end_calls();
        second.end_calls();
    }
    // The second client stops renewing, with its calls running. Its slots still count as used,
    // because the grantor cannot know when these calls end.
    second.fill(now);
    let silent_since = now;
    let mut silent = 0;
    while now + RENEWAL < silent_since + timing.settled() {
        now += RENEWAL;
        first.renew(&mut grantor, now);
        silent = first.fill(now);
        let running = silent + second.running.len();
        assert!(running <= LIMIT as usize, "too many calls");
        first.end_calls();
    }
    let late = second.holder.allowed(now, BACKEND);
    assert_eq!(late, 0, "a client without a lease must not start calls");
    now = silent_since + timing.settled() + RENEWAL;
    first.renew(&mut grantor, now);
    let alone = first.fill(now);
    Report {
        shared,
        silent,
        alone,
    }
}

#[allow(dead_code, reason = "a test includes this file and calls `run`")]
fn main() {
    let Report {
        shared,
        silent,
        alone,
    } = run();
    println!("both clients: {shared:?} calls; one silent: {silent}; alone: {alone}");
}
