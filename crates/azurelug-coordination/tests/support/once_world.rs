//! A schedule of the at-most-once records: callers that resend keys through several daemons, and a
//! replicated table.

use std::collections::BTreeMap;
use std::time::Duration;

use azurelug_coordination::once::{
    Answer, Body, Command, Guard, Key, Limits, Outcome, Release, Table,
};

use super::sim::{MILLI, Micros, Net, Process, Report, SECOND, SimRandom};

const DAEMONS: usize = 3;
const LEADER: usize = DAEMONS;
const DEADLINE: Duration = Duration::from_secs(6);
const WALL_MS: u64 = 1_700_000_000_000;
const LIMITS: Limits = Limits {
    records: 24,
    bytes: 24 * 270,
    answer_bytes: 20,
    deadline_ms: 6_000,
    grace_ms: 2_000,
    retention_ms: 20_000,
    full_retention_ms: 8_000,
    future_ms: 3_000,
};

#[derive(Clone)]
enum Message {
    /// The request that waits for the outcome, and the command.
    Propose(u64, Command),
    Outcome(u64, Outcome),
}

/// An execution of a call at the service: the body's fingerprint and the answer.
type Execution = (u128, Vec<u8>);

/// The answer that a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerAnswer {
    NotRun,
    Other,
}

struct PendingRequest {
    daemon: usize,
    id: (u64, Key),
    fingerprint: u128,
    guard: Guard,
    deadline: Duration,
    resend_at: Micros,
    /// When the service's answer arrives, with its body.
    answer: Option<(Micros, Vec<u8>)>,
    command: Option<Command>,
    sent: bool,
    caller_answer: Option<CallerAnswer>,
}

struct World {
    seed: u64,
    dice: SimRandom,
    now: Micros,
    net: Net<Message>,
    processes: Vec<Process>,
    pending: BTreeMap<u64, PendingRequest>,
    last_request: u64,
    keys: Vec<(u64, Key)>,
    /// The reference model: all executions of each key.
    executions: BTreeMap<(u64, Key), Vec<Execution>>,
    tables: Vec<Table>,
    leader_skew_ms: i64,
    leader_absent_until: Micros,
}

pub(crate) fn run(seed: u64) -> Result<Report, String> {
    let mut dice = SimRandom::new(seed);
    let net = Net::new(&mut dice);
    let processes = (0..DAEMONS).map(|_| Process::new(&mut dice, 1)).collect();
    let mut world = World {
        seed,
        dice,
        now: 0,
        net,
        processes,
        pending: BTreeMap::new(),
        last_request: 0,
        keys: Vec::new(),
        executions: BTreeMap::new(),
        tables: vec![Table::new(LIMITS); 2],
        leader_skew_ms: 0,
        leader_absent_until: 0,
    };
    let mut report = Report::default();
    while world.now < 60 * SECOND {
        world.step()?;
        report.steps += 1;
    }
    report.faults = world.net.faults;
    Ok(report)
}

impl World {
    fn step(&mut self) -> Result<(), String> {
        self.now += self.dice.between(MILLI, 40 * MILLI);
        while let Some((to, message)) = self.net.receive(self.now) {
            let resumes_at = if to == LEADER {
                self.leader_absent_until
            } else {
                self.processes[to].frozen_until
            };
            if self.now < resumes_at {
                self.net
                    .enqueue(resumes_at + self.dice.below(MILLI), to, message);
                continue;
            }
            match message {
                Message::Propose(request, command) => self.commit(request, command)?,
                Message::Outcome(request, outcome) => self.handle_outcome(request, outcome)?,
            }
        }
        if self.dice.one_in(40) && self.now >= self.leader_absent_until {
            let now_ms = self.wall_ms();
            self.apply(Command::Expire { now_ms })?;
        }
        if self.dice.one_in(6) {
            self.start_call();
        }
        let requests: Vec<u64> = self.pending.keys().copied().collect();
        for request in requests {
            self.advance_request(request)?;
        }
        self.inject_faults();
        let duplicate = self
            .executions
            .iter()
            .find(|(_, executions)| executions.len() > 1);
        match duplicate {
            Some((id, _)) => Err(self.failure(&format!("key {id:?} was sent twice"))),
            None => Ok(()),
        }
    }

    fn failure(&self, text: &str) -> String {
        format!("seed {}: at {} us {text}", self.seed, self.now)
    }

    fn wall_ms(&self) -> u64 {
        (WALL_MS + self.now / MILLI).saturating_add_signed(self.leader_skew_ms)
    }

    /// A caller sends a new key or resends an old one, sometimes with another body.
    fn start_call(&mut self) {
        let daemon = self.dice.below(DAEMONS as u64) as usize;
        if self.processes[daemon].is_frozen(self.now) {
            return;
        }
        let id = if self.keys.is_empty() || self.dice.one_in(4) {
            let time = WALL_MS + self.now / MILLI + self.dice.below(4) * 1_200;
            let low = self.keys.len() as u128;
            let key = Key::try_from(u128::from(time) << 80 | 7 << 76 | 2 << 62 | low);
            self.keys.push((
                self.dice.below(2),
                key.expect("version and variant are set"),
            ));
            self.keys[self.keys.len() - 1]
        } else {
            let from = if self.dice.one_in(4) {
                0
            } else {
                self.keys.len().saturating_sub(8)
            };
            self.keys[self.dice.between(from as u64, self.keys.len() as u64 - 1) as usize]
        };
        let deadline = self.processes[daemon].clock(self.now) + DEADLINE;
        self.last_request += 1;
        let entry = PendingRequest {
            daemon,
            id,
            fingerprint: u128::from(self.dice.one_in(20)),
            guard: Guard::new(deadline),
            deadline,
            resend_at: 0,
            answer: None,
            command: None,
            sent: false,
            caller_answer: None,
        };
        self.pending.insert(self.last_request, entry);
    }

    /// The leader commits a command, and every replica applies it.
    fn commit(&mut self, request: u64, command: Command) -> Result<(), String> {
        let now_ms = self.wall_ms();
        let command = match command {
            Command::Claim {
                account,
                key,
                fingerprint,
                claimant,
                deadline_ms,
                ..
            } => Command::Claim {
                account,
                key,
                fingerprint,
                claimant,
                now_ms,
                deadline_ms,
            },
            command => command,
        };
        let outcome = self.apply(command)?;
        if let Some(entry) = self.pending.get(&request) {
            let message = Message::Outcome(request, outcome);
            self.net
                .send(self.now, &mut self.dice, LEADER, entry.daemon, message);
        }
        Ok(())
    }

    fn apply(&mut self, command: Command) -> Result<Outcome, String> {
        if self.dice.one_in(50) {
            self.net.count("replica restored from a snapshot");
            let restored = Table::restore(&self.tables[0].snapshot());
            self.tables[1] = restored.map_err(|error| self.failure(&error.to_string()))?;
        }
        let first = self.tables[0].apply(command.clone());
        let second = self.tables[1].apply(command);
        if first != second || self.tables[0] != self.tables[1] {
            return Err(self.failure("two replicas differ"));
        }
        if self.tables[0].len() as u64 > LIMITS.records || self.tables[0].bytes() > LIMITS.bytes {
            return Err(self.failure("the table is over its limits"));
        }
        Ok(first)
    }

    /// A daemon handles an outcome.
    fn handle_outcome(&mut self, request: u64, outcome: Outcome) -> Result<(), String> {
        let Some(entry) = self.pending.get_mut(&request) else {
            return Ok(());
        };
        let id = entry.id;
        match outcome {
            Outcome::Claimed { claim } => {
                if let Some(command) = entry.guard.grant(claim) {
                    entry.command = Some(command);
                }
            }
            Outcome::Recorded { answer } => {
                entry.command = None;
                let Body::Whole(body) = answer.body else {
                    return Ok(());
                };
                let recorded = (entry.fingerprint, body);
                entry.caller_answer.get_or_insert(CallerAnswer::Other);
                if self
                    .executions
                    .get(&id)
                    .is_none_or(|executions| executions[0] != recorded)
                {
                    return Err(self.failure(&format!("key {id:?} got an answer of no execution")));
                }
            }
            Outcome::Released | Outcome::Stale => entry.command = None,
            // A late refusal of an earlier copy of the claim may arrive after a later
            // copy was granted, so the guard decides what the caller is told.
            other => {
                let is_refused = matches!(other, Outcome::Full | Outcome::FromFuture);
                let caller_answer = match entry.guard.release() {
                    Release::Refused => return Ok(()),
                    Release::Propose(command) => {
                        entry.command = Some(command);
                        CallerAnswer::NotRun
                    }
                    Release::NoClaim if is_refused => CallerAnswer::NotRun,
                    Release::NoClaim => CallerAnswer::Other,
                };
                entry.caller_answer.get_or_insert(caller_answer);
            }
        }
        Ok(())
    }

    /// A daemon continues one request.
    fn advance_request(&mut self, request: u64) -> Result<(), String> {
        let (now, dice) = (self.now, &mut self.dice);
        let Some(entry) = self.pending.get_mut(&request) else {
            return Ok(());
        };
        let daemon = entry.daemon;
        if self.processes[daemon].is_frozen(now) {
            return Ok(());
        }
        let clock = self.processes[daemon].clock(now);
        // Tries to send regardless of the state; the guard must refuse when it is not allowed.
        if dice.one_in(3) && entry.guard.start_send(clock).is_ok() {
            entry.sent = true;
            if clock >= entry.deadline {
                return Err(self.failure(&format!("request {request} was sent too late")));
            }
            let body = request.to_be_bytes().repeat(2);
            let execution = (entry.fingerprint, body.clone());
            self.executions.entry(entry.id).or_default().push(execution);
            if !dice.one_in(6) {
                entry.answer = Some((now + dice.between(10 * MILLI, 9 * SECOND), body));
            }
            self.net.count("call sent");
        }
        let is_given_up = clock >= entry.deadline || dice.one_in(300);
        if !entry.sent && entry.caller_answer.is_none() && is_given_up {
            match entry.guard.release() {
                Release::Propose(command) => entry.command = Some(command),
                Release::NoClaim => {}
                Release::Refused => {
                    return Err(self.failure("an unsent claim was not released"));
                }
            }
            entry.caller_answer = Some(CallerAnswer::NotRun);
        }
        if let Some((_, body)) = entry.answer.take_if(|(at, _)| *at <= now) {
            entry.command = entry.guard.record(Answer::whole(200, body));
            entry.resend_at = 0;
        }
        if entry.caller_answer == Some(CallerAnswer::NotRun) && entry.sent {
            return Err(self.failure(&format!("request {request} ran after the answer `not run`")));
        }
        let needs_claim = !entry.sent && entry.caller_answer.is_none();
        if now >= entry.resend_at && (needs_claim || entry.command.is_some()) {
            entry.resend_at = now + 400 * MILLI;
            let command = entry.command.clone().unwrap_or_else(|| Command::Claim {
                account: entry.id.0,
                key: entry.id.1,
                fingerprint: entry.fingerprint,
                claimant: u128::from(request),
                now_ms: 0,
                deadline_ms: entry.deadline.saturating_sub(clock).as_millis() as u64,
            });
            self.net.send(
                now,
                dice,
                daemon,
                LEADER,
                Message::Propose(request, command),
            );
        }
        Ok(())
    }

    fn inject_faults(&mut self) {
        let now = self.now;
        if self.dice.one_in(250) {
            self.net.count("freeze");
            let until = now + self.dice.between(500 * MILLI, 15 * SECOND);
            self.processes[self.dice.below(DAEMONS as u64) as usize].frozen_until = until;
        }
        if self.dice.one_in(400) {
            self.net.count("daemon restart");
            let daemon = self.dice.below(DAEMONS as u64) as usize;
            let incarnation = self.processes[daemon].incarnation + 1;
            self.processes[daemon] = Process::new(&mut self.dice, incarnation);
            self.pending.retain(|_, entry| entry.daemon != daemon);
        }
        if self.dice.one_in(200) {
            self.net.count("leader change");
            self.leader_absent_until = now + self.dice.between(10 * MILLI, 3 * SECOND);
            self.leader_skew_ms = self.dice.between(0, 50_000) as i64 - 25_000;
            if !self.dice.one_in(8) {
                self.leader_skew_ms /= 20;
            }
        }
        if self.dice.one_in(150) {
            self.net.partition(&mut self.dice, DAEMONS + 1);
        }
    }
}
