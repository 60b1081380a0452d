//! The log entries kept in memory, from a base position that a snapshot covers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::member::Membership;

/// Position of an entry: its index and the term of the leader that wrote it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Term of the leader that wrote the entry. First, so that positions compare by recency.
    pub term: u64,
    /// Index in the log, counted from 1.
    pub index: u64,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Written by each new leader, so that it can commit an entry of its own term.
    Empty,
    /// Command for the caller's state machine; opaque to this module.
    Command(Vec<u8>),
    /// Membership in force from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index and term.
    pub position: Position,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate encoded size in bytes, used for every byte limit.
    #[must_use]
    pub fn size(&self) -> usize {
        32 + match &self.payload {
            Payload::Empty => 0,
            Payload::Command(command) => command.len(),
            Payload::Membership(membership) => {
                32 * membership.seats.len() + 16 * membership.incarnations.len()
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    pub(super) fn new(base: Position) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    pub(super) fn base(&self) -> Position {
        self.base
    }

    pub(super) fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term at `index`; `None` below the base and above the last entry.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Whether the log holds an entry at exactly this position.
    pub(super) fn contains(&self, position: Position) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Last position at or below `limit.index` whose term is at most `limit.term`, or the base.
    pub(super) fn backtrack(&self, limit: Position) -> Position {
        let mut index = limit.index.min(self.last().index);
        while index > self.base.index {
            match self.term_at(index) {
                Some(term) if term <= limit.term => return Position { term, index },
                _ => index -= 1,
            }
        }
        self.base
    }

    /// Entries from index `from` on, within both limits, but at least one if there is any.
    pub(super) fn batch(&self, from: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.size();
            if batch.len() >= max_entries || (bytes > max_bytes && !batch.is_empty()) {
                break;
            }
            batch.push(entry.clone());
            index += 1;
        }
        batch
    }

    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes every entry at `from` and above.
    pub(super) fn truncate(&mut self, from: u64) {
        while self.last().index >= from {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= entry.size();
        }
    }

    /// The lowest index such that the entries above it, up to `last`, have at most `bytes`.
    pub(super) fn oldest_within(&self, last: u64, bytes: usize) -> u64 {
        let mut index = last;
        let mut size = 0;
        while let Some(entry) = self.get(index) {
            size += entry.size();
            if size > bytes {
                break;
            }
            index -= 1;
        }
        index
    }

    /// Size of the entries above `index`.
    pub(super) fn bytes_above(&self, index: u64) -> usize {
        let newest = self.entries.iter().rev();
        let above = newest.take_while(|entry| entry.position.index > index);
        above.map(Entry::size).sum()
    }

    /// Removes every entry at `through` and below.
    pub(super) fn compact(&mut self, through: u64) {
        while self.base.index < through {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry.size();
            self.base = entry.position;
        }
    }
}
