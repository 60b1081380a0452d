//! Decides whether a request starts, waits or is refused at once.
//!
//! Owns the bounded queues of all client accounts and the slots of running requests. A request that
//! can no longer meet its deadline never waits, and slots that are reserved for short calls never
//! go to long ones.

mod refusal;
mod round_robin;

use std::collections::HashMap;
use std::time::Duration;

use azurelug_types::config::Config;
use azurelug_types::id::{AccountKey, AccountName, Version};
use azurelug_types::key;
use azurelug_types::outcome::Reason;

pub use refusal::Refused;

use crate::latency::{Class, Latencies};
use crate::slab::{Handle, Slab};
use round_robin::{AccountQueue, ActiveList, QUANTUM};

/// Long and short calls wait in separate lanes.
const LANES: usize = 2;
const LONG: usize = 0;
const SHORT: usize = 1;
/// A request is queued only if its expected wait is at most its slack divided by this number. The
/// slack is the time until the deadline minus the expected time of its stages. If the queue could
/// use up all of it, every request under overload would start at the last moment, and the work on
/// requests whose stages take longer than estimated would be wasted.
const SLACK_DIVISOR: u32 = 2;
/// A daemon that uses less than one part in this many of its slots is lightly loaded: its requests
/// don't wait for each other, so that calls are not cut off for lack of slots.
const LIGHT_LOAD_DIVISOR: u32 = 2;
/// Weight of one finished request in the moving average of the service time.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Limits of one entry daemon.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of running requests; replaced by `set_capacity` once targets are known.
    pub capacity: u32,
    /// Percentage of the capacity that is reserved for short calls.
    pub reserved_short_percent: u32,
    /// Maximum number of waiting requests of one account.
    pub queue_per_account: usize,
    /// Maximum number of waiting requests of all accounts together.
    pub queue_total: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 64,
            reserved_short_percent: 20,
            queue_per_account: 64,
            queue_total: 4096,
        }
    }
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The account that sent it.
    pub account: AccountKey,
    /// Whether it is a short call.
    pub short: bool,
    /// Expected work relative to other requests, such as its maximum number of tokens.
    pub cost: u32,
    /// When its answer must be complete.
    pub deadline: Duration,
    /// The latency classes of its stages.
    pub stages: &'a [Class],
}

key! {
    /// An admitted or waiting request.
    pub struct Ticket(pub(crate) Handle);

    /// The answer to a request that is not refused.
    pub enum Admitted {
        /// The request starts now.
        Start(Ticket),
        /// The request is queued; a later [`Action`] starts or refuses it.
        Wait(Ticket),
    }
}

/// What happens to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The request starts now.
    Start(Ticket),
    /// The request can no longer meet its deadline and is refused. Its ticket is no longer valid.
    Refuse(Ticket, Refused),
}

#[derive(Clone, Copy, Debug)]
struct Request {
    account: AccountKey,
    lane: usize,
    cost: u32,
    /// The latest start that still meets the deadline.
    latest_start: Duration,
    started: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Account {
    weight: u32,
    limit: u32,
    in_flight: u32,
    queues: [AccountQueue; LANES],
}

/// Admission control of one entry daemon.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: Settings,
    /// Maximum number of long calls that run at the same time.
    long_limit: u32,
    version: Version,
    names: HashMap<AccountName, AccountKey>,
    accounts: Vec<Account>,
    requests: Slab<Request>,
    active_lists: [ActiveList; LANES],
    running: [u32; LANES],
    /// Moving average of the time from start to finish, for each lane.
    service_time: [Option<f64>; LANES],
    /// The lane that gets the next unreserved slot if both lanes have waiting requests.
    preferred_lane: usize,
}

impl Admission {
    /// Creates an admission control without accounts.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            long_limit: u32::MAX,
            version: Version::default(),
            names: HashMap::new(),
            accounts: Vec::new(),
            requests: Slab::default(),
            active_lists: [ActiveList::new(LONG), ActiveList::new(SHORT)],
            running: [0; LANES],
            service_time: [None; LANES],
            preferred_lane: SHORT,
        }
    }

    /// Applies the accounts of a newer configuration version. Known accounts keep their key, queue
    /// and running requests. The requests of a removed account are still completed, but `account`
    /// no longer finds it.
    pub fn apply(&mut self, config: &Config) {
        if config.version <= self.version {
            return;
        }
        self.version = config.version;
        self.names
            .retain(|name, _| config.accounts.contains_key(name));
        for (name, account) in &config.accounts {
            let key = self.names.get(name).copied().unwrap_or_else(|| {
                let key = AccountKey(self.accounts.len() as u32);
                self.names.insert(name.clone(), key);
                self.accounts.push(Account::new());
                key
            });
            let known = &mut self.accounts[key.0 as usize];
            known.weight = account.weight.max(1);
            known.limit = account.max_in_flight;
        }
    }

    /// The key of an account.
    #[must_use]
    pub fn account(&self, name: &AccountName) -> Option<AccountKey> {
        self.names.get(name).copied()
    }

    /// Sets how many requests may run at the same time and starts waiting ones in new slots.
    pub fn set_capacity(&mut self, capacity: u32, now: Duration) -> Vec<Action> {
        self.settings.capacity = capacity;
        self.dispatch(now)
    }

    /// Sets how many long calls may run, for stages in which they occupy more slots than the
    /// capacity for all calls suggests. At least one may run.
    pub fn set_long_limit(&mut self, limit: u32) {
        self.long_limit = limit.max(1);
    }

    /// The numbers of running and waiting requests, for metrics.
    #[must_use]
    pub fn load(&self) -> (u32, usize) {
        (self.running.iter().sum(), self.waiting())
    }

    /// Starts, queues or refuses a new request.
    pub fn offer(
        &mut self,
        ask: &AdmissionRequest<'_>,
        latencies: &Latencies,
        now: Duration,
    ) -> Result<Admitted, Refused> {
        let lane = if ask.short { SHORT } else { LONG };
        let is_light = self.is_lightly_loaded();
        let p95 = |stage: &Class| {
            let all = latencies.quantiles(*stage).p95;
            // Calls that were cut off in a burst count as twice their time. Once the burst has ended,
            // they would refuse all requests of an idle daemon until their window expires.
            if is_light {
                all.min(latencies.completed_quantiles(*stage).p95)
            } else {
                all
            }
        };
        let needed: Duration = ask.stages.iter().map(p95).sum();
        let request = Request {
            account: ask.account,
            lane,
            cost: ask.cost.clamp(1, QUANTUM),
            latest_start: ask.deadline.saturating_sub(needed),
            started: None,
        };
        if now > request.latest_start {
            // The stages alone take longer than the deadline allows. The queue's drain time is the
            // best available estimate of when they will be faster.
            let wait = self.expected_wait(ask.account, lane);
            return Err(Refused::new(Reason::DeadlineUnreachable, wait));
        }
        let account = &self.accounts[ask.account.0 as usize];
        let free = account.in_flight < account.limit;
        if free && self.active_lists[lane].is_empty() && self.has_slot(lane) {
            return Ok(Admitted::Start(self.start_new(request, now)));
        }
        let wait = self.expected_wait(ask.account, lane);
        if account.queues[lane].len() >= self.settings.queue_per_account {
            let reason = if free {
                Reason::Overloaded
            } else {
                Reason::AccountLimit
            };
            return Err(Refused::new(reason, wait));
        }
        if self.waiting() >= self.settings.queue_total {
            return Err(Refused::new(Reason::Overloaded, wait));
        }
        let slack = (request.latest_start - now) / SLACK_DIVISOR;
        if wait > slack {
            let excess = wait - slack;
            return Err(Refused::new(Reason::DeadlineUnreachable, excess));
        }
        let handle = self.requests.insert(request);
        self.active_lists[lane].push(&mut self.accounts, ask.account, handle, request.cost);
        Ok(Admitted::Wait(Ticket(handle)))
    }

    /// Ends a running request, or removes a waiting one whose caller has cancelled it.
    pub fn finish(&mut self, ticket: Ticket, now: Duration) -> Vec<Action> {
        let Some(request) = self.requests.remove(ticket.0) else {
            return Vec::new();
        };
        let Some(started) = request.started else {
            let active_list = &mut self.active_lists[request.lane];
            active_list.remove(&mut self.accounts, request.account, ticket.0);
            return Vec::new();
        };
        let seconds = now.saturating_sub(started).as_secs_f64();
        let average = &mut self.service_time[request.lane];
        *average = Some(average.map_or(seconds, |old| old + SMOOTHING_FACTOR * (seconds - old)));
        self.running[request.lane] -= 1;
        self.accounts[request.account.0 as usize].in_flight -= 1;
        for active_list in &mut self.active_lists {
            active_list.activate(&mut self.accounts, request.account);
        }
        self.dispatch(now)
    }

    /// Refuses waiting requests that can no longer meet their deadline. To be called about every
    /// 100 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = self.refuse_too_late(now);
        actions.extend(self.dispatch(now));
        actions
    }

    /// Refuses requests that can no longer meet their deadline, also while no slot is free, for
    /// example when every running request hangs.
    fn refuse_too_late(&mut self, now: Duration) -> Vec<Action> {
        let is_too_late =
            |request: &Request| request.started.is_none() && now > request.latest_start;
        let too_late: Vec<(Handle, Request)> = self
            .requests
            .iter()
            .filter(|(_, request)| is_too_late(request))
            .map(|(handle, request)| (handle, *request))
            .collect();
        for (handle, request) in &too_late {
            self.requests.remove(*handle);
            self.active_lists[request.lane].remove(&mut self.accounts, request.account, *handle);
        }
        let refuse = |(handle, request): (Handle, Request)| {
            let wait = self.expected_wait(request.account, request.lane);
            Action::Refuse(
                Ticket(handle),
                Refused::new(Reason::DeadlineUnreachable, wait),
            )
        };
        too_late.into_iter().map(refuse).collect()
    }

    /// Starts waiting requests while there are slots.
    fn dispatch(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(lane) = self.next_lane() {
            let Some((account, handle)) = self.active_lists[lane].pop(&mut self.accounts) else {
                continue;
            };
            let Some(request) = self.requests.get_mut(handle).copied() else {
                continue;
            };
            if now > request.latest_start {
                self.requests.remove(handle);
                let wait = self.expected_wait(account, lane);
                let refused = Refused::new(Reason::DeadlineUnreachable, wait);
                actions.push(Action::Refuse(Ticket(handle), refused));
            } else {
                self.active_lists[lane].charge(&mut self.accounts, account, request.cost);
                self.mark_started(handle, request, now);
                actions.push(Action::Start(Ticket(handle)));
                self.preferred_lane = 1 - lane;
            }
        }
        actions
    }

    /// The lane whose request gets the next free slot. Short calls come first while reserved slots
    /// are free; the other slots alternate between the lanes.
    fn next_lane(&self) -> Option<usize> {
        let waits = |lane: usize| !self.active_lists[lane].is_empty() && self.has_slot(lane);
        if waits(SHORT) && self.running[SHORT] < self.reserved() {
            return Some(SHORT);
        }
        [self.preferred_lane, 1 - self.preferred_lane]
            .into_iter()
            .find(|lane| waits(*lane))
    }

    fn reserved(&self) -> u32 {
        // At least one slot, so that short calls are not starved on a small daemon either.
        (self.settings.capacity * self.settings.reserved_short_percent / 100)
            .max(u32::from(self.settings.capacity > 1))
    }

    fn has_slot(&self, lane: usize) -> bool {
        let running: u32 = self.running.iter().sum();
        running < self.settings.capacity
            && (lane == SHORT || self.running[LONG] < self.long_slots())
    }

    /// The number of slots that long calls may use.
    fn long_slots(&self) -> u32 {
        (self.settings.capacity - self.reserved()).min(self.long_limit)
    }

    fn start_new(&mut self, request: Request, now: Duration) -> Ticket {
        let handle = self.requests.insert(request);
        self.mark_started(handle, request, now);
        Ticket(handle)
    }

    fn mark_started(&mut self, handle: Handle, request: Request, now: Duration) {
        if let Some(request) = self.requests.get_mut(handle) {
            request.started = Some(now);
        }
        self.running[request.lane] += 1;
        self.accounts[request.account.0 as usize].in_flight += 1;
    }

    /// Whether no request waits and less than a part of the slots is in use.
    fn is_lightly_loaded(&self) -> bool {
        let running: u32 = self.running.iter().sum();
        self.waiting() == 0 && running < self.settings.capacity / LIGHT_LOAD_DIVISOR
    }

    fn waiting(&self) -> usize {
        self.active_lists.iter().map(ActiveList::waiting).sum()
    }

    /// How long a new request of the account would wait: the account's queue, drained at the
    /// account's part of the total rate, but at most the time to drain all queues.
    fn expected_wait(&self, account: AccountKey, lane: usize) -> Duration {
        let slots = match lane {
            // Running long calls occupy their slots for longer than a short call can wait.
            SHORT => {
                (self.settings.capacity.saturating_sub(self.running[LONG])).max(self.reserved())
            }
            _ => self.long_slots(),
        };
        let service_time = self.service_time[lane]
            .or(self.service_time[1 - lane])
            .unwrap_or(1.0);
        let per_second = f64::from(slots.max(1)) / service_time.max(0.001);
        let known = &self.accounts[account.0 as usize];
        let own = known.queues[lane].len() as f64 + 1.0;
        let others = self.active_lists[lane].weight_without(known);
        let part = f64::from(known.weight) / (f64::from(known.weight) + others as f64);
        let all = self.active_lists[lane].waiting() as f64 + 1.0;
        Duration::from_secs_f64((own / part).min(all) / per_second)
    }
}

impl Account {
    fn new() -> Self {
        Self {
            weight: 1,
            limit: 0,
            in_flight: 0,
            queues: Default::default(),
        }
    }
}

/// The number of requests that a pipeline can run at the same time: for each stage, its slots
/// divided by the part of a request's time that is spent in the stage; the minimum over all stages.
///
/// The number of requests in the other stages varies by about the square root of its mean. That
/// many more requests are admitted, because slots of the stage would otherwise be empty half of the
/// time.
#[must_use]
pub fn pipeline_capacity(stages: &[(u32, Duration)]) -> u32 {
    let total: Duration = stages.iter().map(|(_, typical)| *typical).sum();
    let at_once = |(slots, typical): &(u32, Duration)| {
        let slots = f64::from(*slots);
        let all = slots * total.as_secs_f64() / typical.as_secs_f64();
        all + (all - slots).max(0.0).sqrt()
    };
    stages
        .iter()
        .filter(|(_, typical)| !typical.is_zero())
        .map(at_once)
        .fold(f64::INFINITY, f64::min)
        .min(f64::from(u32::MAX)) as u32
}
