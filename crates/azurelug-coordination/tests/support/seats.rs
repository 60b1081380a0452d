//! Schedules about the seats of the membership: many replacements one after the other, and all
//! faults with few seats.

use std::time::Duration;

use azurelug_coordination::raft::{Event, Member, Settings};
use rand::RngExt;

use super::disk::Disk;
use super::{MS, ScheduledEvent, Time, World};

/// Voters of the cluster.
const VOTERS: usize = 3;

/// Time after the start of a member until it has to have an identity, and a vote if one is free. A
/// deployment counts on it after `catch_up_s`, which is 4 s at the least.
const CATCH_UP: Time = 4000 * MS;

/// What one replacement left behind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Round {
    /// Number of seats.
    pub(crate) seats: usize,
    /// Encoded size of the membership in bytes, in the log and in snapshots.
    pub(crate) bytes: usize,
    /// Time from the start of the successor until it had an identity.
    pub(crate) admission: Time,
}

/// How a member is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Its successor joins first, then it is told to stop.
    Planned,
    /// Its successor joins first, then it is killed.
    KilledAfter,
    /// It is killed; its successor starts later.
    KilledBefore,
    /// It returns at the same address with an empty disk.
    Wiped,
    /// As `KilledBefore`; after its removal it returns with its disk in place of the next successor.
    Returned,
}

const KINDS: [Kind; 5] = [
    Kind::Planned,
    Kind::KilledAfter,
    Kind::KilledBefore,
    Kind::Wiped,
    Kind::Returned,
];

/// Replaces members `rounds` times, each of the kinds in random order.
pub(crate) fn replace_many(seed: u64, rounds: usize) -> Result<Vec<Round>, String> {
    let mut world = World::with_members(seed, VOTERS as u32, rounds as u32);
    world.settings = Settings {
        target_voters: Some(VOTERS),
        replace_after: Duration::from_micros(CATCH_UP / 2),
        max_voters: VOTERS,
        max_batch_entries: 64,
        max_in_flight: 8,
        chunk_bytes: Settings::default().chunk_bytes,
        join_interval: Settings::default().join_interval,
        remove_after: Settings::default().remove_after,
        max_members: Settings::default().max_members,
        ..world.settings
    };
    world.settings.peers = (0..VOTERS as u32).collect();
    world.faults_enabled = false;
    for host in 0..VOTERS {
        world.push(world.time, ScheduledEvent::Start(host));
    }
    let mut schedule = Replacements {
        world,
        running: (0..VOTERS).collect(),
        departed: Vec::new(),
        next_host: VOTERS,
    };
    schedule.world.run_for(3000 * MS)?;
    let mut results = Vec::new();
    for round in 0..rounds {
        let kind = KINDS[schedule.world.random.random_range(0..KINDS.len())];
        let result = schedule.replace(kind);
        let time = schedule.world.time;
        results.push(result.map_err(|error| {
            format!("seed {seed}, replacement {round} ({kind:?}) at {time} us: {error}")
        })?);
    }
    Ok(results)
}

struct Replacements {
    world: World,
    /// Hosts whose processes run.
    running: Vec<usize>,
    /// Hosts that may return with their disk, and when they stopped.
    departed: Vec<(usize, Time)>,
    /// First host that was never used.
    next_host: usize,
}

impl Replacements {
    fn replace(&mut self, kind: Kind) -> Result<Round, String> {
        // Steps are limited in each round, not in all of them together.
        self.world.counts.steps = 0;
        self.world.messages.retain(Option::is_some);
        if !self.world.messages.is_empty() {
            return Err("messages are in transit between two rounds".to_owned());
        }
        let old = self.world.pick_running(None);
        let mut successor = self.next_successor();
        let admission;
        match kind {
            Kind::Planned | Kind::KilledAfter => {
                admission = self.start(successor)?;
                if kind == Kind::Planned {
                    self.world.step(old, Event::Leave)?;
                    self.world.run_for(500 * MS)?;
                }
                self.stop(old);
            }
            Kind::KilledBefore | Kind::Returned => {
                self.stop(old);
                let pause = self.world.random.random_range(0..1500) * MS;
                self.world.run_for(pause)?;
                admission = self.start(successor)?;
                if kind == Kind::Returned {
                    self.departed.push((old, self.world.time));
                }
            }
            Kind::Wiped => {
                self.stop(old);
                self.world.hosts[old].disk = Disk::default();
                successor = old;
                admission = self.start(successor)?;
            }
        }
        self.commit_command()?;
        self.settle()?;
        let membership = &self.world.model.membership;
        let standard = bincode::config::standard();
        let encoded = bincode::serde::encode_to_vec(membership, standard);
        Ok(Round {
            seats: membership.seats.len(),
            bytes: encoded.map_err(|error| error.to_string())?.len(),
            admission,
        })
    }

    /// A host that was never used, or one that was removed and returns with its disk.
    fn next_successor(&mut self) -> usize {
        let removed = self.departed.iter().position(|&(host, _)| {
            let record = self.world.hosts[host].disk.vote;
            record.is_some_and(|record| self.world.model.membership.seat(record.member).is_none())
        });
        if let Some(position) = removed {
            return self.departed.remove(position).0;
        }
        self.next_host += 1;
        self.next_host - 1
    }

    fn stop(&mut self, host: usize) {
        self.world.stop(host, None);
        self.running.retain(|&running| running != host);
    }

    /// Starts a host, which knows the addresses of those that run, and returns the time until it
    /// has a seat. A former identity does not count.
    fn start(&mut self, host: usize) -> Result<Time, String> {
        self.world.settings.peers = self.running.iter().map(|&host| host as u32).collect();
        let begin = self.world.time;
        self.world.push(begin, ScheduledEvent::Start(host));
        self.running.push(host);
        let mut admission = None;
        while self.world.time < begin + CATCH_UP {
            self.world.run_for(20 * MS)?;
            if admission.is_none() && self.has_seat(host) {
                admission = Some(self.world.time - begin);
            }
        }
        admission.ok_or_else(|| {
            let seats = self.world.model.membership.seats.len();
            format!("host {host} has no seat after {CATCH_UP} us; {seats} seats are taken")
        })
    }

    fn has_seat(&self, host: usize) -> bool {
        let process = self.world.hosts[host].process.as_ref();
        let member = process.map(|process| process.node.member());
        let seat = |member: Member| self.world.model.membership.seat(member);
        member.is_some_and(|member| seat(member).is_some())
    }

    fn commit_command(&mut self) -> Result<(), String> {
        let before = self.world.counts.acknowledged;
        for _ in 0..200 {
            if let Some(leader) = self.world.leader_host() {
                self.world.next_command += 1;
                let token = self.world.next_command;
                let command = token.to_be_bytes().to_vec();
                self.world.step(leader, Event::Propose { token, command })?;
            }
            self.world.run_for(50 * MS)?;
            if self.world.counts.acknowledged > before {
                return Ok(());
            }
        }
        Err(format!("no command was committed: {}", self.world.dump()))
    }

    /// Waits until as many members that run have a vote as there should be, and nothing is in
    /// transit.
    fn settle(&mut self) -> Result<(), String> {
        let is_settled = |schedule: &Self| {
            let voters: Vec<Member> = schedule.world.model.membership.voters().collect();
            let runs = |voter: &Member| schedule.running.contains(&(voter.slot as usize));
            voters.len() == VOTERS
                && voters.iter().all(runs)
                && schedule.world.messages.iter().all(Option::is_none)
        };
        let begin = self.world.time;
        while !is_settled(self) {
            self.world.run_for(3 * MS)?;
            if self.world.time > begin + 12_000 * MS {
                return Err(format!("the voters don't settle: {}", self.world.dump()));
            }
        }
        Ok(())
    }
}

impl World {
    /// A cluster whose leader maintains the membership, with one seat more than hosts.
    pub(super) fn with_few_seats(seed: u64) -> Self {
        let mut world = Self::with_members(seed, VOTERS as u32, 2);
        world.settings = Settings {
            target_voters: Some(VOTERS),
            replace_after: Duration::from_secs(2),
            remove_after: Duration::from_secs(3),
            max_members: VOTERS + 3,
            join_interval: Settings::default().join_interval,
            ..world.settings
        };
        world
    }
}
