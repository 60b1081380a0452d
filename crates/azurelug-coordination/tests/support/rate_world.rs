//! A schedule of the shared rate: holders that spend tokens, and leaders that are replaced without
//! noticing.

use std::time::Duration;

use azurelug_coordination::lease::Identity;
use azurelug_coordination::rate::{Grantor, Holder, LeaseTimes, Rate};
use azurelug_coordination::share::{Answer, Limits, Request};

use super::sim::{MILLI, Micros, Net, Process, Report, SECOND, SimRandom};

const HOLDERS: usize = 4;
/// The current leader and its predecessor, whose lease may still be valid.
const LEADERS: usize = 2;
const RATE: Rate = Rate {
    per_second: 500,
    window: Duration::from_secs(1),
};
const LEASE_TIMES: LeaseTimes = LeaseTimes {
    term: Duration::from_secs(2),
    leader_lease: Duration::from_millis(1_000),
};

#[derive(Clone)]
enum Message {
    Request(Request),
    Answer(Answer),
}

struct Leader {
    process: Process,
    grantor: Grantor,
    leads_until: Duration,
}

impl Leader {
    fn new(now: Micros, dice: &mut SimRandom, term: u64) -> Self {
        let process = Process::new(dice, term);
        let clock = process.clock(now);
        let grantor = Grantor::new(clock, term, RATE, LEASE_TIMES, Limits::default());
        Self {
            process,
            grantor,
            leads_until: clock + LEASE_TIMES.leader_lease,
        }
    }
}

/// The reference model: a single token bucket in real time, as the weight store would have it.
struct TokenBucket {
    level: f64,
    at: Micros,
}

impl TokenBucket {
    fn spend(&mut self, now: Micros, tokens: u32) -> bool {
        let rate = f64::from(RATE.per_second);
        let earned = rate * (now - self.at) as f64 / SECOND as f64;
        self.level = (self.level + earned).min(rate * RATE.window.as_secs_f64());
        self.at = now;
        self.level -= f64::from(tokens);
        self.level > -1e-6
    }
}

pub(crate) fn run(seed: u64) -> Result<Report, String> {
    let dice = &mut SimRandom::new(seed);
    let mut net = Net::new(dice);
    let mut report = Report::default();
    let mut leaders = vec![Leader::new(0, dice, 1), Leader::new(0, dice, 2)];
    let mut processes: Vec<Process> = (0..HOLDERS).map(|_| Process::new(dice, 1)).collect();
    let new_holder = |now: Micros, id: usize, process: &Process| {
        let identity = Identity {
            id: id as u64,
            incarnation: process.incarnation,
        };
        Holder::new(process.clock(now), identity, RATE, LEASE_TIMES)
    };
    let mut holders: Vec<Holder> = (0..HOLDERS)
        .map(|id| new_holder(0, id, &processes[id]))
        .collect();
    let mut bucket = TokenBucket {
        level: 500.0,
        at: 0,
    };
    // Idle holders accumulate tokens, which reveals tokens that are kept too long.
    let mut busy = [true; HOLDERS];
    let mut spent_after_faults = [0u64; HOLDERS];
    let mut now: Micros = 0;
    while now < 60 * SECOND {
        now += dice.between(MILLI, 30 * MILLI);
        report.steps += 1;
        let calm = now > 40 * SECOND;
        if calm && !net.faults_ended {
            net.end_faults();
            processes
                .iter_mut()
                .for_each(|process| process.frozen_until = 0);
            leaders[LEADERS - 1].process.frozen_until = 0;
        }
        while let Some((to, message)) = net.receive(now) {
            let process = if to < HOLDERS {
                &processes[to]
            } else {
                &leaders[to - HOLDERS].process
            };
            if process.is_frozen(now) {
                net.enqueue(process.frozen_until + dice.below(MILLI), to, message);
                continue;
            }
            let clock = process.clock(now);
            match message {
                Message::Request(request) => {
                    let leader = &mut leaders[to - HOLDERS];
                    if let Some(answer) =
                        leader.grantor.request(clock, leader.leads_until, &request)
                    {
                        let holder = request.holder.id as usize;
                        net.send(now, dice, to, holder, Message::Answer(answer));
                    }
                }
                Message::Answer(answer) => holders[to].answer(clock, &answer),
            }
        }
        for id in 0..HOLDERS {
            if processes[id].take_due_renewal(now, dice) {
                holders[id]
                    .set_demand([0, 50, 500, 2_000][dice.below(4) as usize].max(u32::from(calm)));
                let request = holders[id].request(processes[id].clock(now));
                // A holder that does not know the new leader yet sends to the old one.
                let leader = if calm || !dice.one_in(3) {
                    LEADERS - 1
                } else {
                    0
                };
                net.send(now, dice, id, HOLDERS + leader, Message::Request(request));
            }
            busy[id] ^= dice.one_in(60);
            if !processes[id].is_frozen(now) && (busy[id] || calm) {
                for _ in 0..dice.below(200) {
                    let tokens = dice.between(1, 5) as u32;
                    if !holders[id].spend(processes[id].clock(now), tokens) {
                        break;
                    }
                    spent_after_faults[id] += u64::from(calm);
                    if !bucket.spend(now, tokens) {
                        return Err(format!(
                            "seed {seed}: at {now} us holder {id} exceeded the rate by {}",
                            -bucket.level
                        ));
                    }
                }
            }
            if !calm && dice.one_in(600) {
                net.count("freeze");
                processes[id].frozen_until = now + dice.between(500 * MILLI, 8 * SECOND);
            }
            if !calm && dice.one_in(800) {
                net.count("holder restart");
                processes[id] = Process::new(dice, processes[id].incarnation + 1);
                holders[id] = new_holder(now, id, &processes[id]);
            }
        }
        let newest = &mut leaders[LEADERS - 1];
        if !newest.process.is_frozen(now) {
            newest.leads_until = newest.process.clock(now) + LEASE_TIMES.leader_lease;
        }
        if !calm && dice.one_in(500) {
            net.count("freeze");
            leaders[dice.below(2) as usize].process.frozen_until =
                now + dice.between(500 * MILLI, 4 * SECOND);
        }
        if !calm && dice.one_in(250) {
            // The predecessor keeps running and does not renew its leader lease.
            net.count("leader change");
            let term = leaders[LEADERS - 1].process.incarnation + 1;
            leaders.remove(0);
            leaders.push(Leader::new(now, dice, term));
        }
        if !calm && dice.one_in(150) {
            net.partition(dice, HOLDERS + LEADERS);
        }
    }
    if let Some(id) = spent_after_faults.iter().position(|&spent| spent == 0) {
        return Err(format!(
            "seed {seed}: holder {id} spent no tokens after the faults had ended"
        ));
    }
    report.faults = net.faults;
    Ok(report)
}
