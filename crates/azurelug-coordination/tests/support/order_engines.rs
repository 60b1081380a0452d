//! The engines of a simulated world and the faults that strike it.

use super::super::sim::{MILLI, SECOND};
use super::{ENGINES, Message, World, leader_address, random_state};
use azurelug_coordination::orders::{Order, OrderResult};

impl World {
    pub(super) fn handle_at_engine(&mut self, id: usize, message: Message) {
        let (term, answer) = match message {
            Message::Read { term, number } => {
                let state = self.engines[id].state.clone();
                let engine = id;
                let answer = Message::State {
                    term,
                    engine,
                    number,
                    state,
                };
                (term, answer)
            }
            Message::Order {
                term,
                number,
                order,
            } => {
                let engine = &mut self.engines[id];
                let is_fenced = engine.checks_fencing && term < engine.fencing;
                if is_fenced {
                    self.net.count("order fenced");
                } else {
                    if term < engine.fencing {
                        self.net.count("order of an earlier leader accepted");
                    }
                    engine.fencing = engine.fencing.max(term);
                    match order {
                        Order::Load(model) => {
                            let time = self.dice.between(50 * MILLI, 2 * SECOND);
                            engine.loads.push((self.now + time, model, term, number));
                            return;
                        }
                        Order::Unload(model) => drop(engine.state.loaded.remove(&model)),
                        Order::Role(role) => engine.state.role = role,
                    }
                }
                let end = if is_fenced {
                    OrderResult::Refused
                } else {
                    OrderResult::Done
                };
                let engine = id;
                let answer = Message::Ended {
                    term,
                    engine,
                    number,
                    end,
                };
                (term, answer)
            }
            Message::State { .. } | Message::Ended { .. } => return,
        };
        self.net
            .send(self.now, &mut self.dice, id, leader_address(term), answer);
    }

    pub(super) fn finish_loads(&mut self) {
        for id in 0..ENGINES {
            let now = self.now;
            let done: Vec<_> = self.engines[id]
                .loads
                .extract_if(.., |load| load.0 <= now)
                .collect();
            for (_, model, term, number) in done {
                self.engines[id].state.loaded.insert(model);
                let answer = Message::Ended {
                    term,
                    engine: id,
                    number,
                    end: OrderResult::Done,
                };
                self.net
                    .send(now, &mut self.dice, id, leader_address(term), answer);
            }
        }
    }

    pub(super) fn inject_faults(&mut self) {
        let newest = self.leaders.len() - 1;
        if self.dice.one_in(120) {
            self.net.count("freeze");
            let index = self.dice.below(newest as u64 + 1) as usize;
            let until = self.now + self.dice.between(500 * MILLI, 4 * SECOND);
            self.leaders[index].process.frozen_until = until;
        }
        if self.dice.one_in(300) {
            self.net.count("leader change");
            let term = self.leaders[newest].term + 1;
            if newest > 0 {
                self.leaders.remove(0);
            }
            self.elect(term);
        }
        if self.dice.one_in(150) {
            self.net.partition(&mut self.dice, ENGINES + 2);
        }
        if self.dice.one_in(300) {
            self.net.count("engine restart");
            let id = self.dice.below(ENGINES as u64) as usize;
            self.engines[id].restart();
            self.engines[id].down_until = self.now + self.dice.below(2 * SECOND);
        }
        if self.dice.one_in(80) {
            self.net.count("patch");
            let id = self.dice.below(ENGINES as u64) as usize;
            let state = random_state(&mut self.dice);
            self.desired.insert(id, state);
            // Only the newest leader gets the change.
            let mut leader = self.leaders.pop().expect("there is a leader");
            self.configure(&mut leader);
            self.leaders.push(leader);
        }
    }
}
