//! A schedule of membership: one observer, and members that stop, restart and lose messages.

use std::collections::VecDeque;
use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::membership::{Answer, Change, Members, Renewal, Settings, State};

use super::sim::{MILLI, Micros, Net, Process, Report, SECOND, SimRandom};

const MEMBERS: usize = 4;
const OBSERVER: usize = MEMBERS;

#[derive(Clone)]
enum Message {
    Renewal(Renewal),
    Answer(Answer),
}

struct Member {
    process: Process,
    is_up: bool,
    sequence: u64,
    heard: u64,
    sent: VecDeque<(u64, Duration)>,
    lease_until: Duration,
    /// Real time of the last round trip.
    round_trip_at: Micros,
}

impl Member {
    fn new(dice: &mut SimRandom, now: Micros, incarnation: u64) -> Self {
        Self {
            process: Process::new(dice, incarnation),
            is_up: true,
            sequence: 0,
            heard: 0,
            sent: VecDeque::new(),
            lease_until: Duration::ZERO,
            round_trip_at: now,
        }
    }

    fn identity(&self, id: usize) -> Identity {
        Identity {
            id: id as u64,
            incarnation: self.process.incarnation,
        }
    }

    fn handle_answer(&mut self, now: Micros, answer: &Answer) {
        let Some(&(_, sent)) = self.sent.iter().find(|sent| sent.0 == answer.sequence) else {
            return;
        };
        self.heard = self.heard.max(answer.number);
        self.round_trip_at = now;
        if answer.leased {
            self.lease_until = self.lease_until.max(sent + Settings::default().term);
        }
    }
}

pub(crate) fn run(seed: u64) -> Result<Report, String> {
    let dice = &mut SimRandom::new(seed);
    let mut net = Net::new(dice);
    let mut report = Report::default();
    let mut observer = Process::new(dice, 1);
    let mut view = Members::new(observer.clock(0), Settings::default());
    let mut members: Vec<Member> = (0..MEMBERS).map(|_| Member::new(dice, 0, 1)).collect();
    // Past states of the platform's list, with the time from which each is visible.
    let mut lists: VecDeque<(Micros, Vec<u64>)> = VecDeque::new();
    let mut now: Micros = 0;
    let mut observer_running_since: Micros = 0;
    while now < 120 * SECOND {
        now += dice.between(MILLI, 60 * MILLI);
        report.steps += 1;
        let mut changes = Vec::new();
        while let Some((to, message)) = net.receive(now) {
            let process = if to == OBSERVER {
                &observer
            } else {
                &members[to].process
            };
            if process.is_frozen(now) {
                net.enqueue(process.frozen_until + dice.below(MILLI), to, message);
                continue;
            }
            match message {
                Message::Renewal(renewal) => {
                    let clock = observer.clock(now);
                    if let Some(answer) = view.renew(clock, renewal, &mut changes) {
                        let to = renewal.member.id as usize;
                        net.send(now, dice, OBSERVER, to, Message::Answer(answer));
                    }
                }
                Message::Answer(answer) => {
                    let member = &mut members[to];
                    if member.is_up && answer.member == member.identity(to) {
                        member.handle_answer(now, &answer);
                    }
                }
            }
        }
        for (id, member) in members.iter_mut().enumerate() {
            if member.is_up && member.process.take_due_renewal(now, dice) {
                member.sequence += 1;
                member
                    .sent
                    .push_back((member.sequence, member.process.clock(now)));
                if member.sent.len() > 8 {
                    member.sent.pop_front();
                }
                let (sequence, heard) = (member.sequence, member.heard);
                let renewal = Renewal {
                    member: member.identity(id),
                    sequence,
                    heard,
                };
                net.send(now, dice, id, OBSERVER, Message::Renewal(renewal));
            }
            if dice.one_in(600) {
                net.count("freeze");
                member.process.frozen_until = now + dice.between(500 * MILLI, 12 * SECOND);
            }
            if member.is_up && dice.one_in(900) {
                net.count("member stopped");
                member.is_up = false;
            } else if !member.is_up && dice.one_in(900) {
                *member = Member::new(dice, now, member.process.incarnation + 1);
            }
        }
        if dice.one_in(50) {
            let live = (0..MEMBERS).filter(|&id| members[id].is_up || dice.one_in(20));
            lists.push_back((now + 5 * SECOND, live.map(|id| id as u64).collect()));
        }
        while lists.front().is_some_and(|list| list.0 <= now) {
            let (_, live) = lists.pop_front().expect("the queue has a front entry");
            view.set_listed(live.into_iter().map(|id| (id, false)));
        }
        if dice.one_in(600) {
            net.count("observer freeze");
            observer.frozen_until = now + dice.between(500 * MILLI, 20 * SECOND);
        }
        if dice.one_in(100) {
            net.partition(dice, MEMBERS + 1);
        }
        if observer.is_frozen(now) {
            observer_running_since = observer.frozen_until;
        } else {
            view.tick(observer.clock(now), &mut changes);
            check(&view, &members, &changes, now, observer_running_since)
                .map_err(|fault| format!("seed {seed}: at {now} us {fault}"))?;
        }
        for change in changes {
            net.count(match change.state {
                State::Alive => "became alive",
                State::Suspect => "became suspect",
                State::Gone => "became gone",
            });
        }
    }
    report.faults = net.faults;
    Ok(report)
}

fn check(
    view: &Members,
    members: &[Member],
    changes: &[Change],
    now: Micros,
    observer_running_since: Micros,
) -> Result<(), String> {
    for change in changes.iter().filter(|change| change.state == State::Gone) {
        let member = &members[change.member.id as usize];
        let is_same_process = member.identity(change.member.id as usize) == change.member;
        if is_same_process && member.is_up && member.process.clock(now) < member.lease_until {
            return Err(format!(
                "{:?} is reported gone but holds a lease",
                change.member
            ));
        }
    }
    for (id, member) in members.iter().enumerate() {
        // The limit is the suspect time, the interval, the drift and one step.
        let silence_us = now.saturating_sub(member.round_trip_at.max(observer_running_since));
        let is_alive = view.state(member.identity(id)) == State::Alive;
        if is_alive && silence_us > 2_100 * MILLI {
            return Err(format!(
                "member {id} is reported alive {silence_us} us after its last round trip"
            ));
        }
    }
    Ok(())
}
