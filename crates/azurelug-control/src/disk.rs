//! Stores the replicated log's writes in the data folder.

use std::path::PathBuf;
use std::sync::Arc;

use azurelug_coordination::journal;
use azurelug_coordination::raft::{
    Entry, Member, Membership, Payload, Position, RecoveredState, Snapshot, VoteRecord, Write,
};
use azurelug_storage::{Files, Store};
use azurelug_wire::codec;
use serde::{Deserialize, Serialize};

use crate::internal::wall_clock_ms;

/// Why the durable state can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The data folder is damaged or can't be accessed.
    #[error(transparent)]
    Storage(#[from] azurelug_storage::Error),
    /// A record can't be decoded.
    #[error(
        "the data folder holds a record of another release: {0}; run the release that wrote it"
    )]
    Decode(#[from] azurelug_wire::Error),
}

impl Error {
    /// Whether the disk had no room for a write, so that the folder can be opened again later.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Storage(error) if error.is_full())
    }

    /// Whether the content of the disk is unknown, so that the folder must not be used again.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        use azurelug_storage::Error::{EarlierSyncFailed, Sync};
        matches!(self, Self::Storage(Sync { .. } | EarlierSyncFailed { .. }))
    }
}

/// The data folder of a member, and the member's identity in its cluster.
#[derive(Clone)]
pub struct DataFolder {
    /// The folder.
    pub folder: PathBuf,
    /// The cluster's number.
    pub cluster: u128,
    /// The member's slot.
    pub slot: u32,
    /// Slots of the founding members.
    pub founders: Vec<u32>,
    /// Random id of the storage of a member that is founded on an empty folder.
    pub storage: u64,
    /// Access to the file system; tests inject failures.
    pub files: Arc<dyn Fn() -> Files + Send + Sync>,
}

/// A snapshot's content on disk.
#[derive(Serialize, Deserialize)]
struct Content {
    membership: Membership,
    data: Vec<u8>,
}

/// The start of a process on one data folder.
#[derive(Clone, Copy, Debug)]
pub struct Generation {
    /// Higher than at each earlier start of this slot, also on a disk that was replaced.
    pub number: u64,
    /// Whether a founding member starts for the first time, so that no lease of an earlier start
    /// exists.
    pub is_first: bool,
}

/// The open data folder of one member.
pub struct Disk {
    is_first: bool,
    store: Store,
    hard_state: journal::HardState,
}

impl Disk {
    /// Opens the folder and reads the state from which the replicated log starts. With an empty
    /// folder, the member has no identity, or is a founding member if `initialize` is set.
    ///
    /// # Errors
    /// The folder is in use, damaged, not accessible, or belongs to another cluster.
    pub fn open(
        data_folder: &DataFolder,
        initialize: bool,
    ) -> Result<(Self, RecoveredState), Error> {
        let &DataFolder {
            cluster,
            slot,
            storage,
            ..
        } = data_folder;
        let founders = &data_folder.founders;
        let (store, found) = Store::open(&data_folder.folder, cluster, (data_folder.files)())?;
        let mut disk = Self {
            is_first: false,
            store,
            hard_state: found.hard_state,
        };
        let mut recovered = RecoveredState::empty(cluster, slot);
        if found.hard_state.incarnation == 0 {
            if initialize {
                recovered = RecoveredState::initialize(cluster, slot, founders, storage);
                if let Some(vote) = recovered.vote {
                    disk.save_vote(&vote)?;
                    disk.is_first = true;
                }
            }
            return Ok((disk, recovered));
        }
        recovered.vote = Some(vote_record(cluster, &found.hard_state));
        recovered.snapshot = match found.snapshot {
            Some(snapshot) => Some(read_snapshot(&snapshot)?),
            // Founders have no snapshot on disk until the first entry is applied.
            None if found.hard_state.incarnation == 1 => {
                RecoveredState::initialize(cluster, slot, founders, storage).snapshot
            }
            None => None,
        };
        recovered.entries = found
            .entries
            .iter()
            .map(read_entry)
            .collect::<Result<_, _>>()?;
        Ok((disk, recovered))
    }

    /// Performs the writes in order and makes them durable with one sync.
    ///
    /// # Errors
    /// A write or the sync failed. No message that depends on the writes may be sent then.
    pub fn write(&mut self, writes: Vec<Write>) -> Result<(), Error> {
        for write in writes {
            match write {
                Write::Vote(record) => self.save_vote(&record)?,
                Write::Truncate { from } => self.store.truncate_from(from)?,
                Write::Append(entries) => {
                    let entries: Vec<_> =
                        entries.iter().map(write_entry).collect::<Result<_, _>>()?;
                    self.store.append(&entries)?;
                }
                Write::Snapshot(snapshot) => {
                    self.store.save_snapshot(&write_snapshot(&snapshot)?)?;
                }
            }
        }
        Ok(self.store.sync()?)
    }

    /// The start of this process. Its number is the wall-clock time, because a counter would begin
    /// at 1 again on a replaced disk. After the clock was set back, holders reject the answers of
    /// this start until the clock has caught up; they never regard them as newer than they are.
    pub fn generation(&self) -> Generation {
        Generation {
            number: wall_clock_ms(),
            is_first: self.is_first,
        }
    }

    /// Renames the folder after a failure, so that the member rejoins with an empty one.
    ///
    /// # Errors
    /// The folder can't be renamed.
    pub fn set_aside(self) -> Result<PathBuf, Error> {
        Ok(self.store.set_aside()?)
    }

    fn save_vote(&mut self, record: &VoteRecord) -> Result<(), Error> {
        self.hard_state = journal::HardState {
            term: record.term,
            vote: record.vote.map(|member| (member.slot, member.incarnation)),
            slot: record.member.slot,
            incarnation: record.member.incarnation,
            storage: record.storage,
            commit: self.hard_state.commit,
        };
        Ok(self.store.save_hard_state(self.hard_state)?)
    }
}

fn vote_record(cluster: u128, state: &journal::HardState) -> VoteRecord {
    let member = |slot: u32, incarnation| Member { slot, incarnation };
    VoteRecord {
        cluster,
        member: member(state.slot, state.incarnation),
        storage: state.storage,
        term: state.term,
        vote: state
            .vote
            .map(|(slot, incarnation)| member(slot, incarnation)),
    }
}

fn read_entry(entry: &journal::Entry) -> Result<Entry, Error> {
    let payload: Payload = codec::decode(&entry.payload)?;
    Ok(Entry {
        position: Position {
            term: entry.term,
            index: entry.index,
        },
        payload,
    })
}

fn write_entry(entry: &Entry) -> Result<journal::Entry, Error> {
    Ok(journal::Entry {
        index: entry.position.index,
        term: entry.position.term,
        payload: codec::encode(&entry.payload)?,
    })
}

fn read_snapshot(snapshot: &journal::Snapshot) -> Result<Snapshot, Error> {
    let content: Content = codec::decode_unlimited(&snapshot.payload)?;
    Ok(Snapshot {
        position: Position {
            term: snapshot.term,
            index: snapshot.index,
        },
        membership: content.membership,
        data: Arc::from(content.data),
    })
}

fn write_snapshot(snapshot: &Snapshot) -> Result<journal::Snapshot, Error> {
    let content = Content {
        membership: snapshot.membership.clone(),
        data: snapshot.data.to_vec(),
    };
    Ok(journal::Snapshot {
        index: snapshot.position.index,
        term: snapshot.position.term,
        payload: codec::encode_unlimited(&content)?,
    })
}
