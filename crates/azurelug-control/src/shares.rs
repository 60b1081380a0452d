//! Grants shares of the limits of the own zone's targets to entry daemons.
//!
//! The grantor works with the limit in force of each target. For a target that is new, or that an
//! entry daemon reports as cold, this is the cold limit at first, and it is raised in steps.

use std::collections::{BTreeSet, HashMap};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_coordination::lease::Identity;
use azurelug_coordination::share::{Answer, Capacity, Grantor, Limits, Request, Timing};
use azurelug_core::base_share;
use azurelug_types::config::Config;
use azurelug_types::id::ZoneName;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::interval;

use crate::holders::Holders;

/// Interval at which limits are raised and the list of holders is updated.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a report of a cold start until a limit is doubled. Reports arrive every 500 ms.
const RAISE_DELAY: Duration = Duration::from_secs(2);

/// How long a target that was reported cold stays at its cold limit.
const COLD_HOLD: Duration = Duration::from_secs(6);

/// The limits of one target.
#[derive(Clone, Copy, Debug)]
struct TargetLimits {
    limit: u32,
    cold: u32,
    base: u32,
    in_force: u32,
    raise_at: Duration,
}

struct State {
    grantor: Grantor,
    target_limits: HashMap<u32, TargetLimits>,
}

/// The grantor of this zone. Clones share it.
#[derive(Clone)]
pub struct Shares {
    zone: ZoneName,
    started: Clock,
    state: Arc<Mutex<State>>,
    /// The durable list. Locked while a new list is determined and written, so that an older one
    /// can't replace it.
    holders: Arc<Mutex<Holders>>,
}

/// The limits of one target, for a dump.
#[derive(Debug, Serialize)]
pub struct TargetRow {
    target: u32,
    limit_in_force: u32,
    limit: u32,
    leased_in_use: u64,
}

/// The state of the list of holders, for a dump.
#[derive(Debug, Serialize)]
pub struct HoldersState {
    /// Whether shares are granted.
    is_open: bool,
    /// Daemons on the durable list.
    listed: usize,
    /// Holders of the earlier start that have not reported yet; none if they are not known.
    awaited: Option<usize>,
}

impl Shares {
    /// Creates the grantor for `zone`. `epoch` is higher than at each earlier start; with
    /// `is_first` there was no earlier start, so that no earlier lease exists. `folder` contains
    /// the list of holders.
    pub fn new(zone: ZoneName, epoch: u64, is_first: bool, folder: &Path) -> Self {
        let (holders, earlier) = Holders::open(folder);
        let earlier = earlier.or(is_first.then(BTreeSet::new));
        match &earlier {
            Some(earlier) => log::info!("shares: {} holders of the earlier start", earlier.len()),
            None => log::warn!("shares: holders of the earlier start are not known"),
        }
        let new_grantor = if is_first {
            Grantor::for_new_system
        } else {
            Grantor::new
        };
        let grantor = new_grantor(Duration::ZERO, epoch, Timing::default(), Limits::default());
        let grantor = grantor.with_list(earlier);
        let state = State {
            grantor,
            target_limits: HashMap::new(),
        };
        Self {
            zone,
            started: Clock::start(),
            state: Arc::new(Mutex::new(state)),
            holders: Arc::new(Mutex::new(holders)),
        }
    }

    /// Applies new versions and raises limits until the sender of versions is dropped.
    pub async fn run(self, mut configs: watch::Receiver<Arc<Config>>) {
        let mut ticks = interval(TICK_INTERVAL);
        let first = Arc::clone(&configs.borrow_and_update());
        self.apply_config(&first);
        loop {
            tokio::select! {
                changed = configs.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let config = Arc::clone(&configs.borrow_and_update());
                    self.apply_config(&config);
                }
                _ = ticks.tick() => {
                    self.raise_limits();
                    self.write_list(None).await;
                }
            }
        }
    }

    /// Answers a renewal; none if it is late or a duplicate.
    pub async fn renew(&self, request: &Request) -> Option<Answer> {
        let needs_listing = {
            let mut state = self.state.lock().expect("no holder of the lock panics");
            state.grantor.needs_listing(self.started.elapsed(), request)
        };
        if needs_listing {
            self.write_list(Some(request.holder)).await;
        }
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let mut turned_cold = Vec::new();
        let answer = state.grantor.request(now, request, &mut turned_cold);
        for target in turned_cold {
            log::warn!(
                "shares: target {target} turned cold; its limit is reduced to the cold limit"
            );
            if let Some(limits) = state.target_limits.get_mut(&target) {
                limits.in_force = limits.cold;
                limits.raise_at = now + COLD_HOLD;
            }
        }
        answer
    }

    /// Adds `holder` to the durable list before it may have slots. Without `holder`, removes the
    /// holders that have no slots.
    async fn write_list(&self, holder: Option<Identity>) {
        let (state, holders) = (Arc::clone(&self.state), Arc::clone(&self.holders));
        let write = move || {
            let mut holders = holders.lock().expect("no holder of the lock panics");
            let lock = || state.lock().expect("no holder of the lock panics");
            let list: BTreeSet<Identity> = lock().grantor.listed().chain(holder).collect();
            let is_known =
                list.is_superset(holders.written()) && holders.written().is_superset(&list);
            let is_written = is_known || holders.write(list);
            if let Some(holder) = holder.filter(|_| is_written) {
                lock().grantor.add_to_list(holder);
            }
        };
        if tokio::task::spawn_blocking(write).await.is_err() {
            log::error!(
                "shares: the task that writes the list of holders panicked or was cancelled"
            );
        }
    }

    /// The state of the list of holders, for a dump.
    pub fn holders(&self) -> HoldersState {
        let state = self.state.lock().expect("no holder of the lock panics");
        HoldersState {
            is_open: state.grantor.is_open(self.started.elapsed()),
            listed: state.grantor.listed().count(),
            awaited: state.grantor.unreported_holders(),
        }
    }

    /// The limits of all targets, for a dump.
    pub fn rows(&self) -> Vec<TargetRow> {
        let state = self.state.lock().expect("no holder of the lock panics");
        let row = |(target, limits): (&u32, &TargetLimits)| TargetRow {
            target: *target,
            limit_in_force: limits.in_force,
            limit: limits.limit,
            leased_in_use: state.grantor.exposed(*target),
        };
        let mut rows: Vec<TargetRow> = state.target_limits.iter().map(row).collect();
        rows.sort_by_key(|row| row.target);
        rows
    }

    /// The limits in force and the slots in use under leases, each summed over all targets.
    pub fn totals(&self) -> (u64, u64) {
        let rows = self.rows();
        let limit = rows.iter().map(|row| u64::from(row.limit_in_force)).sum();
        (limit, rows.iter().map(|row| row.leased_in_use).sum())
    }

    /// Applies a version. Known targets keep their limit in force within the new bounds.
    fn apply_config(&self, config: &Config) {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let state = &mut *state;
        let mut target_limits = HashMap::new();
        let own = config
            .targets
            .iter()
            .filter(|(_, target)| target.zone == self.zone);
        for (name, target) in own {
            let Some(number) = config.target_numbers.get(name).copied() else {
                continue;
            };
            let (limit, cold) = (target.limit, target.cold_limit);
            let base = base_share::of_target(config, target);
            let known = state.target_limits.remove(&number);
            let in_force = known
                .map_or(cold, |known| known.in_force)
                .clamp(cold, limit);
            let raise_at = known.map_or(now + RAISE_DELAY, |known| known.raise_at);
            let limits = TargetLimits {
                limit,
                cold,
                base,
                in_force,
                raise_at,
            };
            state.grantor.set_capacity(number, limits.capacity());
            target_limits.insert(number, limits);
        }
        for removed in state.target_limits.keys() {
            state.grantor.remove_target(*removed);
        }
        state.target_limits = target_limits;
    }

    /// Doubles the limits that are due to be raised.
    fn raise_limits(&self) {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let State {
            grantor,
            target_limits,
        } = &mut *state;
        for (number, limits) in target_limits {
            if limits.in_force < limits.limit && now >= limits.raise_at {
                limits.in_force = (limits.in_force * 2).min(limits.limit);
                limits.raise_at = now + RAISE_DELAY;
                grantor.set_capacity(*number, limits.capacity());
            }
        }
    }
}

impl TargetLimits {
    fn capacity(&self) -> Capacity {
        Capacity {
            limit: self.in_force,
            cold: self.cold,
            base: self.base,
        }
    }
}
