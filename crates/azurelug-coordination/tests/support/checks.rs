//! Checks of the actions of simulated processes against the model.

use azurelug_coordination::raft::{Action, Event, Payload, Role, Write};
use rand::RngExt;

use super::World;

impl World {
    /// Records memberships that some members may not have received yet.
    pub(super) fn record_memberships(&mut self, write: &Write) {
        let Write::Append(entries) = write else {
            return;
        };
        let committed = self.model.membership_index;
        self.proposed_memberships
            .retain(|(index, _)| *index > committed);
        for entry in entries {
            if let Payload::Membership(membership) = &entry.payload {
                self.proposed_memberships
                    .push((entry.position.index, membership.clone()));
            }
        }
    }

    /// Checks an action of a process against the model.
    pub(super) fn check_action(&mut self, host: usize, action: Action) -> Result<(), String> {
        let run = self.hosts[host].runs;
        let Some(process) = &mut self.hosts[host].process else {
            return Ok(());
        };
        match action {
            Action::Apply(entry) => {
                self.model.apply(&mut process.machine, &entry)?;
                let proposed = process.proposals.remove(&entry.position.index);
                if let Some((term, command)) = proposed
                    && term == entry.position.term
                {
                    if entry.payload != Payload::Command(command) {
                        return Err(format!("a different command at {:?}", entry.position));
                    }
                    self.counts.acknowledged += 1;
                    self.model
                        .record_acknowledgement(self.time, entry.position.index);
                }
            }
            Action::Removed { member } => {
                self.counts.removed_members += 1;
                if self.model.membership.seat(member).is_some() {
                    return Err(format!(
                        "{member} has a seat, but was told that it has none"
                    ));
                }
            }
            Action::JoinRefused(_) => self.counts.refused_joins += 1,
            Action::Restore(snapshot) => {
                self.model.check_snapshot(&snapshot)?;
                process.machine.restore(&snapshot);
                self.counts.restored_snapshots += 1;
            }
            Action::Fresh { as_of } => {
                self.counts.fresh_reads += 1;
                self.model
                    .check_fresh(process.machine.applied, process.real_time(as_of))?;
            }
            Action::RoleChanged {
                role: Role::Leader,
                term,
                ..
            } => {
                self.counts.elections += 1;
                self.model.record_leader(term, process.node.member(), run)?;
            }
            Action::TakeSnapshot { index } => {
                let applied = process.machine.applied;
                if index != applied {
                    return Err(format!(
                        "a snapshot was requested at index {index}, but the applied index is {applied}"
                    ));
                }
                let data = process.machine.encode().into();
                if self.random.random_bool(0.9) {
                    self.step(host, Event::SnapshotTaken { index, data })?;
                }
            }
            // Token 0 marks membership changes.
            Action::Proposed { token, position } if token > 0 => {
                let proposal = (position.term, token.to_be_bytes().to_vec());
                process.proposals.insert(position.index, proposal);
            }
            _ => {}
        }
        Ok(())
    }
}
