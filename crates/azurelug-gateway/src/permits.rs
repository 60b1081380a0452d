//! Permits for requests to targets that name a limit: asks the gateway that grants them, and grants
//! them to other gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::limits::{Decision, Grantor, HANDOVER, Knowledge, Rota};
use azurelug_types::deployment::Target;
use azurelug_types::fleet::{Grant, PartKey, Peer, PermitRequest, TargetLimit};
use azurelug_types::id::{TargetName, ZoneName};
use azurelug_wire::Frame;

use crate::gateway::Gateway;

/// Timeout of a request for permits. The client's request waits for it, and any other target would
/// be better than a slow grantor.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which a grantor that did not answer is not asked again.
const SKIP_TIME: Duration = Duration::from_secs(1);

/// Time until permits are asked for again if no gateway grants them.
const NO_GRANTOR_PAUSE: Duration = Duration::from_millis(300);

/// Age of the state from the control daemons up to which they certainly still list this gateway.
/// They remove a gateway that has been silent for 2 s.
const CONTACT_LIMIT: Duration = Duration::from_millis(1500);

/// The state about permits.
#[derive(Default)]
pub struct Permits {
    rota: Mutex<Rota>,
    grantor: Mutex<Grantor>,
    /// Grantors that did not answer, and until when they are not asked.
    skipped: Mutex<HashMap<SocketAddr, Duration>>,
}

impl Permits {
    fn rota(&self) -> MutexGuard<'_, Rota> {
        self.rota.lock().expect("no holder of the lock panics")
    }

    fn skipped(&self) -> MutexGuard<'_, HashMap<SocketAddr, Duration>> {
        self.skipped.lock().expect("no holder of the lock panics")
    }

    /// Puts a newer list of gateways in force.
    pub fn set_peers(&self, peers: Arc<[Peer]>, now: Duration) {
        self.rota().replace(peers, now);
        self.skipped().retain(|_, until| *until > now);
    }

    /// Records that the control daemons answer again after a time without contact.
    pub fn regain_contact(&self, now: Duration) {
        self.rota().regain_contact(now);
    }

    /// The gateway to ask for permits.
    fn grantor_of(&self, target: &Target, now: Duration) -> Option<Peer> {
        let grantors = self.rota().grantors(&target.name, &target.zone);
        let skipped = self.skipped();
        let is_skipped = |peer: &Peer| skipped.get(&peer.address).is_some_and(|it| *it > now);
        grantors.into_iter().find(|peer| !is_skipped(peer))
    }

    /// The gateway that decides on the probes of a request or prompt part.
    pub fn owner(&self, part: &PartKey) -> Option<Peer> {
        self.rota().owner(part)
    }

    /// Whether this gateway decides on these probes alone.
    pub fn owns(&self, gateway: &Gateway, part: &PartKey) -> bool {
        let (has_contact, now) = (gateway.has_contact(), gateway.now());
        self.rota().owns(&gateway.name, part, has_contact, now)
    }

    fn skip(&self, address: SocketAddr, now: Duration) {
        self.skipped().insert(address, now + SKIP_TIME);
    }

    /// Decides on a request for permits as the grantor.
    fn decide(
        &self,
        gateway: &Gateway,
        target: (&TargetName, &ZoneName),
        knowledge: Knowledge,
        wanted: u32,
    ) -> Decision {
        let now = gateway.now();
        let (name, zone) = target;
        let own = &gateway.name;
        let has_contact = gateway.has_contact();
        let standing = self.rota().standing(own, name, zone, has_contact, now);
        let share = standing.and_then(|standing| standing.share());
        let (Some(share), Some(rate)) = (share, knowledge.permitted(now)) else {
            return Decision::Denied(NO_GRANTOR_PAUSE);
        };
        let mut grantor = self.grantor.lock().expect("no holder of the lock panics");
        match grantor.grant(name, rate, share, wanted, now) {
            // The share grows, or another gateway grants more, after the handover.
            Decision::Denied(wait) if share < 1.0 => Decision::Denied(wait.min(HANDOVER)),
            decision => decision,
        }
    }
}

impl Gateway {
    /// Whether the control daemons certainly list this gateway.
    pub fn has_contact(&self) -> bool {
        self.staleness().is_some_and(|age| age < CONTACT_LIMIT)
    }

    /// Gets a permit for a request to a target; immediately if the target has no limit.
    ///
    /// # Errors
    /// Time until there may be a permit.
    pub async fn acquire_permit(self: &Arc<Self>, name: &TargetName) -> Result<(), Duration> {
        let now = self.now();
        let (target, knowledge, wanted) = {
            let mut fleet = self.fleet();
            let Some(key) = fleet.key(name) else {
                return Ok(());
            };
            let Err(wanted) = fleet.take_permit(key, now) else {
                return Ok(());
            };
            let target = fleet.target(key).clone();
            (target, fleet.limit_knowledge(key), wanted)
        };
        let Some(peer) = self.permits.grantor_of(&target, now) else {
            return self.deny_permits(name, NO_GRANTOR_PAUSE);
        };
        let decision = if peer.name == self.name {
            let of = (&target.name, &target.zone);
            self.permits.decide(self, of, knowledge, wanted)
        } else {
            self.ask(&peer, &target, knowledge, wanted).await
        };
        match decision {
            Decision::Granted(count) => {
                self.metrics.permits_granted.inc_by(count.into());
                let now = self.now();
                let mut fleet = self.fleet();
                if let Some(key) = fleet.key(name) {
                    fleet.add_permits(key, count, now);
                }
                Ok(())
            }
            Decision::Denied(wait) => self.deny_permits(name, wait),
        }
    }

    fn deny_permits(&self, name: &TargetName, wait: Duration) -> Result<(), Duration> {
        self.metrics.permits_denied.inc();
        let until = self.now() + wait;
        let mut fleet = self.fleet();
        if let Some(key) = fleet.key(name) {
            fleet.deny_permits(key, until);
        }
        Err(wait)
    }

    /// Asks another gateway for permits.
    async fn ask(
        self: &Arc<Self>,
        peer: &Peer,
        target: &Target,
        knowledge: Knowledge,
        wanted: u32,
    ) -> Decision {
        let Some(limit) = self.limit_report(&target.name, knowledge) else {
            return Decision::Denied(NO_GRANTOR_PAUSE);
        };
        let request = PermitRequest {
            limit,
            zone: target.zone.clone(),
            wanted,
        };
        let frame = Frame::TakePermits(request);
        let asked = self.peers.ask(peer.address, frame, PERMIT_TIMEOUT).await;
        let grant = match asked {
            Ok(Frame::Permits(grant)) => grant,
            Ok(_) => return Decision::Denied(NO_GRANTOR_PAUSE),
            Err(error) => {
                let name = &target.name;
                log::info!(
                    "gateway: no permits for {name} from {}: {error}; not asked for {} ms",
                    peer.name,
                    SKIP_TIME.as_millis()
                );
                self.permits.skip(peer.address, self.now());
                // The second choice is asked from now on.
                return Decision::Denied(Duration::ZERO);
            }
        };
        self.learn_limits(std::slice::from_ref(&grant.limit));
        match grant.granted {
            0 => Decision::Denied(Duration::from_millis(grant.retry_after_ms)),
            count => Decision::Granted(count),
        }
    }

    /// Answers another gateway's request for permits.
    pub fn grant_permits(&self, request: &PermitRequest) -> Frame {
        let name = &request.limit.target;
        self.learn_limits(std::slice::from_ref(&request.limit));
        let known = {
            let fleet = self.fleet();
            fleet.key(name).map(|key| fleet.limit_knowledge(key))
        };
        // A gateway may see a new target earlier than this one.
        let known = known.unwrap_or_else(|| self.knowledge(&request.limit));
        let of = (name, &request.zone);
        let decision = self.permits.decide(self, of, known, request.wanted);
        let (granted, retry_after) = match decision {
            Decision::Granted(count) => (count, Duration::ZERO),
            Decision::Denied(wait) => (0, wait),
        };
        let limit = self.limit_report(name, known);
        Frame::Permits(Grant {
            limit: limit.unwrap_or_else(|| request.limit.clone()),
            granted,
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Takes over what other daemons know of targets' limits.
    pub fn learn_limits(&self, limits: &[TargetLimit]) {
        for limit in limits {
            let knowledge = self.knowledge(limit);
            let is_changed = {
                let mut fleet = self.fleet();
                let Some(key) = fleet.key(&limit.target) else {
                    continue;
                };
                fleet.learn_limit(key, knowledge)
            };
            if is_changed {
                let TargetLimit { target, rate, .. } = limit;
                let state = if limit.is_ended {
                    "has ended"
                } else {
                    "is in force"
                };
                log::info!(
                    "gateway: limit of {rate} of target {target} {state}, as other gateways were told"
                );
            }
        }
    }

    /// The limits that differ from those that the control daemons report.
    pub fn unreported_limits(&self, reported: &HashMap<TargetName, Knowledge>) -> Vec<TargetLimit> {
        let fleet = self.fleet();
        let is_newer = |name: &TargetName, own: &Knowledge| match reported.get(name) {
            Some(reported) => {
                let is_same = reported.rate == own.rate && reported.is_ended == own.is_ended;
                !is_same && reported.as_of < own.as_of
            }
            None => own.in_force().is_some(),
        };
        let newer = fleet.limits().filter(|(name, own)| is_newer(name, own));
        newer
            .filter_map(|(name, own)| self.limit_report(name, own))
            .collect()
    }

    /// What a report says, with its age converted to this gateway's clock.
    pub fn knowledge(&self, limit: &TargetLimit) -> Knowledge {
        let age = Duration::from_millis(limit.age_ms);
        Knowledge {
            rate: Some(limit.rate),
            is_ended: limit.is_ended,
            as_of: self.now().saturating_sub(age),
        }
    }

    /// A report for other daemons; none if the target never named a limit.
    fn limit_report(&self, name: &TargetName, knowledge: Knowledge) -> Option<TargetLimit> {
        let age = knowledge.age(self.now());
        Some(TargetLimit {
            target: name.clone(),
            rate: knowledge.rate?,
            is_ended: knowledge.is_ended,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }
}
