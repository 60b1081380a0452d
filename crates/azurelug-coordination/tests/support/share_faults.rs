//! Faults and changes in a simulated world of shares.

use super::super::sim::{MILLI, Micros, Process, SECOND, SimRandom};
use super::{BaseMove, HOLDERS, TARGETS, World, new_holder};
use azurelug_coordination::share::{Grantor, Limits, Timing};

impl World {
    pub(super) fn inject_faults(&mut self) {
        let (now, dice) = (self.now, &mut self.dice);
        if dice.one_in(250) {
            self.net.count("freeze");
            let until = now + dice.between(500 * MILLI, 20 * SECOND);
            self.processes[dice.below(HOLDERS as u64) as usize].frozen_until = until;
        }
        if dice.one_in(1_000) {
            self.net.count("freeze");
            self.grantor_process.frozen_until = now + dice.between(500 * MILLI, 8 * SECOND);
        }
        if dice.one_in(300) {
            self.net.count("daemon restart");
            let id = dice.below(HOLDERS as u64) as usize;
            self.processes[id] = Process::new(dice, self.processes[id].incarnation + 1);
            self.holders[id] = new_holder(now, id, &self.processes[id]);
            self.set_bases(id);
            // The new process has not detected a cold start.
            self.targets
                .iter_mut()
                .for_each(|target| target.knows_limit[id] &= target.grantor_informed);
        }
        // Holders may be removed from the durable list at any time.
        if self.dice.one_in(100) && self.listed.is_some() {
            self.listed = Some(self.grantor.listed().collect());
        }
        if self.dice.one_in(700) {
            self.net.count("grantor restart");
            self.grantor_process =
                Process::new(&mut self.dice, self.grantor_process.incarnation + 1);
            let clock = self.grantor_process.clock(now);
            let epoch = self.grantor_process.incarnation;
            if self.dice.one_in(5) {
                self.listed = None;
            }
            let grantor = Grantor::new(clock, epoch, Timing::default(), Limits::default());
            self.grantor = grantor.with_list(self.listed.clone());
            self.number = 0;
            for target in &mut self.targets {
                // The new grantor reads the load report before it grants.
                if !target.grantor_informed {
                    target.all_know_at = now + 2_080 * MILLI;
                    target.informed_from = (epoch, 0);
                }
                target.grantor_informed = true;
            }
            self.set_capacities();
        }
        if self.dice.one_in(100) {
            self.net.partition(&mut self.dice, HOLDERS + 1);
        }
    }

    /// Makes targets cold, informs the daemons and the grantor later, and warms the targets up.
    pub(super) fn change_limit(&mut self) {
        for id in 0..TARGETS {
            let target = &mut self.targets[id];
            if target.limit == target.warm && target.warm > target.cold && self.dice.one_in(400) {
                self.net.count("target turned cold");
                target.earlier_limits.push((self.now, target.limit));
                target.limit = target.cold;
                target.knows_limit = [false; HOLDERS];
                target.grantor_informed = false;
                target.all_know_at = Micros::MAX;
                target
                    .calls
                    .iter_mut()
                    .for_each(|call| call.is_excluded = true);
            } else if target.limit < target.warm && target.grantor_informed && self.dice.one_in(150)
            {
                target.limit = (target.limit * 2).min(target.warm);
                let capacity = target.capacity(target.limit);
                self.grantor.set_capacity(id as u32, capacity);
            }
            let target = &mut self.targets[id];
            let holder = self.dice.below(HOLDERS as u64) as usize;
            let is_awake = !self.processes[holder].is_frozen(self.now);
            if !target.knows_limit[holder] && is_awake && self.dice.one_in(60) {
                target.knows_limit[holder] = true;
                self.holders[holder].report_cold_start(id as u32);
            }
            if !self.targets[id].grantor_informed && self.dice.one_in(60) {
                self.inform_grantor(id);
            }
        }
    }

    /// Moves base slots as a change of the configuration does: the receiver gets them
    /// once the giver reports its base share as settled, or, if the giver has
    /// restarted, once all calls of its former process have ended.
    pub(super) fn move_base(&mut self) {
        let Some(base_move) = &mut self.base_move else {
            if self.dice.one_in(100) {
                let pick = |dice: &mut SimRandom| dice.below(HOLDERS as u64) as usize;
                let (from, to) = (pick(&mut self.dice), pick(&mut self.dice));
                let target = self.dice.below(TARGETS as u64) as usize;
                let is_awake = !self.processes[from].is_frozen(self.now);
                if from != to && self.targets[target].base[from] > 0 && is_awake {
                    self.net.count("base share moved");
                    self.targets[target].base[from] -= 1;
                    self.set_bases(from);
                    let incarnation = self.processes[from].incarnation;
                    self.base_move = Some(BaseMove {
                        target,
                        from,
                        to,
                        incarnation,
                        dead_until: None,
                    });
                }
            }
            return;
        };
        if base_move.incarnation != self.processes[base_move.from].incarnation {
            base_move.dead_until.get_or_insert(self.now + 15 * SECOND);
        }
        let is_awake = !self.processes[base_move.from].is_frozen(self.now);
        let settled = match base_move.dead_until {
            Some(until) => self.now >= until,
            None => {
                is_awake && self.holders[base_move.from].is_base_settled(base_move.target as u32)
            }
        };
        if settled {
            let to = base_move.to;
            self.targets[base_move.target].base[to] += 1;
            self.base_move = None;
            self.set_bases(to);
        }
    }
}
