//! This daemon's shares of the limits of all targets.
//!
//! Owns one share holder for each availability zone, because the control daemon of a zone grants
//! the shares of that zone's targets. Every call needs a slot from here.

use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_coordination::lease::Identity;
use azurelug_coordination::share::{Holder, Refusal, Slot, Timing};
use azurelug_core::base_share;
use azurelug_core::routing::Requirement;
use azurelug_types::config::{Config, Role, Target};
use azurelug_types::id::{DaemonName, TargetKey, TargetName, ZoneName};
use azurelug_wire::{Connection, Error, Frame, handshake};
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::entry_state::EntryState;

/// Interval of renewals: three can be lost before the lease of 2 s expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay before reconnecting.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Slots requested in addition to those in use, so that the next calls need not wait for a renewal.
const HEADROOM: u32 = 4;

/// Slots requested in addition to those in use at an idle target. With the full headroom, idle
/// daemons in other zones would hold slots that daemons with waiting calls need.
const IDLE_HEADROOM: u32 = 1;

/// A target is idle for this daemon after this long without a call.
const IDLE_AFTER: Duration = Duration::from_secs(5);

/// Delay before an increased base share is used, counted from when its version came into force
/// here: the longest time until the version is in force on other daemons (7 s) plus a lease and the
/// longest call (under 15 s). After that, no reachable daemon uses its previous base share any
/// more.
const BASE_RISE_DELAY: Duration = Duration::from_secs(22);

/// After a call has found no free slot, slots in all zones are requested for its kind of work for
/// this long.
const STARVATION_PERIOD: Duration = Duration::from_secs(5);

/// Interval of reports about a target that stays in cold start. The grantor applies a target's cold
/// limit for 6 s after each report.
const COLD_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Delay of a renewal that is sent ahead of its interval; limits the rate of such renewals.
const EARLY_RENEWAL_DELAY: Duration = Duration::from_millis(50);

/// A target with this daemon's share accounting.
#[derive(Clone, Debug)]
struct TrackedTarget {
    zone: usize,
    number: u32,
    key: TargetKey,
    base: u32,
    base_rises_at: Duration,
    /// The kinds of work that it can do, as numbers from [`work_id`].
    work_ids: Vec<u64>,
    /// Time from which the grantor is told again that the target is still in cold start.
    cold_report_due: Duration,
    /// Time at which the latest call acquired a slot.
    used_at: Option<Duration>,
}

/// The router's observations of the targets.
#[derive(Default)]
struct Observations {
    /// Targets in cold start.
    cold: Vec<TargetKey>,
    /// Targets in the daemon's zone that may get new work.
    own_zone: HashSet<TargetKey>,
}

/// An availability zone and the shares granted by its control daemon.
struct ZoneShares {
    name: ZoneName,
    holder: Holder,
}

struct State {
    zones: Vec<ZoneShares>,
    targets: HashMap<TargetName, TrackedTarget>,
    /// Kinds of work for which a call found no free slot, each with the end of the period in which
    /// slots of all zones are requested for it.
    starved_until: HashMap<u64, Duration>,
}

/// The shares of this daemon.
pub struct Shares {
    daemon: DaemonName,
    zone: ZoneName,
    started: Clock,
    controls: Vec<(ZoneName, SocketAddr)>,
    state: Mutex<State>,
    /// Triggers a renewal ahead of its interval when the count changes.
    early_renewals: watch::Sender<u64>,
}

/// A slot of one target, to be released with [`Shares::release`]. If it is dropped instead, the
/// slot stays in use until the call's deadline has passed.
pub struct ShareSlot {
    zone: usize,
    slot: Slot,
}

impl Shares {
    /// Creates the shares for the targets of all zones that have a control daemon in the settings.
    pub fn new(
        daemon: DaemonName,
        own_zone: ZoneName,
        incarnation: u64,
        controls: Vec<(ZoneName, SocketAddr)>,
    ) -> Self {
        let digest = Sha256::digest(daemon.as_str().as_bytes());
        let id = u64::from_be_bytes(*digest.first_chunk().expect("a SHA-256 has 32 bytes"));
        let identity = Identity { id, incarnation };
        let zone = |(name, _): &(ZoneName, SocketAddr)| ZoneShares {
            name: name.clone(),
            holder: Holder::new(Duration::ZERO, identity, Timing::default()),
        };
        let zones = controls.iter().map(zone).collect();
        let state = Mutex::new(State {
            zones,
            targets: HashMap::new(),
            starved_until: HashMap::new(),
        });
        Self {
            daemon,
            zone: own_zone,
            started: Clock::start(),
            controls,
            state,
            early_renewals: watch::Sender::new(0),
        }
    }

    /// Applies a configuration version; `key` looks a target up in the router's table.
    pub fn apply(&self, config: &Config, key: impl Fn(&TargetName) -> Option<TargetKey>) {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let mut targets = HashMap::new();
        for (name, target) in &config.targets {
            let zone = state.zones.iter().position(|zone| zone.name == target.zone);
            let number = config.target_numbers.get(name).copied();
            let (Some(zone), Some(number), Some(key)) = (zone, number, key(name)) else {
                continue;
            };
            let base = base_share::of_daemon(config, name, target, &self.daemon);
            let earlier = state
                .targets
                .get(name)
                .filter(|tracked| tracked.number == number);
            // The first version after a start needs no additional delay: the holder opens base
            // shares only after the duration of the longest call.
            let used_at = earlier.and_then(|earlier| earlier.used_at);
            let base_rises_at = match earlier {
                Some(earlier) if base > earlier.base => now + BASE_RISE_DELAY,
                Some(earlier) => earlier.base_rises_at,
                None => now,
            };
            if earlier.is_none_or(|earlier| base < earlier.base) {
                state.zones[zone].holder.set_base(number, base);
            }
            let work_ids = work_ids(target);
            let tracked = TrackedTarget {
                zone,
                number,
                key,
                base,
                base_rises_at,
                work_ids,
                cold_report_due: Duration::ZERO,
                used_at,
            };
            targets.insert(name.clone(), tracked);
        }
        let removed = state.targets.iter().filter(|(name, tracked)| {
            targets
                .get(*name)
                .is_none_or(|kept| kept.number != tracked.number)
        });
        let removed: Vec<TrackedTarget> = removed.map(|(_, tracked)| tracked.clone()).collect();
        for tracked in removed {
            state.zones[tracked.zone].holder.set_base(tracked.number, 0);
            state.zones[tracked.zone]
                .holder
                .set_demand(tracked.number, 0);
        }
        state.targets = targets;
        // New targets have no slots until the next renewal.
        self.early_renewals.send_modify(|count| *count += 1);
    }

    /// Acquires a slot for a call that ends within `time_left`.
    ///
    /// # Errors
    /// `NoSlot` if this daemon has no free slot at the target.
    pub fn acquire(&self, target: &TargetName, time_left: Duration) -> Result<ShareSlot, Refusal> {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let State { zones, targets, .. } = &mut *state;
        let tracked = targets.get_mut(target).ok_or(Refusal::NoSlot)?;
        let zone = tracked.zone;
        let slot = zones[zone].holder.start(now, tracked.number, time_left)?;
        tracked.used_at = Some(now);
        Ok(ShareSlot { zone, slot })
    }

    /// Records that a call found no free slot, so that slots in all zones are requested.
    pub fn mark_starved(&self, need: Requirement<'_>) {
        let until = self.started.elapsed() + STARVATION_PERIOD;
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let previous = state.starved_until.insert(work_id(need), until);
        if previous.is_none() {
            self.early_renewals.send_modify(|count| *count += 1);
        }
    }

    /// Releases the slot of a call that has ended at the target.
    pub fn release(&self, share_slot: ShareSlot) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.zones[share_slot.zone].holder.end(share_slot.slot);
    }

    /// Reports a target in cold start to its grantor with the next renewal.
    pub fn record_cold_start(&self, target: &TargetName) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if let Some(tracked) = state.targets.get(target).cloned() {
            state.zones[tracked.zone]
                .holder
                .report_cold_start(tracked.number);
        }
    }

    /// Whether the base shares are open, see [`Holder::is_base_open`].
    pub fn is_base_open(&self) -> bool {
        let state = self.state.lock().expect("no holder of the lock panics");
        state.zones.iter().all(|zone| zone.holder.is_base_open())
    }

    /// The number of free slots that this daemon has at each target now.
    pub fn slots(&self) -> Vec<(TargetKey, u32)> {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let State { zones, targets, .. } = &mut *state;
        let free = |tracked: &TrackedTarget| {
            let holder = &mut zones[tracked.zone].holder;
            holder.expire(now);
            holder
                .allowed(now, tracked.number)
                .saturating_sub(holder.in_flight(tracked.number))
        };
        targets
            .values()
            .map(free)
            .zip(targets.values())
            .map(|(free, tracked)| (tracked.key, free))
            .collect()
    }

    /// Starts a task for each zone that renews its shares until the entry state is dropped.
    pub fn spawn_renewals(entry_state: &Arc<EntryState>, identity: &Arc<handshake::Identity>) {
        for (zone, (_, address)) in entry_state.shares.controls.iter().enumerate() {
            let task = maintain_connection(
                zone,
                *address,
                Arc::clone(identity),
                Arc::downgrade(entry_state),
            );
            tokio::spawn(task);
        }
    }

    /// Updates the number of slots that the daemon requests at each target, and builds the next
    /// renewal.
    fn next_renewal(&self, zone: usize, observations: &Observations) -> Frame {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let State {
            zones,
            targets,
            starved_until,
        } = &mut *state;
        starved_until.retain(|_, until| *until > now);
        let own = targets
            .values()
            .filter(|tracked| observations.own_zone.contains(&tracked.key));
        let served: HashSet<u64> = own
            .flat_map(|tracked| tracked.work_ids.iter().copied())
            .collect();
        let ZoneShares { name, holder } = &mut zones[zone];
        for tracked in targets.values_mut().filter(|tracked| tracked.zone == zone) {
            if now >= tracked.base_rises_at {
                holder.set_base(tracked.number, tracked.base);
            }
            if observations.cold.contains(&tracked.key) && now >= tracked.cold_report_due {
                tracked.cold_report_due = now + COLD_REPORT_INTERVAL;
                holder.report_cold_start(tracked.number);
            }
            // Slots of targets in other zones come at the expense of the daemons there. They are
            // requested only after a call found no free slot, or if no target in the own zone can
            // do the work. In that last case they are needed before the first call: the capacity is
            // computed from the slots, and later calls would be refused until it has recovered.
            let is_starved = tracked
                .work_ids
                .iter()
                .any(|id| starved_until.contains_key(id));
            let is_served = tracked.work_ids.iter().all(|id| served.contains(id));
            let is_idle = tracked.used_at.is_none_or(|at| now > at + IDLE_AFTER);
            let headroom = match *name == self.zone {
                _ if is_starved || !is_served => HEADROOM,
                true if is_idle => IDLE_HEADROOM,
                true => HEADROOM,
                false => 0,
            };
            let in_flight = holder.in_flight(tracked.number);
            holder.set_demand(tracked.number, in_flight + in_flight / 2 + headroom);
        }
        Frame::Share(holder.request(now))
    }

    fn apply_answer(&self, zone: usize, answer: &azurelug_coordination::share::Answer) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let holder = &mut state.zones[zone].holder;
        let epoch = holder.epoch();
        holder.answer(answer);
        if holder.epoch() != epoch {
            // After a restart, the grantor waits until the next renewal reports the slots in use.
            self.early_renewals.send_modify(|count| *count += 1);
        }
    }
}

/// Maintains a connection to a zone's control daemon and renews the shares that it grants.
async fn maintain_connection(
    zone: usize,
    address: SocketAddr,
    identity: Arc<handshake::Identity>,
    entry_state: Weak<EntryState>,
) {
    while entry_state.strong_count() > 0 {
        match Connection::open(address, Arc::clone(&identity)).await {
            Ok(connection) => {
                let reason = renew(zone, &connection, &entry_state).await;
                log::warn!(
                    "shares: connection to control {} lost: {reason}",
                    connection.peer()
                );
            }
            Err(error) => log::debug!("shares: {error}"),
        }
        if let Some(entry_state) = entry_state.upgrade() {
            // Building a renewal advances the holder's time even if it is not sent, so that base
            // shares open while the zone's control daemon is down. To the grantor it is a lost
            // message.
            drop(
                entry_state
                    .shares
                    .next_renewal(zone, &Observations::default()),
            );
            entry_state.refresh_grants();
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Renews the shares until the connection fails; returns the error.
async fn renew(zone: usize, connection: &Connection, entry_state: &Weak<EntryState>) -> Error {
    let mut ticks = interval(RENEW_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let Some(mut early_renewals) = entry_state
        .upgrade()
        .map(|entry_state| entry_state.shares.early_renewals.subscribe())
    else {
        return Error::Closed {
            message: "the daemon stops".to_owned(),
        };
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = early_renewals.changed() => {
                if changed.is_err() {
                    return Error::Closed { message: "the daemon stops".to_owned() };
                }
                // The delay combines the renewals of several calls that find no slot at the same
                // time.
                sleep(EARLY_RENEWAL_DELAY).await;
                early_renewals.mark_unchanged();
                ticks.reset();
            }
            () = connection.wait_closed() => {
                return Error::Closed { message: "the peer closed the connection".to_owned() };
            }
        }
        let Some(entry_state) = entry_state.upgrade() else {
            return Error::Closed {
                message: "the daemon stops".to_owned(),
            };
        };
        let observations = entry_state.with_router(|router, now| Observations {
            cold: router.cold_targets(),
            own_zone: router
                .healthy_targets_in_own_zone(now)
                .into_iter()
                .collect(),
        });
        let request = entry_state.shares.next_renewal(zone, &observations);
        match connection.call(request, RENEW_TIMEOUT).await {
            Ok(Frame::ShareAnswer(answer)) => entry_state.shares.apply_answer(zone, &answer),
            Ok(_) => {}
            Err(error) => return error,
        }
        entry_state.refresh_grants();
    }
}

/// The kinds of work that a target can do.
fn work_ids(target: &Target) -> Vec<u64> {
    match &target.role {
        Role::Engine(kind) => target
            .loaded
            .iter()
            .map(|model| work_id(Requirement::Stage(*kind, model)))
            .collect(),
        Role::Service(service) => vec![work_id(Requirement::Service(service))],
    }
}

/// A hash of a kind of work. If two kinds collide, more slots than needed are requested.
fn work_id(need: Requirement<'_>) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    match need {
        Requirement::Stage(kind, model) => (kind, model).hash(&mut hasher),
        Requirement::Service(service) => service.hash(&mut hasher),
    }
    hasher.finish()
}
