//! Which gateways are in service, and by how many the bounds for all of them are divided.
//!
//! Load pattern: all control daemons are killed and return, or a zone is partitioned, while targets
//! are cold. A daemon that has just started lists only the gateways that have polled it since. A
//! gateway that divides a bound by that number sends several times its share.
//!
//! A gateway is dropped on evidence only: a list that is complete and does not contain it. A list
//! is complete once its control daemon has received polls for longer than the time after which
//! silent gateways are removed. Gateways that stop as planned announce it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azurelug_types::fleet::Peer;
use azurelug_types::id::{DaemonName, ZoneName};

/// A gateway that has polled no control daemon for this long is not listed. The time covers several
/// polls and exchanges, so that one lost message does not move work to other gateways.
pub const GATEWAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest pause in a control daemon's own work after which its list counts as new: what it did not
/// receive in that time says nothing. Three exchanges between the daemons.
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// Silence after which a gateway that another control daemon lists no longer polls this one: three
/// polls. For shorter, the other daemon may still list a gateway that has changed to this one.
const MOVED_AFTER: Duration = Duration::from_secs(1);

/// Time until all gateways know a gateway that has just started or could not be reached: two polls
/// and an exchange, as for the handover of permits.
const INTRODUCTION: Duration = super::limits::HANDOVER;

/// Factor for the number of gateways during the introduction. The other gateways divide by a number
/// that does not contain this one yet; 4 keeps the sum within the bound if as many gateways are
/// new as there were before.
const INTRODUCTION_FACTOR: usize = 4;

/// The gateways known to one gateway.
#[derive(Debug)]
pub struct Roster {
    own: Peer,
    peers: BTreeMap<DaemonName, Peer>,
    /// Zones of which a gateway has ever been listed.
    zones: BTreeSet<ZoneName>,
    has_list: bool,
    is_complete: bool,
    introduction_until: Duration,
}

impl Roster {
    /// Creates a roster that contains only this gateway.
    #[must_use]
    pub fn new(own: Peer) -> Self {
        Self {
            zones: BTreeSet::from([own.zone.clone()]),
            peers: BTreeMap::from([(own.name.clone(), own.clone())]),
            own,
            has_list: false,
            is_complete: false,
            introduction_until: Duration::ZERO,
        }
    }

    /// Takes over a list whose control daemon has received polls for `known_for`. Returns whether
    /// the gateways have changed or this is the first list.
    pub fn replace(&mut self, list: &[Peer], known_for: Duration, now: Duration) -> bool {
        let mut next: BTreeMap<DaemonName, Peer> = list
            .iter()
            .chain([&self.own])
            .map(|peer| (peer.name.clone(), peer.clone()))
            .collect();
        let is_first = !std::mem::replace(&mut self.has_list, true);
        let is_new = is_first && next.len() > 1;
        let was_listed = |zone: &ZoneName| self.peers.values().any(|peer| peer.zone == *zone);
        let has_zone_returned = next
            .values()
            .any(|peer| self.zones.contains(&peer.zone) && !was_listed(&peer.zone));
        if is_new || has_zone_returned {
            self.introduction_until = now + INTRODUCTION;
        }
        self.zones
            .extend(next.values().map(|peer| peer.zone.clone()));
        self.is_complete = known_for >= GATEWAY_TIMEOUT;
        if !self.is_complete {
            for (name, peer) in &self.peers {
                next.entry(name.clone()).or_insert_with(|| peer.clone());
            }
        }
        let is_changed = next != self.peers;
        self.peers = next;
        is_changed || is_first
    }

    /// Whether the last list was complete. If not, the list is to be asked for again.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// The gateways in service, this one included.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// The number by which this gateway divides bounds that hold for all gateways together.
    #[must_use]
    pub fn count(&self, now: Duration) -> usize {
        let factor = if now < self.introduction_until {
            INTRODUCTION_FACTOR
        } else {
            1
        };
        self.peers.len() * factor
    }
}

#[derive(Debug)]
struct Record {
    peer: Peer,
    last_seen: Duration,
    /// Whether it polls this daemon and not another one.
    is_local: bool,
}

/// The gateways known to one control daemon: those that poll it, and those that poll another one.
#[derive(Debug, Default)]
pub struct Register {
    gateways: BTreeMap<DaemonName, Record>,
    /// Since when this daemon has received polls without a pause of its own.
    since: Option<Duration>,
    /// When this daemon last did its periodic work.
    worked: Duration,
}

impl Register {
    /// Records a poll. The first one starts the time after which the list is complete.
    pub fn record_poll(&mut self, peer: Peer, now: Duration) {
        self.note_pause(now);
        self.since.get_or_insert(now);
        let record = Record {
            peer: peer.clone(),
            last_seen: now,
            is_local: true,
        };
        self.gateways.insert(peer.name, record);
    }

    /// Records the gateways that poll another control daemon. One that has changed from this daemon
    /// to another would otherwise be missing between the end of its record here and the next
    /// exchange.
    pub fn record_remote(&mut self, peers: Vec<Peer>, now: Duration) {
        for peer in peers {
            let known = self.gateways.get(&peer.name);
            let polls_here = |it: &Record| it.is_local && now < it.last_seen + MOVED_AFTER;
            if known.is_some_and(polls_here) {
                continue;
            }
            let record = Record {
                peer: peer.clone(),
                last_seen: now,
                is_local: false,
            };
            self.gateways.insert(peer.name, record);
        }
    }

    /// Removes a gateway that stops as planned. `is_local` is whether it said so to this daemon.
    pub fn remove(&mut self, name: &DaemonName, is_local: bool) {
        let known = self.gateways.get(name);
        // It may have started again and poll this daemon by now.
        if is_local || known.is_some_and(|record| !record.is_local) {
            self.gateways.remove(name);
        }
    }

    /// Removes silent gateways. Called with each exchange between the control daemons.
    pub fn work(&mut self, now: Duration) {
        self.note_pause(now);
        self.worked = now;
        self.gateways.retain(|_, record| record.is_alive(now));
    }

    /// Starts anew if this daemon was paused, for instance with its VM.
    fn note_pause(&mut self, now: Duration) {
        if now > self.worked + MAX_PAUSE && self.since.is_some() {
            self.since = Some(now);
            self.worked = now;
        }
    }

    /// The gateways that poll this daemon.
    #[must_use]
    pub fn local(&self) -> Vec<Peer> {
        let records = self.gateways.values().filter(|record| record.is_local);
        records.map(|record| record.peer.clone()).collect()
    }

    /// The gateways in service.
    #[must_use]
    pub fn listed(&self, now: Duration) -> Vec<Peer> {
        let records = self.gateways.values().filter(|it| it.is_alive(now));
        records.map(|record| record.peer.clone()).collect()
    }

    /// How long this daemon has received polls without a pause.
    #[must_use]
    pub fn known_for(&self, now: Duration) -> Duration {
        let since = self.since;
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

impl Record {
    fn is_alive(&self, now: Duration) -> bool {
        now < self.last_seen + GATEWAY_TIMEOUT
    }
}
