//! Which availability zones can't be reached, judged by their gateways.
//!
//! Load pattern: a zone is cut off without a word. Each target and gateway in it would have to be
//! found silent one by one, by requests that wait for it; a third of all requests is late for as
//! long as the cut lasts. Two gateways of one zone that do not answer, and none that does, are
//! enough to send work elsewhere.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use azurelug_types::id::ZoneName;

/// Gateways of a zone that have to be silent. One alone may have been killed.
const SILENT: usize = 2;

/// What is known of the gateways of one zone.
#[derive(Debug, Default)]
struct Zone {
    /// How many are listed.
    listed: usize,
    /// Those that did not answer since one of the zone did.
    silent: BTreeSet<SocketAddr>,
}

/// What is known of all zones but the own one.
#[derive(Debug, Default)]
pub struct Reach {
    zones: BTreeMap<ZoneName, Zone>,
}

impl Reach {
    /// Takes the zones of all listed gateways but those of the own zone.
    pub fn list<'a>(&mut self, zones: impl Iterator<Item = &'a ZoneName>) {
        for zone in self.zones.values_mut() {
            zone.listed = 0;
        }
        for zone in zones {
            self.zones.entry(zone.clone()).or_default().listed += 1;
        }
    }

    /// Notes that a gateway of a zone did not answer.
    pub fn silent(&mut self, zone: &ZoneName, address: SocketAddr) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.silent.insert(address);
        }
    }

    /// Notes that a gateway of a zone answered.
    pub fn answered(&mut self, zone: &ZoneName) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.silent.clear();
        }
    }

    /// The zones that can't be reached.
    #[must_use]
    pub fn cut(&self) -> BTreeSet<ZoneName> {
        let zones = self.zones.iter();
        let cut = zones.filter(|(_, zone)| zone.silent.len() >= SILENT.min(zone.listed));
        cut.map(|(name, _)| name.clone()).collect()
    }
}
