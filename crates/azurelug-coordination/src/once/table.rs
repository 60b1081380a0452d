use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{Answer, Claim, Command, Key, Outcome};

/// Limits of a table. All replicas must use the same values; they are part of
/// the snapshot, so that a restored replica cannot differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of records.
    pub records: u64,
    /// Maximum size in bytes, counted as [`Table::RECORD_BYTES`] for each record
    /// plus its body. An open claim counts with the longest body.
    pub bytes: u64,
    /// Longest body that is stored whole; of a longer one, the digest is stored.
    pub answer_bytes: u64,
    /// Longest time to the deadline of a claim; a longer one is reduced to it.
    pub deadline_ms: u64,
    /// Time from a call's deadline until its open claim becomes unknown.
    pub grace_ms: u64,
    /// Time for which records are kept.
    pub retention_ms: u64,
    /// Time for which records are kept even when the table is full. After it, a
    /// full table removes its oldest ended records before it refuses a claim.
    pub full_retention_ms: u64,
    /// How far a key's time may be ahead of the table's time.
    pub future_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 100_000,
            bytes: 64 << 20,
            answer_bytes: 4 << 10,
            deadline_ms: 12_000,
            grace_ms: 5_000,
            retention_ms: 24 * 60 * 60 * 1_000,
            // Many times longer than callers resend a key. With it, 100,000 records
            // are enough for 166 calls per second.
            full_retention_ms: 10 * 60 * 1_000,
            future_ms: 60_000,
        }
    }
}

/// The replicated table of claims and results.
///
/// Two tables that applied the same commands are equal, and so are their
/// snapshots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    limits: Limits,
    now_ms: u64,
    watermark_ms: u64,
    last_number: u64,
    /// Ordered by key first, and therefore by the key's time.
    records: BTreeMap<(Key, u64), Record>,
    /// Open and released claims, by the time at which they end.
    #[serde(skip)]
    due: BTreeSet<(u64, Key, u64)>,
    #[serde(skip)]
    bytes: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    number: u64,
    claimant: u128,
    fingerprint: u128,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Claimed {
        due_ms: u64,
    },
    Recorded {
        answer: Answer,
    },
    /// Kept until the claim's end, so that a late copy of the claim command
    /// cannot claim the key again for a request that has ended.
    Released {
        due_ms: u64,
    },
    Unknown,
}

/// Why a snapshot cannot be restored.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// The bytes cannot be decoded.
    #[error("the snapshot of the at-most-once records cannot be decoded; fetch it again: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// There are extra bytes after the table.
    #[error("the snapshot of the at-most-once records has {0} extra bytes; fetch it again")]
    Trailing(usize),
}

impl Record {
    fn bytes(&self, limits: &Limits) -> u64 {
        Table::RECORD_BYTES
            + match &self.state {
                State::Claimed { .. } => limits.answer_bytes,
                State::Recorded { answer } => answer.heap_bytes(),
                State::Released { .. } | State::Unknown => 0,
            }
    }

    fn due_ms(&self) -> Option<u64> {
        match self.state {
            State::Claimed { due_ms } | State::Released { due_ms } => Some(due_ms),
            State::Recorded { .. } | State::Unknown => None,
        }
    }
}

impl Table {
    /// Bytes counted for a record without its body, including map overhead.
    /// The example `coordination_cost` compares it with the measured size.
    pub const RECORD_BYTES: u64 = 256;

    /// Records that a full table removes for one claim, which bounds the cost of a claim.
    const MAX_EVICTIONS_PER_CLAIM: usize = 64;

    /// An empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            now_ms: 0,
            watermark_ms: 0,
            last_number: 0,
            records: BTreeMap::new(),
            due: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Claim {
                account,
                key,
                fingerprint,
                claimant,
                now_ms,
                deadline_ms,
            } => {
                self.advance(now_ms);
                let due_ms = self.now_ms.saturating_add(
                    deadline_ms.min(self.limits.deadline_ms) + self.limits.grace_ms,
                );
                self.claim((key, account), fingerprint, claimant, due_ms)
            }
            Command::Record { claim, answer } => self.record(claim, answer),
            Command::Release { claim } => self.release(claim),
            Command::Expire { now_ms } => {
                self.advance(now_ms);
                self.expire()
            }
        }
    }

    /// Number of records, including released and unknown ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table holds no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether there is a record of this key of an account. A claim of it adds no record.
    pub fn holds(&self, key: Key, account: u64) -> bool {
        self.records.contains_key(&(key, account))
    }

    /// Bytes counted against [`Limits::bytes`].
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Keys with an earlier time are refused, unless their claim is still open.
    pub fn watermark_ms(&self) -> u64 {
        self.watermark_ms
    }

    /// The time at which the next claim ends, on the leader's wall clock, for
    /// scheduling a [`Command::Expire`].
    pub fn next_due_ms(&self) -> Option<u64> {
        self.due.first().map(|&(due_ms, _, _)| due_ms)
    }

    /// The encoded table.
    pub fn snapshot(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("a table has no type that bincode cannot encode")
    }

    /// Decodes the bytes of [`Table::snapshot`] into an equal table.
    pub fn restore(snapshot: &[u8]) -> Result<Self, RestoreError> {
        let (mut table, used): (Self, usize) =
            bincode::serde::decode_from_slice(snapshot, bincode::config::standard())?;
        if used != snapshot.len() {
            return Err(RestoreError::Trailing(snapshot.len() - used));
        }
        table.due = table
            .records
            .iter()
            .filter_map(|(&(key, account), record)| Some((record.due_ms()?, key, account)))
            .collect();
        table.bytes = table
            .records
            .values()
            .map(|record| record.bytes(&table.limits))
            .sum();
        Ok(table)
    }

    /// Never moves the time back: a new leader's wall clock may be behind that of
    /// the old one.
    fn advance(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    fn claim(&mut self, id: (Key, u64), fingerprint: u128, claimant: u128, due_ms: u64) -> Outcome {
        // The record is looked up before the watermark is checked, because an
        // open claim outlives the watermark.
        if let Some(record) = self.records.get(&id) {
            if record.fingerprint != fingerprint {
                return Outcome::Conflict;
            }
            let is_same_claimant = record.claimant == claimant;
            match &record.state {
                State::Claimed { .. } if is_same_claimant => {
                    let claim = Claim {
                        account: id.1,
                        key: id.0,
                        number: record.number,
                    };
                    return Outcome::Claimed { claim };
                }
                State::Claimed { due_ms } => {
                    return Outcome::InProgress {
                        retry_after_ms: due_ms.saturating_sub(self.now_ms),
                    };
                }
                State::Recorded { answer } => {
                    return Outcome::Recorded {
                        answer: answer.clone(),
                    };
                }
                State::Unknown => return Outcome::Unknown,
                // A late copy of the command whose claim was released. Its claimant
                // has already answered, and another claimant may claim at once.
                State::Released { .. } if is_same_claimant => {
                    return Outcome::InProgress { retry_after_ms: 0 };
                }
                State::Released { .. } => {}
            }
        }
        if id.0.time_ms() < self.watermark_ms {
            return Outcome::Expired;
        }
        if id.0.time_ms() > self.now_ms.saturating_add(self.limits.future_ms) {
            return Outcome::FromFuture;
        }
        let record = Record {
            number: self.last_number + 1,
            claimant,
            fingerprint,
            state: State::Claimed { due_ms },
        };
        if !self.has_room(id, &record) {
            self.evict_oldest();
            if id.0.time_ms() < self.watermark_ms {
                return Outcome::Expired;
            }
            if !self.has_room(id, &record) {
                return Outcome::Full;
            }
        }
        self.last_number += 1;
        let claim = Claim {
            account: id.1,
            key: id.0,
            number: record.number,
        };
        self.remove(id);
        self.insert(id, record);
        Outcome::Claimed { claim }
    }

    fn has_room(&self, id: (Key, u64), record: &Record) -> bool {
        let replaced = self
            .records
            .get(&id)
            .map_or(0, |old| old.bytes(&self.limits));
        let bytes = self.bytes - replaced + record.bytes(&self.limits);
        let records = self.records.len() as u64 + u64::from(replaced == 0);
        records <= self.limits.records && bytes <= self.limits.bytes
    }

    /// Removes some of the oldest ended records. The watermark rises above their keys, so that they
    /// are refused from then on and never treated as new.
    fn evict_oldest(&mut self) {
        let end_ms = self.now_ms.saturating_sub(self.limits.full_retention_ms);
        let last = self
            .records
            .iter()
            .filter(|(_, record)| !matches!(record.state, State::Claimed { .. }))
            .map(|((key, _), _)| key.time_ms())
            .take(Self::MAX_EVICTIONS_PER_CLAIM)
            .take_while(|time_ms| *time_ms < end_ms)
            .last();
        if let Some(time_ms) = last {
            self.watermark_ms = self.watermark_ms.max(time_ms + 1);
            self.remove_ended();
        }
    }

    /// Removes ended records below the watermark; returns how many.
    fn remove_ended(&mut self) -> u64 {
        let end = (Key::lower_bound(self.watermark_ms), 0);
        let ended: Vec<_> = self
            .records
            .range(..end)
            .filter(|(_, record)| !matches!(record.state, State::Claimed { .. }))
            .map(|(&id, _)| id)
            .collect();
        let forgotten = ended.len() as u64;
        for id in ended {
            self.remove(id);
        }
        forgotten
    }

    fn record(&mut self, claim: Claim, answer: Answer) -> Outcome {
        let id = (claim.key, claim.account);
        let Some(record) = self
            .records
            .get(&id)
            .filter(|record| record.number == claim.number)
        else {
            return Outcome::Stale;
        };
        match &record.state {
            State::Recorded { answer } => {
                return Outcome::Recorded {
                    answer: answer.clone(),
                };
            }
            State::Released { .. } => return Outcome::Stale,
            State::Claimed { .. } | State::Unknown => {}
        }
        // Space for the body is reserved for an open claim, but not for a late
        // record of an unknown key: in a full table, only its digest is stored.
        let free_bytes = self
            .limits
            .bytes
            .saturating_sub(self.bytes - record.bytes(&self.limits));
        let max_body_bytes = free_bytes
            .saturating_sub(Self::RECORD_BYTES)
            .min(self.limits.answer_bytes);
        let answer =
            answer.with_digest_above(usize::try_from(max_body_bytes).unwrap_or(usize::MAX));
        self.replace_state(
            id,
            State::Recorded {
                answer: answer.clone(),
            },
        );
        Outcome::Recorded { answer }
    }

    fn release(&mut self, claim: Claim) -> Outcome {
        let id = (claim.key, claim.account);
        let Some(record) = self
            .records
            .get(&id)
            .filter(|record| record.number == claim.number)
        else {
            return Outcome::Stale;
        };
        match record.state {
            State::Claimed { due_ms } => {
                self.replace_state(id, State::Released { due_ms });
                Outcome::Released
            }
            // Only the claimant could have sent the call, so its release is also
            // valid for a key that became unknown.
            State::Unknown => {
                self.replace_state(
                    id,
                    State::Released {
                        due_ms: self.now_ms,
                    },
                );
                Outcome::Released
            }
            State::Released { .. } => Outcome::Released,
            State::Recorded { .. } => Outcome::Stale,
        }
    }

    fn expire(&mut self) -> Outcome {
        let (mut unknown, mut forgotten) = (0, 0);
        while let Some(&(due_ms, key, account)) = self.due.first() {
            if due_ms > self.now_ms {
                break;
            }
            let id = (key, account);
            if matches!(self.records[&id].state, State::Released { .. }) {
                self.remove(id);
                forgotten += 1;
            } else {
                self.replace_state(id, State::Unknown);
                unknown += 1;
            }
        }
        self.watermark_ms = self
            .watermark_ms
            .max(self.now_ms.saturating_sub(self.limits.retention_ms));
        forgotten += self.remove_ended();
        Outcome::Advanced { unknown, forgotten }
    }

    fn replace_state(&mut self, id: (Key, u64), state: State) {
        if let Some(mut record) = self.remove(id) {
            record.state = state;
            self.insert(id, record);
        }
    }

    fn insert(&mut self, id: (Key, u64), record: Record) {
        self.bytes += record.bytes(&self.limits);
        if let Some(due_ms) = record.due_ms() {
            self.due.insert((due_ms, id.0, id.1));
        }
        self.records.insert(id, record);
    }

    fn remove(&mut self, id: (Key, u64)) -> Option<Record> {
        let record = self.records.remove(&id)?;
        self.bytes -= record.bytes(&self.limits);
        if let Some(due_ms) = record.due_ms() {
            self.due.remove(&(due_ms, id.0, id.1));
        }
        Some(record)
    }
}
