//! How the task performs the log's actions.

use std::sync::Arc;

use azurelug_coordination::raft::{
    self, Action, Entry, Event, Membership, Payload, Position, Refusal, Role, Snapshot, Standing,
};
use azurelug_core::gateway::orders::Orders;
use azurelug_core::machine::Command;
use azurelug_wire::codec;
use tokio::time::Instant;

use super::recovery::{decode_error, decode_machine};
use super::{Batch, Error, Task};
use crate::replica::ProposeError;

impl Task {
    pub(super) fn perform_action(
        &mut self,
        action: Action,
        following: &mut Batch,
    ) -> Result<(), Error> {
        match action {
            Action::Persist(_) | Action::Send(_) => {}
            Action::Proposed { token, position } => {
                if let Some(reply) = self.pending.remove(&token) {
                    self.appended.insert(position.index, (position.term, reply));
                }
            }
            Action::Refused { token, refusal } => {
                if matches!(refusal, Refusal::StateFull { .. }) {
                    self.metrics.count_state_full();
                    if self.growth_lines.is_due(Instant::now()) {
                        log::error!("control: command refused: {refusal}");
                    }
                }
                if let Some(reply) = self.pending.remove(&token) {
                    // The caller may have given up.
                    let _ = reply.send(Err(propose_error(refusal)));
                }
            }
            Action::RoleChanged { role, term, leader } => self.role_changed(role, term, leader),
            Action::Apply(entry) => self.apply(&entry, following)?,
            Action::Restore(snapshot) => self.restore(&snapshot)?,
            Action::TakeSnapshot { index } => self.take_snapshot(index, following)?,
            Action::LostQuorum {
                silence,
                stalled,
                limit,
            } => log::warn!(
                "control: no majority answered for {} ms (limit {} ms; in {} ms of them this member \
                 did not run or waited for its disk)",
                silence.as_millis(),
                limit.as_millis(),
                stalled.as_millis()
            ),
            Action::Fresh { as_of } => {
                self.fresh_as_of.send_replace(Some(as_of));
            }
            Action::JoinRefused(refused) => {
                if self.refusals.is_due(refused, Instant::now()) {
                    let joining = self.peers.slot_name(refused.slot);
                    let by = self.peers.member_name(refused.by);
                    let reason = refused.refusal;
                    log::warn!("control: {joining} was not admitted by {by}: {reason}");
                }
            }
            Action::Removed { member } => {
                let member = self.peers.member_name(member);
                log::warn!(
                    "control: the seat of {member} was given up while it was silent; it joins anew"
                );
            }
            Action::Rejected { from, fault } => {
                log::warn!("control: message of member {from} refused: {fault}");
            }
        }
        Ok(())
    }

    fn role_changed(&mut self, role: Role, term: u64, leader: Option<raft::Member>) {
        self.role = role;
        let name = |leader| self.peers.member_name(leader);
        let leader = leader.map_or_else(|| "none".to_owned(), name);
        log::info!("control: {role:?} in term {term}, leader {leader}");
        if role != Role::Leader {
            for (_, (_, reply)) in std::mem::take(&mut self.appended) {
                let _ = reply.send(Err(ProposeError::Lost));
            }
        }
    }

    fn apply(&mut self, entry: &Entry, following: &mut Batch) -> Result<(), Error> {
        let Position { term, index } = entry.position;
        if let Payload::Membership(membership) = &entry.payload {
            self.log_membership(index, membership);
        }
        if let Payload::Command(command) = &entry.payload {
            let command: Command = codec::decode(command).map_err(decode_error)?;
            let outcome = {
                let mut machine = self.machine.write().expect("no holder of the lock panics");
                let outcome = machine.apply(command);
                let config = machine.store().config();
                if config.version > self.config.borrow().version {
                    self.config.send_replace(Arc::clone(config));
                }
                self.publish(machine.orders());
                outcome
            };
            if let Some((appended_term, reply)) = self.appended.remove(&index) {
                let result = if appended_term == term {
                    Ok(outcome)
                } else {
                    Err(ProposeError::Lost)
                };
                let _ = reply.send(result);
            }
        }
        if !self.has_snapshot {
            // Stores the founding members on the disk; until now they came from the settings.
            self.take_snapshot(index, following)?;
        }
        Ok(())
    }

    fn log_membership(&self, index: u64, membership: &Membership) {
        let names = |seats: &mut dyn Iterator<Item = raft::Member>| {
            let names: Vec<String> = seats.map(|it| self.peers.member_name(it)).collect();
            names.join(", ")
        };
        let voters = names(&mut membership.voters());
        let seats = membership.seats.iter();
        let others = seats.filter(|seat| seat.standing != Standing::Voter);
        let learners = names(&mut others.map(|seat| seat.member));
        log::info!("control: members since entry {index}: voters {voters}; learners {learners}");
        let seats = membership.seats.iter();
        let slots: Vec<u32> = seats.map(|seat| seat.member.slot).collect();
        self.peers.keep(&slots);
    }

    fn publish(&self, orders: &Orders) {
        let is_newer = |known: &mut Orders| {
            let is_newer = orders.sequence() > known.sequence();
            if is_newer {
                *known = orders.clone();
            }
            is_newer
        };
        self.orders.send_if_modified(is_newer);
    }

    fn take_snapshot(&mut self, index: u64, following: &mut Batch) -> Result<(), Error> {
        let state = self
            .machine
            .read()
            .expect("no holder of the lock panics")
            .snapshot();
        let data = codec::encode_unlimited(&state).map_err(decode_error)?;
        self.has_snapshot = true;
        self.metrics.set_state_bytes(data.len());
        self.step(
            Event::SnapshotTaken {
                index,
                data: Arc::from(data),
            },
            following,
        );
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let restored = decode_machine(&snapshot.data)?;
        let config = Arc::clone(restored.store().config());
        self.publish(restored.orders());
        *self.machine.write().expect("no holder of the lock panics") = restored;
        self.has_snapshot = true;
        self.metrics.set_state_bytes(snapshot.data.len());
        if config.version > self.config.borrow().version {
            self.config.send_replace(config);
        }
        Ok(())
    }
}

fn propose_error(refusal: Refusal) -> ProposeError {
    match refusal {
        Refusal::NotLeader { leader } => ProposeError::NotLeader(leader.map(|leader| leader.slot)),
        Refusal::StateFull { size, limit } => ProposeError::StateFull {
            size: size as u64,
            limit: limit as u64,
        },
        _ => ProposeError::Busy,
    }
}
