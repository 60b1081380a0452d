//! Detects unreachable availability zones from the replies of their gateways.
//!
//! Load pattern: a zone is partitioned without any error. Each target and gateway in it would have
//! to be detected separately, by requests that time out, and a third of all requests would be late
//! for as long as the partition lasts. A zone therefore counts as unreachable as soon as two of its
//! gateways do not answer and none does.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use azurelug_types::id::ZoneName;

/// Unresponsive gateways after which a zone is unreachable. A single one may have been killed.
const MIN_SILENT_GATEWAYS: usize = 2;

/// State of the gateways of one zone.
#[derive(Debug, Default)]
struct ZoneGateways {
    /// Number of listed gateways.
    listed: usize,
    /// Gateways that did not answer since any gateway of the zone last answered.
    unresponsive: BTreeSet<SocketAddr>,
}

/// Reachability of all zones except the local one.
#[derive(Debug, Default)]
pub struct Reachability {
    zones: BTreeMap<ZoneName, ZoneGateways>,
}

impl Reachability {
    /// Replaces the list of gateways; `zones` has the zone of each gateway outside the local zone.
    pub fn list<'a>(&mut self, zones: impl Iterator<Item = &'a ZoneName>) {
        for zone in self.zones.values_mut() {
            zone.listed = 0;
        }
        for zone in zones {
            self.zones.entry(zone.clone()).or_default().listed += 1;
        }
    }

    /// Records that a gateway of a zone did not answer.
    pub fn record_no_answer(&mut self, zone: &ZoneName, address: SocketAddr) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.unresponsive.insert(address);
        }
    }

    /// Records that a gateway of a zone answered.
    pub fn answered(&mut self, zone: &ZoneName) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.unresponsive.clear();
        }
    }

    /// The unreachable zones.
    #[must_use]
    pub fn unreachable_zones(&self) -> BTreeSet<ZoneName> {
        let zones = self.zones.iter();
        let cut = zones
            .filter(|(_, zone)| zone.unresponsive.len() >= MIN_SILENT_GATEWAYS.min(zone.listed));
        cut.map(|(name, _)| name.clone()).collect()
    }
}
