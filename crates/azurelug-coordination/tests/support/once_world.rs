//! A schedule of the at-most-once records: callers that resend keys through several daemons, and a
//! replicated table.

use std::collections::BTreeMap;
use std::time::Duration;

use azurelug_coordination::once::{
    Answer, Body, Command, Guard, Key, Limits, Outcome, Release, Table,
};

use super::sim::{Dice, MILLI, Micros, Net, Process, Report, SECOND};

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
type Run = (u128, Vec<u8>);

/// The answer that a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    NotRun,
    Other,
}

struct Work {
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
    told: Option<Told>,
}

struct World {
    seed: u64,
    dice: Dice,
    now: Micros,
    net: Net<Message>,
    processes: Vec<Process>,
    work: BTreeMap<u64, Work>,
    last: u64,
    keys: Vec<(u64, Key)>,
    /// The reference model: all executions of each key.
    runs: BTreeMap<(u64, Key), Vec<Run>>,
    tables: Vec<Table>,
    leader_skew_ms: i64,
    leader_away_until: Micros,
}

pub(crate) fn run(seed: u64) -> Result<Report, String> {
    let mut dice = Dice::new(seed);
    let net = Net::new(&mut dice);
    let processes = (0..DAEMONS).map(|_| Process::new(&mut dice, 1)).collect();
    let mut world = World {
        seed,
        dice,
        now: 0,
        net,
        processes,
        work: BTreeMap::new(),
        last: 0,
        keys: Vec::new(),
        runs: BTreeMap::new(),
        tables: vec![Table::new(LIMITS); 2],
        leader_skew_ms: 0,
        leader_away_until: 0,
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
            let wakes = if to == LEADER {
                self.leader_away_until
            } else {
                self.processes[to].frozen_until
            };
            if self.now < wakes {
                self.net.put(wakes + self.dice.below(MILLI), to, message);
                continue;
            }
            match message {
                Message::Propose(request, command) => self.propose(request, command)?,
                Message::Outcome(request, outcome) => self.take(request, outcome)?,
            }
        }
        if self.dice.one_in(40) && self.now >= self.leader_away_until {
            let now_ms = self.wall_ms();
            self.apply(Command::Expire { now_ms })?;
        }
        if self.dice.one_in(6) {
            self.call();
        }
        let requests: Vec<u64> = self.work.keys().copied().collect();
        for request in requests {
            self.work_on(request)?;
        }
        self.fault();
        let twice = self.runs.iter().find(|(_, runs)| runs.len() > 1);
        match twice {
            Some((id, _)) => Err(self.fault_text(&format!("key {id:?} was sent twice"))),
            None => Ok(()),
        }
    }

    fn fault_text(&self, text: &str) -> String {
        format!("seed {}: at {} us {text}", self.seed, self.now)
    }

    fn wall_ms(&self) -> u64 {
        (WALL_MS + self.now / MILLI).saturating_add_signed(self.leader_skew_ms)
    }

    /// A caller sends a new key or resends an old one, sometimes with another body.
    fn call(&mut self) {
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
        self.last += 1;
        let work = Work {
            daemon,
            id,
            fingerprint: u128::from(self.dice.one_in(20)),
            guard: Guard::new(deadline),
            deadline,
            resend_at: 0,
            answer: None,
            command: None,
            sent: false,
            told: None,
        };
        self.work.insert(self.last, work);
    }

    /// The leader commits a command, and every replica applies it.
    fn propose(&mut self, request: u64, command: Command) -> Result<(), String> {
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
        if let Some(work) = self.work.get(&request) {
            let message = Message::Outcome(request, outcome);
            self.net
                .send(self.now, &mut self.dice, LEADER, work.daemon, message);
        }
        Ok(())
    }

    fn apply(&mut self, command: Command) -> Result<Outcome, String> {
        if self.dice.one_in(50) {
            self.net.count("replica restored from a snapshot");
            let restored = Table::restore(&self.tables[0].snapshot());
            self.tables[1] = restored.map_err(|error| self.fault_text(&error.to_string()))?;
        }
        let first = self.tables[0].apply(command.clone());
        let second = self.tables[1].apply(command);
        if first != second || self.tables[0] != self.tables[1] {
            return Err(self.fault_text("two replicas differ"));
        }
        if self.tables[0].len() as u64 > LIMITS.records || self.tables[0].bytes() > LIMITS.bytes {
            return Err(self.fault_text("the table is over its limits"));
        }
        Ok(first)
    }

    /// A daemon handles an outcome.
    fn take(&mut self, request: u64, outcome: Outcome) -> Result<(), String> {
        let Some(work) = self.work.get_mut(&request) else {
            return Ok(());
        };
        let id = work.id;
        match outcome {
            Outcome::Claimed { claim } => {
                if let Some(command) = work.guard.grant(claim) {
                    work.command = Some(command);
                }
            }
            Outcome::Recorded { answer } => {
                work.command = None;
                let Body::Whole(body) = answer.body else {
                    return Ok(());
                };
                let told_by_run = (work.fingerprint, body);
                work.told.get_or_insert(Told::Other);
                if self.runs.get(&id).is_none_or(|runs| runs[0] != told_by_run) {
                    return Err(
                        self.fault_text(&format!("key {id:?} got an answer of no execution"))
                    );
                }
            }
            Outcome::Released | Outcome::Stale => work.command = None,
            // A late refusal of an earlier copy of the claim may arrive after a later
            // copy was granted, so the guard decides what the caller is told.
            other => {
                let is_refused = matches!(other, Outcome::Full | Outcome::FromFuture);
                let told = match work.guard.release() {
                    Release::Refused => return Ok(()),
                    Release::Propose(command) => {
                        work.command = Some(command);
                        Told::NotRun
                    }
                    Release::NothingHeld if is_refused => Told::NotRun,
                    Release::NothingHeld => Told::Other,
                };
                work.told.get_or_insert(told);
            }
        }
        Ok(())
    }

    /// A daemon continues one request.
    fn work_on(&mut self, request: u64) -> Result<(), String> {
        let (now, dice) = (self.now, &mut self.dice);
        let Some(work) = self.work.get_mut(&request) else {
            return Ok(());
        };
        let daemon = work.daemon;
        if self.processes[daemon].is_frozen(now) {
            return Ok(());
        }
        let clock = self.processes[daemon].clock(now);
        // Tries to send regardless of the state; the guard must refuse when it is not allowed.
        if dice.one_in(3) && work.guard.start_send(clock).is_ok() {
            work.sent = true;
            if clock >= work.deadline {
                return Err(self.fault_text(&format!("request {request} was sent too late")));
            }
            let body = request.to_be_bytes().repeat(2);
            let run = (work.fingerprint, body.clone());
            self.runs.entry(work.id).or_default().push(run);
            if !dice.one_in(6) {
                work.answer = Some((now + dice.between(10 * MILLI, 9 * SECOND), body));
            }
            self.net.count("call sent");
        }
        let gives_up = clock >= work.deadline || dice.one_in(300);
        if !work.sent && work.told.is_none() && gives_up {
            match work.guard.release() {
                Release::Propose(command) => work.command = Some(command),
                Release::NothingHeld => {}
                Release::Refused => {
                    return Err(self.fault_text("an unsent claim was not released"));
                }
            }
            work.told = Some(Told::NotRun);
        }
        if let Some((_, body)) = work.answer.take_if(|(at, _)| *at <= now) {
            work.command = work.guard.record(Answer::whole(200, body));
            work.resend_at = 0;
        }
        if work.told == Some(Told::NotRun) && work.sent {
            return Err(
                self.fault_text(&format!("request {request} ran after the answer `not run`"))
            );
        }
        let waits = !work.sent && work.told.is_none();
        if now >= work.resend_at && (waits || work.command.is_some()) {
            work.resend_at = now + 400 * MILLI;
            let command = work.command.clone().unwrap_or_else(|| Command::Claim {
                account: work.id.0,
                key: work.id.1,
                fingerprint: work.fingerprint,
                claimant: u128::from(request),
                now_ms: 0,
                deadline_ms: work.deadline.saturating_sub(clock).as_millis() as u64,
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

    fn fault(&mut self) {
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
            self.work.retain(|_, work| work.daemon != daemon);
        }
        if self.dice.one_in(200) {
            self.net.count("leader change");
            self.leader_away_until = now + self.dice.between(10 * MILLI, 3 * SECOND);
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
