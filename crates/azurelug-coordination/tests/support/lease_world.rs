//! A schedule of leases: one resource, one grantor that restarts, and several holders.

use std::time::Duration;

use azurelug_coordination::lease::{
    Fence, Grant, Grantor, Holder, Identity, Release, Reply, Request,
};

use super::sim::{MILLI, Micros, Net, Process, Report, SECOND, SimRandom};

const HOLDERS: usize = 3;
const TERM: Duration = Duration::from_secs(2);

#[derive(Clone)]
enum Message {
    Request(Request),
    Release(Release),
    Grant(Grant),
}

pub(crate) fn run(seed: u64) -> Result<Report, String> {
    let dice = &mut SimRandom::new(seed);
    let mut net = Net::new(dice);
    let mut report = Report::default();
    let mut grantor_process = Process::new(dice, 1);
    let mut grantor = Grantor::new(grantor_process.clock(0), 1, TERM);
    let mut processes: Vec<Process> = (0..HOLDERS).map(|_| Process::new(dice, 1)).collect();
    let identity = |id: usize, incarnation| Identity {
        id: id as u64,
        incarnation,
    };
    let mut holders: Vec<Holder> = (0..HOLDERS)
        .map(|id| Holder::new(identity(id, 1)))
        .collect();
    let mut highest_fence = Fence {
        epoch: 0,
        number: 0,
    };
    let mut last_holder = None;
    let mut now: Micros = 0;
    while now < 40 * SECOND {
        now += dice.between(MILLI, 40 * MILLI);
        report.steps += 1;
        while let Some((to, message)) = net.receive(now) {
            let process = if to == HOLDERS {
                &grantor_process
            } else {
                &processes[to]
            };
            if process.is_frozen(now) {
                net.enqueue(process.frozen_until + dice.below(MILLI), to, message);
                continue;
            }
            match message {
                Message::Request(request) => {
                    if let Reply::Granted(grant) =
                        grantor.request(grantor_process.clock(now), request)
                    {
                        let to = request.holder.id as usize;
                        net.send(now, dice, HOLDERS, to, Message::Grant(grant));
                    }
                }
                Message::Release(message) => grantor.release(message),
                Message::Grant(grant) => holders[to].grant(&grant),
            }
        }
        for id in 0..HOLDERS {
            if processes[id].take_due_renewal(now, dice) {
                let request = holders[id].request(processes[id].clock(now));
                net.send(now, dice, id, HOLDERS, Message::Request(request));
            }
            if dice.one_in(150) && !processes[id].is_frozen(now) {
                net.count("lease released");
                let message = holders[id].release();
                net.send(now, dice, id, HOLDERS, Message::Release(message));
                // The holder requests the lease again at once.
                processes[id].next_renewal = Duration::ZERO;
            }
            if dice.one_in(600) {
                net.count("freeze");
                processes[id].frozen_until = now + dice.between(500 * MILLI, 8 * SECOND);
            }
            if dice.one_in(800) {
                net.count("holder restart");
                processes[id] = Process::new(dice, processes[id].incarnation + 1);
                holders[id] = Holder::new(identity(id, processes[id].incarnation));
            }
        }
        if dice.one_in(600) {
            net.count("freeze");
            grantor_process.frozen_until = now + dice.between(500 * MILLI, 8 * SECOND);
        }
        if dice.one_in(800) {
            net.count("grantor restart");
            grantor_process = Process::new(dice, grantor_process.incarnation + 1);
            grantor = Grantor::new(
                grantor_process.clock(now),
                grantor_process.incarnation,
                TERM,
            );
        }
        if dice.one_in(100) {
            net.partition(dice, HOLDERS + 1);
        }
        let valid_leases: Vec<(usize, Fence)> = (0..HOLDERS)
            .filter_map(|id| Some((id, holders[id].fence(processes[id].clock(now))?)))
            .collect();
        if valid_leases.len() > 1 {
            return Err(format!(
                "seed {seed}: at {now} us several holders have a valid lease: {valid_leases:?}"
            ));
        }
        if let Some(&(id, fence)) = valid_leases.first() {
            let process = (id, processes[id].incarnation);
            if fence < highest_fence || (fence == highest_fence && last_holder != Some(process)) {
                return Err(format!(
                    "seed {seed}: at {now} us {process:?} holds a lease with the outdated {fence:?}"
                ));
            }
            if last_holder != Some(process) {
                net.count("lease moved");
            }
            (highest_fence, last_holder) = (fence, Some(process));
        }
    }
    report.faults = net.faults;
    Ok(report)
}
