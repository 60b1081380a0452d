//! This daemon's shares of the limits of all targets.
//!
//! Owns one holder for each availability zone, because the control daemon of a zone grants the shares
//! of that zone's targets. No call starts without a slot from here.

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

/// Pause between renewals: three can be lost before the lease of 2 s expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// A renewal without an answer for this long is given up.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1000);

/// Pause before a lost connection is opened again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Slots wanted beyond those in use, so that the next calls need not wait for a renewal.
const HEADROOM: u32 = 4;

/// Slots wanted beyond those in use at a target that got no call lately. With the whole headroom, the
/// daemons of other zones that are idle would keep slots from those that have calls waiting.
const IDLE_HEADROOM: u32 = 1;

/// Without a call for this long, a target counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(5);

/// A base share rises this long after its version came into force here: the longest time in which
/// the version comes into force elsewhere (7 s), a lease and the longest call (under 15 s). By then
/// a daemon that can be reached no longer uses its earlier base share.
const BASE_RISE_AFTER: Duration = Duration::from_secs(22);

/// After a call found no free slot, slots of all zones are wanted for its kind of work for this long.
const STARVED_FOR: Duration = Duration::from_secs(5);

/// A target that stays cold is reported again after this long. The grantor keeps a target at its cold
/// limit for 6 s after each report.
const COLD_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The shortest pause between renewals that are sent early for a call that waits.
const EARLY_PAUSE: Duration = Duration::from_millis(50);

/// A target as the shares count it.
#[derive(Clone, Debug)]
struct Known {
    zone: usize,
    number: u32,
    key: TargetKey,
    base: u32,
    base_from: Duration,
    /// What it can be used for, by [`work`].
    works: Vec<u64>,
    /// When the grantor is told next that the target is still cold.
    cold_report_due: Duration,
    /// When the latest call took a slot.
    used_at: Option<Duration>,
}

/// What the router knows of the targets.
#[derive(Default)]
struct Observed {
    /// Those that were seen cold.
    cold: Vec<TargetKey>,
    /// Those of the own zone that may get new work.
    own_zone: HashSet<TargetKey>,
}

/// A zone's control daemon and the shares it grants.
struct Zone {
    name: ZoneName,
    holder: Holder,
}

struct State {
    zones: Vec<Zone>,
    targets: HashMap<TargetName, Known>,
    /// Kinds of work that found no free slot, with the time until which that counts.
    starved: HashMap<u64, Duration>,
}

/// The shares of this daemon.
pub struct Shares {
    daemon: DaemonName,
    zone: ZoneName,
    started: Instant,
    controls: Vec<(ZoneName, SocketAddr)>,
    state: Mutex<State>,
    /// Counts the reasons for an early renewal.
    early: watch::Sender<u64>,
}

/// A slot of one target, to be given back with [`Shares::end`]. Dropping it leaves the slot in use
/// until the call's deadline has passed.
pub struct Held {
    zone: usize,
    slot: Slot,
}

impl Shares {
    /// Shares of the targets of all zones that have a control daemon in the settings.
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

    /// Takes over a version; `key` finds a target in the router's table.
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
            // The first version after a start needs no wait of its own: the holder opens base shares
            // only after the longest call.
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

    /// Takes a slot for a call that ends after `time_left` at the latest.
    ///
    /// # Errors
    /// `NoSlot` if this daemon has none left at the target.
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

    /// Notes that a call found no free slot, so that slots of all zones are asked for.
    pub fn starved(&self, need: Need<'_>) {
        let until = self.started.elapsed() + STARVED_FOR;
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let known = state.starved.insert(work(need), until);
        if known.is_none() {
            self.early.send_modify(|count| *count += 1);
        }
    }

    /// Gives the slot of a call back that has ended at the target.
    pub fn end(&self, held: Held) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.zones[held.zone].holder.end(held.slot);
    }

    /// Notes signs of a cold start.
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

    /// Free slots of this daemon at each target now.
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

    /// Starts a task for each zone that renews the shares until the gateway is gone.
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

    /// States what the daemon could use and builds the next renewal.
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
            // Slots of other zones' targets are taken from the daemons of those zones, so that they
            // are wanted only when a call found none, or when no target of the own zone does the
            // work. Without slots before the first call, that call's successors would be refused
            // until the capacity, which follows from the slots, has recovered.
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
            // A grantor that has restarted waits for the use that the next renewal reports.
            self.early.send_modify(|count| *count += 1);
        }
    }
}

/// Keeps a connection to a zone's control daemon and renews the shares that it grants.
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
            // A renewal that is never sent still moves the holder's time on, so that base shares open
            // while the zone's control daemon is down. To the grantor it is a lost message.
            drop(gateway.shares.request(zone, &Observed::default()));
            gateway.refresh_grants();
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Renews until the connection fails; returns why.
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
                // Several calls that find no slot at the same time share one renewal.
                sleep(EARLY_PAUSE).await;
                early.mark_unchanged();
                ticks.reset();
            }
            () = connection.wait_closed() => {
                return Error::Closed { message: "the peer is gone".to_owned() };
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

/// What a target can be used for.
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

/// A number for a kind of work. Two kinds with the same number only ask for more slots than needed.
fn work(need: Need<'_>) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    match need {
        Need::Stage(kind, model) => (kind, model).hash(&mut hasher),
        Need::Service(service) => service.hash(&mut hasher),
    }
    hasher.finish()
}
