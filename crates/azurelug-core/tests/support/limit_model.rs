//! A model of gateways that send requests to one target with a limit. Messages take no time, but
//! changes of the list of gateways reach each gateway with a delay of its own.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::limits::{CLOCK_START, Decision, Grantor, Knowledge, Rota, Stock};
use azurelug_testkit::limit::Ledger;
use azurelug_types::deployment::LimitNotice;
use azurelug_types::fleet::Peer;
use azurelug_types::id::{TargetName, ZoneName};
use azurelug_types::rate::Rate;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Time of one step.
const STEP: Duration = Duration::from_millis(10);

/// Time after which a silent gateway is removed from the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a gateway without contact knows that it has none.
const CONTACT_LIMIT: Duration = Duration::from_millis(1500);

/// Longest time until a new list reaches a gateway.
const MAX_LIST_DELAY_MS: u64 = 900;

/// Time for which a grantor that did not answer is not asked.
const SKIP_TIME: Duration = Duration::from_secs(1);

/// Availability zones; the target is in the first.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// What can happen to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    /// It runs and reaches everything.
    Sound,
    /// It does not run; it has lost its state when it runs again.
    Down,
    /// It reaches targets and gateways, but no control daemon.
    WithoutControl,
    /// It reaches targets only.
    Isolated,
}

struct Gateway {
    peer: Peer,
    started: Duration,
    condition: Condition,
    /// When its condition changed last.
    since: Duration,
    knowledge: Knowledge,
    stock: Stock,
    rota: Rota,
    grantor: Grantor,
    skipped: HashMap<usize, Duration>,
    /// Lists on their way to it.
    pending: Vec<(Duration, Arc<[Peer]>)>,
}

impl Gateway {
    fn new(peer: Peer, started: Duration) -> Self {
        Self {
            peer,
            started,
            condition: Condition::Sound,
            since: Duration::ZERO,
            knowledge: Knowledge::default(),
            stock: Stock::default(),
            rota: Rota::default(),
            grantor: Grantor::default(),
            skipped: HashMap::new(),
            pending: Vec::new(),
        }
    }

    /// The time by the gateway's own clock.
    fn clock(&self, now: Duration) -> Duration {
        CLOCK_START + now - self.started
    }

    fn has_contact(&self, now: Duration) -> bool {
        match self.condition {
            Condition::Sound => true,
            Condition::Down => false,
            _ => self.since + CONTACT_LIMIT > now,
        }
    }

    /// Whether the control daemons list it.
    fn is_listed(&self, now: Duration) -> bool {
        self.condition == Condition::Sound || self.since + LIST_TIMEOUT > now
    }
}

/// The gateways and the target.
pub(crate) struct Model {
    pub(crate) ledger: Ledger,
    pub(crate) now: Duration,
    pub(crate) sent: usize,
    gateways: Vec<Gateway>,
    listed: Vec<bool>,
    target: TargetName,
    zone: ZoneName,
    limit: Option<Rate>,
    random: Pcg64,
}

impl Model {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let peer = |number: usize| Peer {
            name: format!("gateway-{number}").as_str().into(),
            zone: ZONES[number % ZONES.len()].into(),
            address: ([10, 0, (number / 256) as u8, (number % 256) as u8], 7700).into(),
            capacity: 100,
        };
        let mut model = Self {
            ledger: Ledger::default(),
            now: Duration::ZERO,
            sent: 0,
            gateways: (0..count)
                .map(|number| Gateway::new(peer(number), Duration::ZERO))
                .collect(),
            listed: Vec::new(),
            target: TargetName::from("target"),
            zone: ZONES[0].into(),
            limit: None,
            random: Pcg64::seed_from_u64(seed),
        };
        model.publish_list();
        model
    }

    pub(crate) fn set_limit(&mut self, per_second: Option<f64>) {
        self.limit = per_second.and_then(Rate::from_per_second);
        self.ledger.set_limit(per_second, self.now);
    }

    /// A random gateway, or the first choice for the target's permits.
    pub(crate) fn pick(&mut self) -> usize {
        let any = self.random.random_range(0..self.gateways.len());
        if self.random.random_range(0..2) == 0 {
            return any;
        }
        let grantors = self.gateways[any].rota.grantors(&self.target, &self.zone);
        grantors.first().map_or(any, Self::position)
    }

    pub(crate) fn set_condition(&mut self, number: usize, condition: Condition) {
        let now = self.now;
        let gateway = &mut self.gateways[number];
        let name = gateway.peer.name.to_string();
        if condition == Condition::Down {
            *gateway = Gateway::new(gateway.peer.clone(), now);
            self.ledger.forget(&name);
        }
        if gateway.condition == Condition::Down {
            gateway.started = now;
        }
        let is_still_cut = gateway.condition != Condition::Sound && condition != Condition::Sound;
        if condition == Condition::Sound && gateway.condition != Condition::Down {
            let clock = gateway.clock(now);
            gateway.rota.regain_contact(clock);
        }
        gateway.condition = condition;
        if !is_still_cut {
            gateway.since = now;
        }
        if condition == Condition::Sound {
            let list = self.list();
            self.send_list(number, &list);
        }
    }

    /// Advances the time; `demand` is the rate of requests for the target, from all gateways.
    pub(crate) fn run(&mut self, span: Duration, demand: f64) {
        let end = self.now + span;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            self.publish_list();
            self.deliver_lists();
            due += demand * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let number = self.random.random_range(0..self.gateways.len());
                self.request(number);
            }
        }
    }

    fn list(&self) -> Arc<[Peer]> {
        let listed = self.gateways.iter().filter(|it| it.is_listed(self.now));
        listed.map(|gateway| gateway.peer.clone()).collect()
    }

    fn publish_list(&mut self) {
        let listed = self.gateways.iter().map(|it| it.is_listed(self.now));
        let listed: Vec<bool> = listed.collect();
        if listed == self.listed {
            return;
        }
        self.listed = listed;
        let list = self.list();
        for number in 0..self.gateways.len() {
            self.send_list(number, &list);
        }
    }

    fn send_list(&mut self, number: usize, list: &Arc<[Peer]>) {
        let delay = self.random.random_range(0..MAX_LIST_DELAY_MS);
        let at = self.now + Duration::from_millis(delay);
        self.gateways[number].pending.push((at, Arc::clone(list)));
    }

    fn deliver_lists(&mut self) {
        let now = self.now;
        for gateway in &mut self.gateways {
            if gateway.condition != Condition::Sound {
                gateway.pending.clear();
                continue;
            }
            // A gateway polls, so that a later list replaces an earlier one.
            let last = gateway.pending.iter().rposition(|(at, _)| *at <= now);
            if let Some(last) = last {
                let (_, list) = gateway.pending.drain(..=last).next_back().unwrap();
                gateway.rota.replace(list, gateway.clock(now));
            }
        }
    }

    /// The index of a gateway, which its address contains.
    fn position(peer: &Peer) -> usize {
        let IpAddr::V4(ip) = peer.address.ip() else {
            unreachable!("all gateways have IPv4 addresses");
        };
        let [.., high, low] = ip.octets();
        usize::from(high) * 256 + usize::from(low)
    }

    /// A client's request at a gateway that would prefer the target.
    fn request(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        if gateway.condition == Condition::Down {
            return;
        }
        let now = gateway.clock(self.now);
        if gateway.knowledge.permitted(now).is_none() || gateway.stock.take(now) {
            return self.send(number);
        }
        if gateway.stock.denied_until(now).is_some() {
            return;
        }
        let wanted = gateway.stock.wanted(now);
        let decision = self.ask(number, wanted);
        match decision {
            Decision::Granted(count) => {
                self.gateways[number].stock.add(count, now);
                self.send(number);
            }
            Decision::Denied(wait) => self.gateways[number].stock.deny(now + wait),
        }
    }

    fn ask(&mut self, number: usize, wanted: u32) -> Decision {
        let now = self.now;
        let asking = &self.gateways[number];
        let knowledge = asking.knowledge;
        let asking_now = asking.clock(now);
        let grantors = asking.rota.grantors(&self.target, &self.zone);
        let grantors: Vec<usize> = grantors.iter().map(Self::position).collect();
        let is_skipped = |it: &usize| asking.skipped.get(it).is_some_and(|until| *until > now);
        let Some(chosen) = grantors.into_iter().find(|it| !is_skipped(it)) else {
            return Decision::Denied(Duration::from_millis(300));
        };
        let is_isolated = |it: usize| self.gateways[it].condition == Condition::Isolated;
        let is_cut = chosen != number && (is_isolated(number) || is_isolated(chosen));
        if is_cut || self.gateways[chosen].condition == Condition::Down {
            self.gateways[number]
                .skipped
                .insert(chosen, now + SKIP_TIME);
            return Decision::Denied(Duration::ZERO);
        }
        let (target, zone) = (self.target.clone(), self.zone.clone());
        let grantor = &mut self.gateways[chosen];
        let report = |knowledge: Knowledge, from: Duration, to: Duration| Knowledge {
            as_of: to.saturating_sub(knowledge.age(from)),
            ..knowledge
        };
        let grantor_now = grantor.clock(now);
        grantor
            .knowledge
            .merge(report(knowledge, asking_now, grantor_now));
        let known = report(grantor.knowledge, grantor_now, asking_now);
        let has_contact = grantor.has_contact(now);
        let now = grantor_now;
        let own = &grantor.peer.name;
        let standing = grantor.rota.standing(own, &target, &zone, has_contact, now);
        let share = standing.and_then(|standing| standing.share());
        let decision = match (share, grantor.knowledge.permitted(now)) {
            (Some(share), Some(rate)) => grantor.grantor.grant(&target, rate, share, wanted, now),
            _ => Decision::Denied(Duration::from_millis(300)),
        };
        self.gateways[number].knowledge.merge(known);
        decision
    }

    /// Sends a request, which the target answers at once.
    fn send(&mut self, number: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[number];
        let name = gateway.peer.name.to_string();
        self.ledger.record_arrival(&name, now);
        self.sent += 1;
        let notice = match self.limit {
            Some(rate) => LimitNotice::Limited(rate),
            None => LimitNotice::Unlimited,
        };
        let clock = gateway.clock(now);
        gateway.knowledge.observe(notice, clock, clock);
        self.ledger.record_told(&name, now);
    }
}
