//! This daemon's shares of the limits of all targets.
//!
//! Owns one share holder for each availability zone, because the control daemon of a zone grants
//! the shares of that zone's targets. Every call needs a slot from here.

use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::share::{Holder, Refusal, Slot, Timing};
use azurelug_core::base_share;
use azurelug_core::routing::Need;
use azurelug_types::config::{Config, Role, Target};
use azurelug_types::id::{DaemonName, TargetKey, TargetName, ZoneName};
use azurelug_wire::{Connection, Error, Frame, handshake};
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::gateway::Gateway;

/// Interval of renewals: three can be lost before the lease of 2 s expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1000);

/// Delay before reconnecting.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

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
const BASE_RISE_AFTER: Duration = Duration::from_secs(22);

/// After a call has found no free slot, slots in all zones are requested for its kind of work for
/// this long.
const STARVED_FOR: Duration = Duration::from_secs(5);

/// Interval of reports about a target that stays in cold start. The grantor applies a target's cold
/// limit for 6 s after each report.
const COLD_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Delay of a renewal that is sent ahead of its interval; limits the rate of such renewals.
const EARLY_PAUSE: Duration = Duration::from_millis(50);

/// A target with this daemon's share accounting.
#[derive(Clone, Debug)]
struct Known {
    zone: usize,
    number: u32,
    key: TargetKey,
    base: u32,
    base_from: Duration,
    /// The kinds of work that it can do, as numbers from [`work`].
    works: Vec<u64>,
    /// Time from which the grantor is told again that the target is still in cold start.
    cold_report_due: Duration,
    /// Time at which the latest call acquired a slot.
    used_at: Option<Duration>,
}

/// The router's observations of the targets.
#[derive(Default)]
struct Observed {
    /// Targets in cold start.
    cold: Vec<TargetKey>,
    /// Targets in the daemon's zone that may get new work.
    own_zone: HashSet<TargetKey>,
}

/// An availability zone and the shares granted by its control daemon.
struct Zone {
    name: ZoneName,
    holder: Holder,
}

struct State {
    zones: Vec<Zone>,
    targets: HashMap<TargetName, Known>,
    /// Kinds of work for which a call found no free slot, each with the end of the period in which
    /// slots of all zones are requested for it.
    starved: HashMap<u64, Duration>,
}

/// The shares of this daemon.
pub struct Shares {
    daemon: DaemonName,
    zone: ZoneName,
    started: Instant,
    controls: Vec<(ZoneName, SocketAddr)>,
    state: Mutex<State>,
    /// Triggers a renewal ahead of its interval when the count changes.
    early: watch::Sender<u64>,
}

/// A slot of one target, to be released with [`Shares::end`]. If it is dropped instead, the slot
/// stays in use until the call's deadline has passed.
pub struct Held {
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
        let zone = |(name, _): &(ZoneName, SocketAddr)| Zone {
            name: name.clone(),
            holder: Holder::new(Duration::ZERO, identity, Timing::default()),
        };
        let zones = controls.iter().map(zone).collect();
        let state = Mutex::new(State {
            zones,
            targets: HashMap::new(),
            starved: HashMap::new(),
        });
        Self {
            daemon,
            zone: own_zone,
            started: Instant::now(),
            controls,
            state,
            early: watch::Sender::new(0),
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
            let base = base_share::of(config, name, target, &self.daemon);
            let earlier = state
                .targets
                .get(name)
                .filter(|known| known.number == number);
            // The first version after a start needs no additional delay: the holder opens base
            // shares only after the duration of the longest call.
            let used_at = earlier.and_then(|earlier| earlier.used_at);
            let base_from = match earlier {
                Some(earlier) if base > earlier.base => now + BASE_RISE_AFTER,
                Some(earlier) => earlier.base_from,
                None => now,
            };
            if earlier.is_none_or(|earlier| base < earlier.base) {
                state.zones[zone].holder.set_base(number, base);
            }
            let works = works(target);
            let known = Known {
                zone,
                number,
                key,
                base,
                base_from,
                works,
                cold_report_due: Duration::ZERO,
                used_at,
            };
            targets.insert(name.clone(), known);
        }
        let removed = state.targets.iter().filter(|(name, known)| {
            targets
                .get(*name)
                .is_none_or(|kept| kept.number != known.number)
        });
        let removed: Vec<Known> = removed.map(|(_, known)| known.clone()).collect();
        for known in removed {
            state.zones[known.zone].holder.set_base(known.number, 0);
            state.zones[known.zone].holder.want(known.number, 0);
        }
        state.targets = targets;
        // New targets have no slots until the next renewal.
        self.early.send_modify(|count| *count += 1);
    }

    /// Acquires a slot for a call that ends within `time_left`.
    ///
    /// # Errors
    /// `NoSlot` if this daemon has no free slot at the target.
    pub fn start(&self, target: &TargetName, time_left: Duration) -> Result<Held, Refusal> {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let State { zones, targets, .. } = &mut *state;
        let known = targets.get_mut(target).ok_or(Refusal::NoSlot)?;
        let zone = known.zone;
        let slot = zones[zone].holder.start(now, known.number, time_left)?;
        known.used_at = Some(now);
        Ok(Held { zone, slot })
    }

    /// Records that a call found no free slot, so that slots in all zones are requested.
    pub fn starved(&self, need: Need<'_>) {
        let until = self.started.elapsed() + STARVED_FOR;
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let known = state.starved.insert(work(need), until);
        if known.is_none() {
            self.early.send_modify(|count| *count += 1);
        }
    }

    /// Releases the slot of a call that has ended at the target.
    pub fn end(&self, held: Held) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.zones[held.zone].holder.end(held.slot);
    }

    /// Reports a target in cold start to its grantor with the next renewal.
    pub fn turned_cold(&self, target: &TargetName) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if let Some(known) = state.targets.get(target).cloned() {
            state.zones[known.zone].holder.turn_cold(known.number);
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
        let free = |known: &Known| {
            let holder = &mut zones[known.zone].holder;
            holder.expire(now);
            holder
                .allowed(now, known.number)
                .saturating_sub(holder.in_flight(known.number))
        };
        targets
            .values()
            .map(free)
            .zip(targets.values())
            .map(|(free, known)| (known.key, free))
            .collect()
    }

    /// Starts a task for each zone that renews its shares until the gateway is dropped.
    pub fn run(gateway: &Arc<Gateway>, identity: &Arc<handshake::Identity>) {
        for (zone, (_, address)) in gateway.shares.controls.iter().enumerate() {
            let task = keep(
                zone,
                *address,
                Arc::clone(identity),
                Arc::downgrade(gateway),
            );
            tokio::spawn(task);
        }
    }

    /// Updates the number of slots that the daemon requests at each target, and builds the next
    /// renewal.
    fn request(&self, zone: usize, observed: &Observed) -> Frame {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let State {
            zones,
            targets,
            starved,
        } = &mut *state;
        starved.retain(|_, until| *until > now);
        let own = targets
            .values()
            .filter(|known| observed.own_zone.contains(&known.key));
        let served: HashSet<u64> = own.flat_map(|known| known.works.iter().copied()).collect();
        let Zone { name, holder } = &mut zones[zone];
        for known in targets.values_mut().filter(|known| known.zone == zone) {
            if now >= known.base_from {
                holder.set_base(known.number, known.base);
            }
            if observed.cold.contains(&known.key) && now >= known.cold_report_due {
                known.cold_report_due = now + COLD_REPORT_INTERVAL;
                holder.turn_cold(known.number);
            }
            // Slots of targets in other zones come at the expense of the daemons there. They are
            // requested only after a call found no free slot, or if no target in the own zone can
            // do the work. In that last case they are needed before the first call: the capacity is
            // computed from the slots, and later calls would be refused until it has recovered.
            let is_starved = known.works.iter().any(|work| starved.contains_key(work));
            let is_served = known.works.iter().all(|work| served.contains(work));
            let is_idle = known.used_at.is_none_or(|at| now > at + IDLE_AFTER);
            let headroom = match *name == self.zone {
                _ if is_starved || !is_served => HEADROOM,
                true if is_idle => IDLE_HEADROOM,
                true => HEADROOM,
                false => 0,
            };
            let in_flight = holder.in_flight(known.number);
            holder.want(known.number, in_flight + in_flight / 2 + headroom);
        }
        Frame::Share(holder.request(now))
    }

    fn answer(&self, zone: usize, answer: &azurelug_coordination::share::Answer) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let holder = &mut state.zones[zone].holder;
        let epoch = holder.epoch();
        holder.answer(answer);
        if holder.epoch() != epoch {
            // After a restart, the grantor waits until the next renewal reports the slots in use.
            self.early.send_modify(|count| *count += 1);
        }
    }
}

/// Maintains a connection to a zone's control daemon and renews the shares that it grants.
async fn keep(
    zone: usize,
    address: SocketAddr,
    identity: Arc<handshake::Identity>,
    gateway: Weak<Gateway>,
) {
    while gateway.strong_count() > 0 {
        match Connection::open(address, Arc::clone(&identity)).await {
            Ok(connection) => {
                let reason = renew(zone, &connection, &gateway).await;
                log::warn!(
                    "shares: connection to control {} lost: {reason}",
                    connection.peer()
                );
            }
            Err(error) => log::debug!("shares: {error}"),
        }
        if let Some(gateway) = gateway.upgrade() {
            // Building a renewal advances the holder's time even if it is not sent, so that base
            // shares open while the zone's control daemon is down. To the grantor it is a lost
            // message.
            drop(gateway.shares.request(zone, &Observed::default()));
            gateway.refresh_grants();
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Renews the shares until the connection fails; returns the error.
async fn renew(zone: usize, connection: &Connection, gateway: &Weak<Gateway>) -> Error {
    let mut ticks = interval(RENEW_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let Some(mut early) = gateway
        .upgrade()
        .map(|gateway| gateway.shares.early.subscribe())
    else {
        return Error::Closed {
            message: "the daemon stops".to_owned(),
        };
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            changed = early.changed() => {
                if changed.is_err() {
                    return Error::Closed { message: "the daemon stops".to_owned() };
                }
                // The delay combines the renewals of several calls that find no slot at the same
                // time.
                sleep(EARLY_PAUSE).await;
                early.mark_unchanged();
                ticks.reset();
            }
            () = connection.wait_closed() => {
                return Error::Closed { message: "the peer closed the connection".to_owned() };
            }
        }
        let Some(gateway) = gateway.upgrade() else {
            return Error::Closed {
                message: "the daemon stops".to_owned(),
            };
        };
        let observed = gateway.with_router(|router, now| Observed {
            cold: router.cold(),
            own_zone: router.own_zone(now).into_iter().collect(),
        });
        let request = gateway.shares.request(zone, &observed);
        match connection.call(request, RENEW_TIMEOUT).await {
            Ok(Frame::ShareAnswer(answer)) => gateway.shares.answer(zone, &answer),
            Ok(_) => {}
            Err(error) => return error,
        }
        gateway.refresh_grants();
    }
}

/// The kinds of work that a target can do.
fn works(target: &Target) -> Vec<u64> {
    match &target.role {
        Role::Engine(kind) => target
            .loaded
            .iter()
            .map(|model| work(Need::Stage(*kind, model)))
            .collect(),
        Role::Service(service) => vec![work(Need::Service(service))],
    }
}

/// A hash of a kind of work. If two kinds collide, more slots than needed are requested.
fn work(need: Need<'_>) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    match need {
        Need::Stage(kind, model) => (kind, model).hash(&mut hasher),
        Need::Service(service) => service.hash(&mut hasher),
    }
    hasher.finish()
}
