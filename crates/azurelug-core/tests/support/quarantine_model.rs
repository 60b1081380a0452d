//! A model of gateways, control daemons and targets, of which some crash under requests with a
//! deadly prompt part or under deadly requests. Messages arrive late, gateways restart and are cut off.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::quarantine::{CLOCK_START, Crash, Verdict};
use azurelug_core::gateway::rendezvous;
use azurelug_types::fleet::{PartKey, Peer, SuspectPart};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::quarantine_daemons::{Condition, Control, Gateway, PollState, Request, Target};
use crate::quarantine_totals::{Deadly, Size, Totals};

/// Time of one step.
const STEP: Duration = Duration::from_millis(10);

/// Time between a poll's answer and the next poll.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two exchanges of the control daemons.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a silent gateway is removed from the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of control daemons.
const CONTROLS: usize = 3;

/// The gateways, control daemons and targets.
pub(crate) struct Model {
    pub(crate) now: Duration,
    pub(crate) totals: Totals,
    pub(crate) size: Size,
    gateways: Vec<Gateway>,
    listed: Arc<[Peer]>,
    list_version: usize,
    controls: Vec<Control>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    pub(crate) deadly: Vec<Deadly>,
    accused_since: HashMap<u64, Duration>,
    /// When the first request was refused for each false accusation.
    refused_since: HashMap<u64, Duration>,
    next_exchange: Duration,
    pub(crate) next_id: u64,
    due: f64,
    pub(crate) random: Pcg64,
}

impl Model {
    pub(crate) fn new(size: Size, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let peer = |number: usize| Peer {
            name: format!("gateway-{number}").as_str().into(),
            zone: "a".into(),
            address: ([10, 0, (number / 256) as u8, (number % 256) as u8], 7700).into(),
            capacity: 100,
        };
        let gateways = (0..size.gateways).map(|number| {
            let late = random.random_range(0..10) == 0;
            Gateway::new(peer(number), Duration::ZERO, number % CONTROLS, late)
        });
        let gateways = gateways.collect();
        let target = |number: usize| Target {
            service: number as u64 % size.services,
            name: rendezvous::weight("target", &number),
            up_at: Duration::ZERO,
        };
        Self {
            now: Duration::ZERO,
            totals: Totals::default(),
            size,
            gateways,
            listed: Arc::new([]),
            list_version: 0,
            controls: std::iter::repeat_with(Control::default)
                .take(CONTROLS)
                .collect(),
            targets: (0..size.targets).map(target).collect(),
            requests: Vec::new(),
            deadly: Vec::new(),
            accused_since: HashMap::new(),
            refused_since: HashMap::new(),
            next_exchange: Duration::ZERO,
            next_id: 1 << 40,
            due: 0.0,
            random,
        }
    }

    pub(crate) fn set_deadly(&mut self, deadly: &[Deadly]) {
        self.deadly = deadly.to_vec();
    }

    pub(crate) fn set_condition(&mut self, number: usize, condition: Condition) {
        let now = self.now;
        let gateway = &mut self.gateways[number];
        if condition == Condition::Down || gateway.condition == Condition::Down {
            let (peer, control, late) = (gateway.peer.clone(), gateway.control, gateway.late);
            *gateway = Gateway::new(peer, now, control, late);
        }
        gateway.condition = condition;
        gateway.since = now;
        gateway.poll = None;
        if condition == Condition::Sound && gateway.is_initialized {
            let clock = gateway.clock(now);
            gateway.rota.regain_contact(clock);
            gateway.seen = 0;
            gateway.sent = 0;
        }
    }

    /// A random gateway.
    pub(crate) fn pick(&mut self) -> usize {
        self.random.random_range(0..self.gateways.len())
    }

    /// The gateway that decides on the probes of a part.
    pub(crate) fn owner(&self, id: u64) -> usize {
        let part = PartKey { service: 0, id };
        let mut rotas = self.gateways.iter().map(|it| &it.rota);
        let owner = rotas.find_map(|rota| rota.owner(&part));
        self.position(&owner.expect("a gateway with a list"))
    }

    /// Restarts a control daemon; its gateways poll the next one.
    pub(crate) fn restart_control(&mut self, number: usize) {
        self.controls[number] = Control::default();
        for gateway in self.gateways.iter_mut().filter(|it| it.control == number) {
            gateway.control = (number + 1) % CONTROLS;
            gateway.poll = None;
            gateway.seen = 0;
            gateway.sent = 0;
        }
    }

    /// Crashes some of the targets within `span`, without the fault of any request.
    pub(crate) fn crash_targets(&mut self, share: f64, span: Duration) {
        let mut chosen: Vec<usize> = (0..self.targets.len()).collect();
        chosen.truncate((self.targets.len() as f64 * share) as usize);
        if span.is_zero() {
            for target in &chosen {
                self.targets[*target].up_at = Duration::MAX;
            }
        }
        let pause = span / u32::try_from(chosen.len().max(1)).expect("few targets");
        for target in chosen {
            self.crash(target, None);
            self.run(pause);
        }
    }

    /// Advances the time.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.poll();
            self.exchange();
            self.advance_requests();
            self.due += self.size.rate * STEP.as_secs_f64();
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.arrive();
            }
            if self.now.as_millis().is_multiple_of(100) {
                self.watch_accusations();
            }
        }
    }

    fn position(&self, peer: &Peer) -> usize {
        let found = self.gateways.iter().position(|it| it.peer == *peer);
        found.expect("a known gateway")
    }

    fn delay(&mut self, late: bool) -> Duration {
        let longest = if late { 250 } else { 40 };
        Duration::from_millis(self.random.random_range(0..longest))
    }

    /// The list of gateways that the control daemons publish.
    fn publish_list(&mut self) {
        let now = self.now;
        let is_listed = |it: &&Gateway| {
            it.condition == Condition::Sound || it.since + LIST_TIMEOUT > now && it.is_initialized
        };
        let listed = self.gateways.iter().filter(is_listed).map(|it| &it.peer);
        let listed: Arc<[Peer]> = listed.cloned().collect();
        if listed != self.listed {
            self.listed = listed;
            self.list_version += 1;
        }
    }

    fn poll(&mut self) {
        let now = self.now;
        if now.as_millis().is_multiple_of(100) {
            self.publish_list();
        }
        for number in 0..self.gateways.len() {
            if self.gateways[number].condition != Condition::Sound {
                continue;
            }
            let delay = self.delay(self.gateways[number].late);
            let gateway = &mut self.gateways[number];
            let clock = gateway.clock(now);
            let control = &mut self.controls[gateway.control];
            let control_clock = CLOCK_START + now;
            match gateway.poll.take() {
                None if gateway.next_poll <= now => {
                    gateway.quarantine.prune(clock);
                    let changes = gateway.quarantine.changes_since(gateway.sent, clock);
                    gateway.poll = Some(PollState::Sent {
                        arrives: now + delay,
                        reports: changes.reports,
                        revision: changes.revision,
                    });
                }
                None => {}
                Some(PollState::Sent {
                    arrives,
                    reports,
                    revision,
                }) if arrives <= now => {
                    for report in &reports {
                        control.ledger.merge(report, control_clock);
                    }
                    gateway.sent = revision;
                    let changes = control.ledger.changes_since(gateway.seen, control_clock);
                    gateway.poll = Some(PollState::Answered {
                        arrives: now + delay,
                        reports: changes.reports,
                        revision: changes.revision,
                    });
                }
                Some(PollState::Answered {
                    arrives,
                    reports,
                    revision,
                }) if arrives <= now => {
                    gateway.quarantine.merge(&reports, clock);
                    gateway.seen = revision;
                    gateway.is_initialized = true;
                    gateway.next_poll = now + POLL_INTERVAL;
                    if gateway.list_version != self.list_version {
                        gateway.list_version = self.list_version;
                        gateway.rota.replace(Arc::clone(&self.listed), clock);
                    }
                }
                waiting => gateway.poll = waiting,
            }
        }
    }

    fn exchange(&mut self) {
        let (now, clock) = (self.now, CLOCK_START + self.now);
        for control in &mut self.controls {
            let inbox = std::mem::take(&mut control.inbox);
            let (due, later) = inbox.into_iter().partition(|(at, _)| *at <= now);
            control.inbox = later;
            let due: Vec<(Duration, Vec<SuspectPart>)> = due;
            for report in due.iter().flat_map(|(_, reports)| reports) {
                control.ledger.merge(report, clock);
            }
        }
        if now < self.next_exchange {
            return;
        }
        self.next_exchange = now + EXCHANGE_INTERVAL;
        for number in 0..CONTROLS {
            let control = &mut self.controls[number];
            control.ledger.prune(clock);
            let reports = control.broadcast.next(&control.ledger, clock);
            for other in (0..CONTROLS).filter(|it| *it != number) {
                let at = now + self.delay(true);
                self.controls[other].inbox.push((at, reports.clone()));
            }
        }
    }

    fn is_deadly(&self, id: u64) -> bool {
        self.deadly.iter().any(|deadly| deadly.id == id)
    }

    /// A client's request.
    fn arrive(&mut self) {
        let gateway = self.pick();
        let service = self.random.random_range(0..self.size.services);
        let ids = self.draw_ids();
        let key = |id: &u64| PartKey { service, id: *id };
        let is_sound = !ids.iter().any(|id| self.is_deadly(*id));
        let request = Request {
            gateway,
            started: self.gateways[gateway].started,
            parts: ids.iter().map(key).collect(),
            ids: ids.clone(),
            target: usize::MAX,
            attempts: 0,
            starts_at: Duration::ZERO,
            progresses_at: Duration::ZERO,
            ends_at: Duration::ZERO,
            has_progress: false,
            is_started: false,
        };
        if !self.gateways[gateway].is_initialized {
            return;
        }
        let is_in_touch = self.gateways[gateway].is_in_touch(self.now);
        let is_sent = self.try_send(request);
        if is_sound && !is_sent {
            self.note_refusal(&ids);
        }
        if is_sound && is_in_touch {
            // Without any target in service nothing can be sent.
            let is_up = |it: &Target| it.service == service && it.up_at <= self.now;
            if is_sent || self.targets.iter().any(is_up) {
                self.totals.sound.push((self.now, is_sent));
            }
        }
    }

    /// Records a sound request that was refused, if that is due to false accusations.
    fn note_refusal(&mut self, ids: &[u64]) {
        for id in ids.iter().filter(|id| self.accused_since.contains_key(id)) {
            let first = *self.refused_since.entry(*id).or_insert(self.now);
            let longest = &mut self.totals.longest_refusal;
            *longest = (*longest).max(self.now - first);
        }
    }

    fn try_send(&mut self, mut request: Request) -> bool {
        let now = self.now;
        let gateway = &self.gateways[request.gateway];
        let clock = gateway.clock(now);
        let verdict = gateway.quarantine.check(&request.parts, clock);
        let (may_send, is_probe) = match verdict {
            Verdict::Allowed => (true, false),
            Verdict::Refused(_) => (false, false),
            Verdict::ProbeDue(_) if request.attempts > 0 => (false, false),
            Verdict::ProbeDue(parts) => (self.ask_for_probe(request.gateway, &parts), true),
        };
        let service = request.parts[0].service;
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|it| self.targets[*it].service == service && self.targets[*it].up_at <= now)
            .filter(|it| *it != request.target)
            .collect();
        if !may_send || up.is_empty() {
            return false;
        }
        if is_probe {
            let quarantine = &mut self.gateways[request.gateway].quarantine;
            quarantine.record_probe(&request.parts, clock);
        }
        request.target = up[self.random.random_range(0..up.len())];
        request.attempts += 1;
        request.starts_at = now + Duration::from_millis(self.random.random_range(80..500));
        request.progresses_at = request.starts_at + Duration::from_millis(60);
        request.ends_at = request.starts_at + Duration::from_millis(800);
        request.is_started = false;
        if self.gateways[request.gateway].is_in_touch(now) {
            let here = |it: &&Deadly| it.service.is_none_or(|only| only == service);
            let deadly = self.deadly.iter().filter(here);
            let deadly: Vec<u64> = deadly.map(|it| it.id).collect();
            let is_deadly = |id: &&u64| deadly.contains(id);
            for id in request.ids.iter().filter(is_deadly) {
                self.totals.sends.entry(*id).or_default().push(now);
            }
        }
        self.requests.push(request);
        true
    }

    fn ask_for_probe(&mut self, number: usize, parts: &[PartKey]) -> bool {
        let now = self.now;
        let asking = &mut self.gateways[number];
        if asking.last_ask + Duration::from_millis(500) > now {
            return false;
        }
        asking.last_ask = now;
        let Some(peer) = asking.rota.owner(&parts[0]) else {
            return false;
        };
        let owner = self.position(&peer);
        let is_cut = |it: usize| self.gateways[it].condition != Condition::Sound;
        if owner != number && (is_cut(owner) || is_cut(number)) {
            return false;
        }
        let owner = &mut self.gateways[owner];
        let clock = owner.clock(now);
        let has_contact = owner.has_contact(now);
        owner
            .rota
            .owns(&owner.peer.name, &parts[0], has_contact, clock)
            && owner.quarantine.grant_probe(parts, clock)
    }

    fn advance_requests(&mut self) {
        let now = self.now;
        let mut crashing = Vec::new();
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            if !request.is_started && request.starts_at <= now {
                request.is_started = true;
                let service = request.parts[0].service;
                let deadly = self.deadly.iter().find(|it| {
                    request.ids.contains(&it.id)
                        && it.until > now
                        && it.service.is_none_or(|only| only == service)
                });
                crashing.extend(deadly.map(|deadly| (request.target, deadly.id)));
            }
        }
        for (target, id) in crashing {
            if self.targets[target].up_at <= now {
                self.crash(target, Some(id));
            }
        }
        let mut progressed = 0;
        for request in &mut self.requests {
            if !request.has_progress && request.progresses_at <= now {
                request.has_progress = true;
                let gateway = &mut self.gateways[request.gateway];
                if gateway.started == request.started {
                    let clock = gateway.clock(now);
                    gateway.quarantine.record_progress(&request.parts, clock);
                }
                let mut ids = request.ids.iter();
                progressed += usize::from(ids.any(|id| self.deadly.iter().any(|it| it.id == *id)));
            }
        }
        self.totals.deadly_progress += progressed;
        self.requests.retain(|request| request.ends_at > now);
    }

    /// Crashes a target and fails the requests that are pending there.
    fn crash(&mut self, target: usize, id: Option<u64>) {
        let now = self.now;
        if let Some(id) = id {
            self.totals.crashes.entry(id).or_default().push(now);
        }
        let name = self.targets[target].name;
        let back = self.random.random_range(2000..5000);
        self.targets[target].up_at = now + Duration::from_millis(back);
        if self.random.random_range(0..2) == 0 {
            self.next_id += 1;
            self.targets[target].name = rendezvous::weight("target", &self.next_id);
        }
        let requests = std::mem::take(&mut self.requests);
        let (failed, others): (Vec<Request>, Vec<Request>) =
            requests.into_iter().partition(|it| it.target == target);
        self.requests = others;
        for request in failed {
            let is_sound = !request.ids.iter().any(|id| self.is_deadly(*id));
            let gateway = &mut self.gateways[request.gateway];
            if request.has_progress || gateway.started != request.started {
                continue;
            }
            let clock = gateway.clock(now);
            let crash = Crash {
                target: name,
                at: clock,
            };
            let quarantine = &mut gateway.quarantine;
            quarantine.record_crash(&request.parts, crash, clock);
            let crashes = request.attempts as u32;
            let may_repeat =
                request.attempts < 3 && quarantine.may_repeat(&request.parts, crashes, clock);
            let is_repeated = may_repeat && self.try_send(request);
            self.totals.lost += usize::from(is_sound && !is_repeated);
        }
    }

    fn watch_accusations(&mut self) {
        let now = self.now;
        let step = (self.gateways.len() / 12).max(1);
        let watched = self.gateways.iter().step_by(step);
        let accused = watched.flat_map(|it| it.quarantine.accused(it.clock(now)));
        let accused: Vec<PartKey> = accused.collect();
        let is_deadly = |part: &PartKey| {
            let mut deadly = self.deadly.iter().filter(|it| it.id == part.id);
            deadly.any(|it| it.service.is_none_or(|only| only == part.service))
        };
        let mut falsely: Vec<u64> = Vec::new();
        for part in accused.iter().filter(|part| !is_deadly(part)) {
            falsely.push(part.id);
            let since = *self.accused_since.entry(part.id).or_insert(now);
            let longest = self.totals.false_accusations.entry(part.id).or_default();
            *longest = (*longest).max(now - since);
        }
        self.accused_since.retain(|id, _| falsely.contains(id));
        self.refused_since.retain(|id, _| falsely.contains(id));
    }
}
