//! Encoding of records `len u32 | crc32 u32 | generation u64 | index u64 | payload`.

use super::{Entry, MAX_ENTRY_LEN, RECORD_HEADER_LEN};

const ENTRY: u8 = 1;
const TRUNCATION: u8 = 2;
const SYNC_MARK: u8 = 3;
/// Length of kind byte and term, in bytes.
const ENTRY_PREFIX_LEN: usize = 9;
/// Length of kind byte and offset, in bytes.
const SYNC_MARK_PAYLOAD_LEN: usize = 9;

/// Kind of a record, with its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordKind<'a> {
    /// An entry of the log.
    Entry {
        /// Raft term of the entry.
        term: u64,
        /// Content of the entry.
        payload: &'a [u8],
    },
    /// Removal of all entries from the record's index on.
    Truncation,
    /// Confirmation that all bytes of the segment before this record were synced.
    SyncMark {
        /// Offset of this record in its segment, in bytes.
        offset: u64,
    },
}

/// One decoded record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record<'a> {
    /// Generation of the writer that appended the record.
    pub generation: u64,
    /// Index of the entry, first removed index at a truncation, or last index at a mark.
    pub index: u64,
    /// Kind and content of the record.
    pub kind: RecordKind<'a>,
    /// Length of the whole record, in bytes.
    pub len: usize,
}

/// Length of the record for an entry with a payload of this length, in bytes.
#[must_use]
pub fn entry_len(payload: usize) -> usize {
    RECORD_HEADER_LEN + ENTRY_PREFIX_LEN + payload
}

/// Appends the record of an entry, whose payload must be at most [`MAX_ENTRY_LEN`] bytes long.
pub fn encode_entry(out: &mut Vec<u8>, generation: u64, entry: &Entry) {
    let term = entry.term.to_le_bytes();
    encode(
        out,
        generation,
        entry.index,
        &[&[ENTRY], &term, &entry.payload],
    );
}

/// Appends a record that removes all entries from `index` on.
pub fn encode_truncation(out: &mut Vec<u8>, generation: u64, index: u64) {
    encode(out, generation, index, &[&[TRUNCATION]]);
}

/// Appends a mark with the offset at which the caller will store it.
pub fn encode_sync_mark(out: &mut Vec<u8>, generation: u64, last_index: u64, offset: u64) {
    encode(
        out,
        generation,
        last_index,
        &[&[SYNC_MARK], &offset.to_le_bytes()],
    );
}

fn encode(out: &mut Vec<u8>, generation: u64, index: u64, parts: &[&[u8]]) {
    let len: usize = parts.iter().map(|part| part.len()).sum();
    let len = u32::try_from(len).expect("the caller checked the payload against MAX_ENTRY_LEN");
    let start = out.len();
    out.extend_from_slice(&len.to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&generation.to_le_bytes());
    out.extend_from_slice(&index.to_le_bytes());
    for part in parts {
        out.extend_from_slice(part);
    }
    let crc = checksum(&out[start..]);
    out[start + 4..start + 8].copy_from_slice(&crc.to_le_bytes());
}

/// Checksum over all bytes of a record except the checksum field.
fn checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[..4]);
    hasher.update(&record[8..]);
    hasher.finalize()
}

impl<'a> Record<'a> {
    /// Decodes the record at the start of `bytes`.
    ///
    /// # Errors
    /// The reason why the bytes are not a valid record.
    pub fn decode(bytes: &'a [u8]) -> Result<Self, &'static str> {
        if bytes.len() < RECORD_HEADER_LEN {
            return Err("the record header is incomplete");
        }
        let payload_len = u32_at(bytes, 0) as usize;
        if payload_len == 0 || payload_len > MAX_ENTRY_LEN + ENTRY_PREFIX_LEN {
            return Err("the record length is out of range");
        }
        let len = RECORD_HEADER_LEN + payload_len;
        let Some(record) = bytes.get(..len) else {
            return Err("the record is incomplete");
        };
        if checksum(record) != u32_at(record, 4) {
            return Err("the record checksum does not match");
        }
        let payload = &record[RECORD_HEADER_LEN..];
        let kind = match (payload[0], payload_len) {
            (ENTRY, ENTRY_PREFIX_LEN..) => RecordKind::Entry {
                term: u64_at(payload, 1),
                payload: &payload[ENTRY_PREFIX_LEN..],
            },
            (TRUNCATION, 1) => RecordKind::Truncation,
            (SYNC_MARK, SYNC_MARK_PAYLOAD_LEN) => RecordKind::SyncMark {
                offset: u64_at(payload, 1),
            },
            _ => return Err("the record kind is unknown"),
        };
        Ok(Self {
            generation: u64_at(record, 8),
            index: u64_at(record, 16),
            kind,
            len,
        })
    }

    /// Offset of the first valid mark of this generation at or after `from`.
    pub(crate) fn find_sync_mark(bytes: &[u8], from: usize, generation: u64) -> Option<usize> {
        let len = RECORD_HEADER_LEN + SYNC_MARK_PAYLOAD_LEN;
        let last = bytes.len().checked_sub(len)?;
        (from..=last).find(|&at| {
            let bytes = &bytes[at..at + len];
            u32_at(bytes, 0) as usize == SYNC_MARK_PAYLOAD_LEN
                && u64_at(bytes, 8) == generation
                && matches!(
                    Record::decode(bytes),
                    Ok(Record { kind: RecordKind::SyncMark { offset }, .. }) if offset == at as u64
                )
        })
    }
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(
        bytes[at..at + 4]
            .try_into()
            .expect("the slice has four bytes"),
    )
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(
        bytes[at..at + 8]
            .try_into()
            .expect("the slice has eight bytes"),
    )
}
