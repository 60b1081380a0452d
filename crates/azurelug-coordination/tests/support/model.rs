//! The reference model of the log: a single list of entries that every process must agree with.

use std::collections::{BTreeMap, BTreeSet};

use azurelug_coordination::raft::{Entry, Member, Membership, Payload, Snapshot};

#[derive(Debug)]
pub(crate) struct Model {
    pub(crate) entries: Vec<Entry>,
    pub(crate) membership: Membership,
    pub(crate) membership_index: u64,
    /// Every member that has ever had a seat.
    pub(crate) seated: BTreeSet<Member>,
    leaders: BTreeMap<u64, (Member, u64)>,
    /// Time and highest index of each acknowledgement that raised the index.
    acknowledged: Vec<(u64, u64)>,
}

/// State machine of one simulated process: the commands in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct StateMachine {
    pub(crate) applied: u64,
    commands: Vec<u8>,
}

impl StateMachine {
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        self.applied = snapshot.position.index;
        self.commands = snapshot.data.to_vec();
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        self.commands.clone()
    }
}

impl Model {
    pub(crate) fn new(slots: &[u32]) -> Self {
        Self {
            entries: Vec::new(),
            membership: Membership::initial(slots),
            membership_index: 0,
            seated: members(&Membership::initial(slots)).collect(),
            leaders: BTreeMap::new(),
            acknowledged: Vec::new(),
        }
    }

    pub(crate) fn last(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Records that a process applies `entry`. The first process that applies an index decides its
    /// entry; all others must apply the same one.
    pub(crate) fn apply(
        &mut self,
        machine: &mut StateMachine,
        entry: &Entry,
    ) -> Result<(), String> {
        let index = entry.position.index;
        if index != machine.applied + 1 {
            return Err(format!(
                "index {index} was applied after index {}",
                machine.applied
            ));
        }
        match self.entries.get(machine.applied as usize) {
            Some(decided) if decided != entry => {
                return Err(format!(
                    "two entries at index {index}: {decided:?} and {entry:?}"
                ));
            }
            Some(_) => {}
            None => {
                if let Payload::Membership(membership) = &entry.payload {
                    self.check_identities(membership)?;
                    self.membership = membership.clone();
                    self.membership_index = index;
                }
                self.entries.push(entry.clone());
            }
        }
        machine.applied = index;
        if let Payload::Command(command) = &entry.payload {
            machine.commands.extend_from_slice(command);
        }
        Ok(())
    }

    /// Checks that no identity is given out twice: a member without a seat never has one again.
    fn check_identities(&mut self, next: &Membership) -> Result<(), String> {
        for member in members(next) {
            if self.membership.seat(member).is_none() && !self.seated.insert(member) {
                return Err(format!("the identity {member} was assigned twice"));
            }
        }
        Ok(())
    }

    pub(crate) fn check_snapshot(&self, snapshot: &Snapshot) -> Result<(), String> {
        let index = snapshot.position.index as usize;
        let Some(covered) = self.entries.get(..index) else {
            return Err(format!(
                "restored index {index}, only {} are committed",
                self.last()
            ));
        };
        let mut expected = Vec::new();
        for entry in covered {
            if let Payload::Command(command) = &entry.payload {
                expected.extend_from_slice(command);
            }
        }
        if covered
            .last()
            .is_some_and(|last| last.position != snapshot.position)
            || expected[..] != snapshot.data[..]
        {
            return Err(format!(
                "the snapshot at {:?} has {} bytes, the model has {} at {:?}",
                snapshot.position,
                snapshot.data.len(),
                expected.len(),
                covered.last().map(|last| last.position),
            ));
        }
        Ok(())
    }

    pub(crate) fn record_leader(
        &mut self,
        term: u64,
        member: Member,
        run: u64,
    ) -> Result<(), String> {
        let known = *self.leaders.entry(term).or_insert((member, run));
        if known == (member, run) {
            Ok(())
        } else {
            Err(format!(
                "two leaders in term {term}: {} and {member}",
                known.0
            ))
        }
    }

    pub(crate) fn record_acknowledgement(&mut self, time: u64, index: u64) {
        if self
            .acknowledged
            .last()
            .is_none_or(|(_, highest)| index > *highest)
        {
            self.acknowledged.push((time, index));
        }
    }

    /// Checks a process that has applied `applied` entries and reports its state as fresh as of
    /// `as_of`.
    pub(crate) fn check_fresh(&self, applied: u64, as_of: u64) -> Result<(), String> {
        let earlier = self.acknowledged.partition_point(|(time, _)| *time < as_of);
        match self.acknowledged[..earlier].last() {
            Some((time, index)) if *index > applied => Err(format!(
                "stale read: index {index} was acknowledged at {time} us, a probe sent at \
                 {as_of} us confirmed a state of index {applied} as fresh"
            )),
            _ => Ok(()),
        }
    }
}

fn members(membership: &Membership) -> impl Iterator<Item = Member> + '_ {
    membership.seats.iter().map(|seat| seat.member)
}
