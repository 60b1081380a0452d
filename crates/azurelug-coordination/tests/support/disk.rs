//! The durable state of one simulated host.

use azurelug_coordination::raft::{
    Entry, Membership, Payload, RecoveredState, Snapshot, VoteRecord, Write,
};

#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    pub(crate) vote: Option<VoteRecord>,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) entries: Vec<Entry>,
}

impl Disk {
    pub(crate) fn initialized(recovered: RecoveredState) -> Self {
        let RecoveredState {
            vote,
            snapshot,
            entries,
            ..
        } = recovered;
        Self {
            vote,
            snapshot,
            entries,
        }
    }

    pub(crate) fn recover(&self, cluster: u128, slot: u32) -> RecoveredState {
        let Self {
            vote,
            snapshot,
            entries,
        } = self.clone();
        RecoveredState {
            cluster,
            slot,
            vote,
            snapshot,
            entries,
        }
    }

    pub(crate) fn write(&mut self, write: Write) {
        match write {
            Write::Vote(record) => self.vote = Some(record),
            Write::Truncate { from } => self.entries.retain(|entry| entry.position.index < from),
            Write::Append(entries) => self.entries.extend(entries),
            Write::Snapshot(snapshot) => {
                // The entry at the position stays, so that recovery can compare its term.
                let index = snapshot.position.index;
                self.entries.retain(|entry| entry.position.index >= index);
                self.snapshot = Some(snapshot);
            }
        }
    }

    /// Appends only the first `entries` entries of a write, as after a crash during the write.
    pub(crate) fn write_torn(&mut self, write: Write, entries: usize) {
        if let Write::Append(mut added) = write {
            added.truncate(entries);
            self.entries.extend(added);
        }
    }

    /// Latest membership in the log, committed or not.
    pub(crate) fn membership(&self) -> Option<&Membership> {
        let logged = self.entries.iter().rev().find_map(|entry| {
            let Payload::Membership(membership) = &entry.payload else {
                return None;
            };
            Some(membership)
        });
        logged.or(self.snapshot.as_ref().map(|snapshot| &snapshot.membership))
    }
}
