//! Recovery scan over the content of all segments.

use super::record::{Record, RecordKind};
use super::{Entry, FormatError, LogTerms, Position, SEGMENT_HEADER_LEN, SegmentHeader};

/// A segment file as read from the disk.
#[derive(Debug, Clone)]
pub struct Segment {
    /// File name for error messages.
    pub file: String,
    /// Generation according to the file name.
    pub generation: u64,
    /// Whole content of the file.
    pub bytes: Vec<u8>,
}

/// Expectations on the journal that come from the settings, the hard state and the snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ScanContext {
    /// Cluster id that every header must contain.
    pub cluster: u128,
    /// Position from the hard state up to which the journal was synced.
    pub synced: Position,
    /// Highest committed index according to the hard state.
    pub commit: u64,
    /// Index and term of the newest snapshot.
    pub snapshot: Option<(u64, u64)>,
}

/// A torn tail to remove from the newest segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TornTail {
    /// Length to which the newest segment must be truncated, in bytes.
    pub offset: u64,
    /// Number of bytes after that length.
    pub bytes: u64,
    /// Why the record at `offset` is invalid.
    pub reason: &'static str,
}

/// Start of a segment in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentStart {
    /// Generation of the segment.
    pub generation: u64,
    /// Index of the last entry before the segment.
    pub last_index: u64,
}

/// The recovered log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Scan {
    /// Entries after the snapshot, in order.
    pub entries: Vec<Entry>,
    /// Indices and terms of `entries`.
    pub log_terms: LogTerms,
    /// Torn tail of the newest segment, if there is one.
    pub torn_tail: Option<TornTail>,
    /// End of the last valid record of the newest segment; generation 0 if there is no segment.
    pub end: Position,
    /// Segments that contain the log, oldest first.
    pub segments: Vec<SegmentStart>,
    /// Generations of older segments that the snapshot covers completely; they can be removed.
    pub obsolete: Vec<u64>,
}

/// Recovers the log from its segments, which must be in ascending order of generation.
///
/// # Errors
/// Synced bytes are damaged, a segment is missing, or a segment belongs to another cluster.
pub fn scan(segments: &[Segment], context: &ScanContext) -> Result<Scan, FormatError> {
    let mut scan = Scan::default();
    let (obsolete, segments) = segments.split_at(first_needed_segment(segments, context)?);
    scan.obsolete
        .extend(obsolete.iter().map(|segment| segment.generation));
    for (at, segment) in segments.iter().enumerate() {
        let newest = at + 1 == segments.len();
        scan.scan_segment(segment, newest, context)?;
    }
    if scan.end.generation < context.synced.generation {
        let file = segments.last().map_or("journal", |segment| &segment.file);
        let reason = format!(
            "the segment of generation {} is missing",
            context.synced.generation
        );
        return Err(FormatError::corrupt(file, scan.end.offset, reason));
    }
    scan.apply_snapshot(segments, context)?;
    Ok(scan)
}

/// Position in the slice of the newest segment whose start the snapshot covers. Older segments can
/// remain, with gaps between them, after a crash during their removal, and are not read.
fn first_needed_segment(segments: &[Segment], context: &ScanContext) -> Result<usize, FormatError> {
    let (index, _) = context.snapshot.unwrap_or_default();
    let mut start = 0;
    for (at, segment) in segments.iter().enumerate().rev() {
        start = SegmentHeader::decode(&segment.file, &segment.bytes, context.cluster)?.last_index;
        if start <= index {
            return Ok(at);
        }
    }
    let Some(oldest) = segments.first() else {
        return Ok(0);
    };
    let reason =
        format!("the log starts after entry {start}, but the snapshot ends at entry {index}");
    Err(FormatError::corrupt(&oldest.file, 0, reason))
}

impl Scan {
    fn scan_segment(
        &mut self,
        segment: &Segment,
        newest: bool,
        context: &ScanContext,
    ) -> Result<(), FormatError> {
        let header = SegmentHeader::decode(&segment.file, &segment.bytes, context.cluster)?;
        if header.generation != segment.generation {
            let reason = format!("the segment has generation {}", header.generation);
            return Err(FormatError::corrupt(&segment.file, 0, reason));
        }
        self.start_segment(&segment.file, &header)?;
        let mut at = SEGMENT_HEADER_LEN;
        while at < segment.bytes.len() {
            match Record::decode(&segment.bytes[at..]) {
                Ok(record) => {
                    self.apply(&record, at, header.generation)
                        .map_err(|reason| FormatError::corrupt(&segment.file, at as u64, reason))?;
                    at += record.len;
                }
                Err(reason) => {
                    if let Some(proof) = synced_proof(segment, at, newest, &header) {
                        let reason = format!("{reason}, and {proof}");
                        return Err(FormatError::corrupt(&segment.file, at as u64, reason));
                    }
                    let bytes = (segment.bytes.len() - at) as u64;
                    self.torn_tail = Some(TornTail {
                        offset: at as u64,
                        bytes,
                        reason,
                    });
                    break;
                }
            }
        }
        self.end = Position {
            generation: header.generation,
            offset: at as u64,
        };
        if header.generation == context.synced.generation && self.end < context.synced {
            let reason = self
                .torn_tail
                .as_ref()
                .map_or("the file ends", |tail| tail.reason);
            let synced = context.synced.offset;
            let reason = format!("{reason}, but the hard state records {synced} synced bytes");
            return Err(FormatError::corrupt(&segment.file, at as u64, reason));
        }
        Ok(())
    }

    /// Checks that the segment starts where the previous one ended, and adds it to the list.
    fn start_segment(&mut self, file: &str, header: &SegmentHeader) -> Result<(), FormatError> {
        let start = (header.last_index, header.last_term);
        if self.segments.is_empty() {
            self.log_terms = LogTerms::after(start.0, start.1);
        } else if self.end != header.previous {
            let (is, was) = (self.end, header.previous);
            let reason = format!(
                "the previous segment must be generation {} with {} bytes, but is generation {} \
                 with {} bytes",
                was.generation, was.offset, is.generation, is.offset
            );
            return Err(FormatError::corrupt(file, 0, reason));
        } else if start != (self.log_terms.last_index(), self.log_terms.last_term()) {
            let reason = format!(
                "the segment starts after entry {}, but the previous one ends at entry {}",
                start.0,
                self.log_terms.last_index()
            );
            return Err(FormatError::corrupt(file, 0, reason));
        }
        self.segments.push(SegmentStart {
            generation: header.generation,
            last_index: header.last_index,
        });
        Ok(())
    }

    /// Applies a record to the log. A record that has a valid checksum but does not follow the log
    /// was stored in the wrong place, which a torn write cannot cause.
    fn apply(&mut self, record: &Record<'_>, at: usize, generation: u64) -> Result<(), String> {
        if record.generation != generation {
            return Err(format!("the record has generation {}", record.generation));
        }
        let last = self.log_terms.last_index();
        match record.kind {
            RecordKind::Entry { term, payload } if record.index == last + 1 => {
                self.log_terms.push(term);
                let payload = payload.to_vec();
                self.entries.push(Entry {
                    index: record.index,
                    term,
                    payload,
                });
            }
            RecordKind::Truncation if record.index > self.log_terms.base_index() => {
                self.truncate_after(record.index - 1);
            }
            // The truncation starts before the oldest segment: the removed entries were in deleted
            // segments, and their replacements up to the snapshot's index follow in this segment.
            // The unknown term (0) is never compared, because its index is below the snapshot's.
            RecordKind::Truncation if record.index > 0 => {
                self.log_terms = LogTerms::after(record.index - 1, 0);
                self.entries.clear();
            }
            RecordKind::SyncMark { offset } if offset == at as u64 && record.index == last => {}
            _ => {
                return Err(format!(
                    "the record for index {} follows {last}",
                    record.index
                ));
            }
        }
        Ok(())
    }

    fn truncate_after(&mut self, index: u64) {
        self.log_terms.truncate_after(index);
        let keep = (self.log_terms.last_index() - self.log_terms.base_index()) as usize;
        self.entries.truncate(keep);
    }

    /// Drops the entries that the snapshot covers and checks that no committed entry is missing.
    fn apply_snapshot(
        &mut self,
        segments: &[Segment],
        context: &ScanContext,
    ) -> Result<(), FormatError> {
        let file = segments.last().map_or("journal", |segment| &segment.file);
        let (index, term) = context.snapshot.unwrap_or_default();
        match self.log_terms.rebase(index, term) {
            Some(removed) => drop(self.entries.drain(..removed)),
            None => self.entries.clear(),
        }
        let last = self.log_terms.last_index();
        if last < context.commit {
            let reason = format!(
                "the log ends at entry {last}, but {} was committed",
                context.commit
            );
            return Err(FormatError::corrupt(file, self.end.offset, reason));
        }
        Ok(())
    }
}

/// Reason why the bytes at `at` must have been synced; `None` if they can be a torn tail.
fn synced_proof(
    segment: &Segment,
    at: usize,
    newest: bool,
    header: &SegmentHeader,
) -> Option<String> {
    if !newest {
        return Some("a newer segment exists".to_owned());
    }
    Record::find_sync_mark(&segment.bytes, at + 1, header.generation)
        .map(|mark| format!("the mark at byte {mark} shows that all bytes before it were synced"))
}
