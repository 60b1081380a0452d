//! This daemon's shares of the limits of all targets.
//!
//! Owns one holder for each availability zone, because the control daemon of a zone grants the shares
//! of that zone's targets. No call starts without a slot from here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::share::{Holder, Refusal, Slot, Timing};
use azurelug_core::base_share;
use azurelug_types::config::Config;
use azurelug_types::id::{DaemonName, TargetKey, TargetName, ZoneName};
use azurelug_wire::{Connection, Error, Frame, handshake};
use sha2::{Digest, Sha256};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::gateway::Gateway;

/// Pause between renewals: three can be lost before the lease of 2 s expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// A renewal without an answer for this long is given up.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1000);

/// Pause before a lost connection is opened again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Slots wanted beyond those in use, so that the next calls need not wait for a renewal.
const HEADROOM: u32 = 2;

/// A base share rises this long after its version came into force here: the longest time in which
/// the version comes into force elsewhere (7 s), a lease and the longest call (under 15 s). By then
/// a daemon that can be reached no longer uses its earlier base share.
const BASE_RISE_AFTER: Duration = Duration::from_secs(22);

/// A target as the shares count it.
#[derive(Clone, Copy, Debug)]
struct Known {
    zone: usize,
    number: u32,
    key: TargetKey,
    base: u32,
    base_from: Duration,
}

/// A zone's control daemon and the shares it grants.
struct Zone {
    name: ZoneName,
    holder: Holder,
    /// Calls that found no slot since the last renewal, by target.
    missed: HashMap<u32, u32>,
}

struct State {
    zones: Vec<Zone>,
    targets: HashMap<TargetName, Known>,
}

/// The shares of this daemon.
pub struct Shares {
    daemon: DaemonName,
    zone: ZoneName,
    started: Instant,
    controls: Vec<(ZoneName, SocketAddr)>,
    state: Mutex<State>,
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
            missed: HashMap::new(),
        };
        let zones = controls.iter().map(zone).collect();
        let state = Mutex::new(State {
            zones,
            targets: HashMap::new(),
        });
        Self {
            daemon,
            zone: own_zone,
            started: Instant::now(),
            controls,
            state,
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
            let base_from = match earlier {
                Some(earlier) if base > earlier.base => now + BASE_RISE_AFTER,
                Some(earlier) => earlier.base_from,
                None => now,
            };
            if earlier.is_none_or(|earlier| base < earlier.base) {
                state.zones[zone].holder.set_base(number, base);
            }
            targets.insert(
                name.clone(),
                Known {
                    zone,
                    number,
                    key,
                    base,
                    base_from,
                },
            );
        }
        let removed = state.targets.iter().filter(|(name, known)| {
            targets
                .get(*name)
                .is_none_or(|kept| kept.number != known.number)
        });
        let removed: Vec<Known> = removed.map(|(_, known)| *known).collect();
        for known in removed {
            state.zones[known.zone].holder.set_base(known.number, 0);
            state.zones[known.zone].holder.want(known.number, 0);
        }
        state.targets = targets;
    }

    /// Takes a slot for a call that ends after `time_left` at the latest.
    ///
    /// # Errors
    /// `NoSlot` if this daemon has none left at the target.
    pub fn start(&self, target: &TargetName, time_left: Duration) -> Result<Held, Refusal> {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let Some(known) = state.targets.get(target).copied() else {
            return Err(Refusal::NoSlot);
        };
        let zone = &mut state.zones[known.zone];
        match zone.holder.start(now, known.number, time_left) {
            Ok(slot) => Ok(Held {
                zone: known.zone,
                slot,
            }),
            Err(refusal) => {
                *zone.missed.entry(known.number).or_insert(0) += 1;
                Err(refusal)
            }
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
        if let Some(known) = state.targets.get(target).copied() {
            state.zones[known.zone].holder.turn_cold(known.number);
        }
    }

    /// Free slots of this daemon at each target now.
    pub fn slots(&self) -> Vec<(TargetKey, u32)> {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let State { zones, targets } = &mut *state;
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
    fn request(&self, zone: usize) -> Frame {
        let now = self.started.elapsed();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let State { zones, targets } = &mut *state;
        let Zone {
            name,
            holder,
            missed,
        } = &mut zones[zone];
        for known in targets.values_mut().filter(|known| known.zone == zone) {
            if now >= known.base_from {
                holder.set_base(known.number, known.base);
            }
            let missed = missed.remove(&known.number).unwrap_or(0);
            let in_flight = holder.in_flight(known.number);
            // Other zones' targets are wanted only once they are needed, because their slots are
            // taken from the daemons of those zones.
            let headroom = if *name == self.zone { HEADROOM } else { 0 };
            let wanted = in_flight + in_flight / 2 + missed + headroom;
            holder.want(known.number, wanted);
        }
        missed.clear();
        Frame::Share(holder.request(now))
    }

    fn answer(&self, zone: usize, answer: &azurelug_coordination::share::Answer) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.zones[zone].holder.answer(answer);
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
            gateway.refresh_grants();
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Renews until the connection fails; returns why.
async fn renew(zone: usize, connection: &Connection, gateway: &Weak<Gateway>) -> Error {
    let mut ticks = interval(RENEW_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = connection.wait_closed() => {
                return Error::Closed { message: "the peer is gone".to_owned() };
            }
        }
        let Some(gateway) = gateway.upgrade() else {
            return Error::Closed {
                message: "the daemon stops".to_owned(),
            };
        };
        let request = gateway.shares.request(zone);
        match connection.call(request, RENEW_TIMEOUT).await {
            Ok(Frame::ShareAnswer(answer)) => gateway.shares.answer(zone, &answer),
            Ok(_) => {}
            Err(error) => return error,
        }
        gateway.refresh_grants();
    }
}
