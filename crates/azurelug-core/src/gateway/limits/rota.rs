//! Which gateway grants the permits for a target.

use std::collections::VecDeque;
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use azurelug_types::fleet::{PartKey, Peer};
use azurelug_types::id::{DaemonName, TargetName, ZoneName};

use crate::gateway::quarantine::probe_key;
use crate::gateway::rendezvous;

/// Time within which a change of the gateways reaches all of them: two polls of the control
/// daemons and an exchange between these, with a margin.
pub const HANDOVER: Duration = Duration::from_millis(1500);

/// Share of a limit that a gateway grants while another one may grant all of it. Together they
/// stay below one and a half times the limit.
const REDUCED_SHARE: f64 = 0.35;

/// Share of a limit that the second choice grants without contact with the control daemons, while
/// two other gateways may grant their shares.
const LEAST_SHARE: f64 = 0.1;

/// Position of a gateway among those that may grant the permits for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Position in the order of preference, from 0.
    pub rank: usize,
    /// Whether it has been the first choice for [`HANDOVER`], so that no other gateway still
    /// considers itself the first choice by an older list.
    pub is_settled: bool,
    /// Whether it has heard from the control daemons so recently that they still list it. If not,
    /// another gateway may have become the first choice.
    pub has_contact: bool,
}

impl Standing {
    /// The share of a target's limit that this gateway grants; none if it grants nothing.
    ///
    /// The gateways agree without messages: only the first choice by its own and by the control
    /// daemons' list grants everything. Others help out with shares that fit into the excess that a
    /// target tolerates, so that each side of a partition continues to serve.
    #[must_use]
    pub fn share(&self) -> Option<f64> {
        match (self.rank, self.has_contact) {
            (0, true) if self.is_settled => Some(1.0),
            (0, _) | (1, true) => Some(REDUCED_SHARE),
            (1, false) => Some(LEAST_SHARE),
            _ => None,
        }
    }
}

/// The lists of gateways that were in force within the last [`HANDOVER`].
#[derive(Debug, Default)]
pub struct Rota {
    /// The lists and since when they have been in force, oldest first.
    lists: VecDeque<(Duration, Arc<[Peer]>)>,
}

impl Rota {
    /// Puts a newer list in force.
    pub fn replace(&mut self, peers: Arc<[Peer]>, now: Duration) {
        self.lists.push_back((now, peers));
        // A list is needed for as long as its successor is recent.
        while self
            .lists
            .get(1)
            .is_some_and(|(since, _)| *since + HANDOVER <= now)
        {
            self.lists.pop_front();
        }
    }

    /// Records that the control daemons answer again after a time without contact, in which another
    /// gateway may have become the first choice.
    pub fn regain_contact(&mut self, now: Duration) {
        if let Some((_, peers)) = self.lists.pop_back() {
            self.lists = VecDeque::from([(now, peers)]);
        }
    }

    /// The gateways that grant permits for a target, by descending preference. The gateways of the
    /// target's zone come first, because they reach the target during a partition.
    #[must_use]
    pub fn grantors(&self, target: &TargetName, zone: &ZoneName) -> Vec<Peer> {
        let list = self.lists.back();
        list.map_or_else(Vec::new, |(_, peers)| {
            ranked(peers, target, zone).into_iter().cloned().collect()
        })
    }

    /// The position of a gateway; none if it is neither the first nor the second choice.
    #[must_use]
    pub fn standing(
        &self,
        own: &DaemonName,
        target: &TargetName,
        zone: &ZoneName,
        has_contact: bool,
        now: Duration,
    ) -> Option<Standing> {
        let rank = |peers| ranked(peers, target, zone);
        self.standing_by(own, rank, has_contact, now)
    }

    /// The gateway that decides on the probes of a part, or of a request at all services.
    #[must_use]
    pub fn owner(&self, part: &PartKey) -> Option<Peer> {
        let (_, peers) = self.lists.back()?;
        let owners = first_two(&probe_key(part), peers.iter());
        owners.first().copied().cloned()
    }

    /// Whether a gateway decides on these probes alone: no other gateway can, even by an older list.
    #[must_use]
    pub fn owns(&self, own: &DaemonName, part: &PartKey, has_contact: bool, now: Duration) -> bool {
        let key = probe_key(part);
        let rank = |peers| first_two(&key, <[Peer]>::iter(peers));
        let standing = self.standing_by(own, rank, has_contact, now);
        standing.is_some_and(|it| it.rank == 0 && it.is_settled && it.has_contact)
    }

    fn standing_by<'a>(
        &'a self,
        own: &DaemonName,
        rank: impl Fn(&'a [Peer]) -> Vec<&'a Peer>,
        has_contact: bool,
        now: Duration,
    ) -> Option<Standing> {
        let (_, peers) = self.lists.back()?;
        let position = rank(peers).iter().position(|peer| peer.name == *own)?;
        // A list was in force until its successor's time.
        let ends = self.lists.iter().skip(1).map(|(since, _)| *since);
        let ends = ends.chain(std::iter::once(now));
        let recent = self.lists.iter().zip(ends);
        let mut recent = recent.filter(|(_, end)| *end + HANDOVER > now);
        let was_first = |peers: &'a [Peer]| {
            let first = rank(peers).into_iter().next();
            first.is_some_and(|peer| peer.name == *own)
        };
        let is_known = self
            .lists
            .front()
            .is_some_and(|(since, _)| *since + HANDOVER <= now);
        Some(Standing {
            rank: position,
            is_settled: is_known && recent.all(|((_, peers), _)| was_first(peers)),
            has_contact,
        })
    }
}

/// The first and the second choice among the gateways of the zone; of all if the zone has none.
fn ranked<'a>(peers: &'a [Peer], target: &TargetName, zone: &ZoneName) -> Vec<&'a Peer> {
    let near = || peers.iter().filter(|peer| peer.zone == *zone);
    if near().next().is_some() {
        first_two(target, near())
    } else {
        first_two(target, peers.iter())
    }
}

/// The first and the second choice among some gateways.
fn first_two<'a, K: Hash>(key: &K, candidates: impl Iterator<Item = &'a Peer>) -> Vec<&'a Peer> {
    let weigh = |peer: &Peer| rendezvous::weight(key, &peer.name);
    let mut best: Vec<&'a Peer> = Vec::with_capacity(3);
    for peer in candidates {
        let position = best.partition_point(|other| weigh(other) >= weigh(peer));
        best.insert(position, peer);
        best.truncate(2);
    }
    best
}
