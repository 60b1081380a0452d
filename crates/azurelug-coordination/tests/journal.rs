//! Tests of the recovery scan with damaged, truncated and misplaced bytes at every offset.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panicking")]

use azurelug_coordination::journal::{
    Entry, FormatError, HardState, Position, Record, RecordKind, SEGMENT_HEADER_LEN, Scan,
    ScanContext, Segment, SegmentHeader, Snapshot, decode_hard_state, decode_snapshot,
    encode_entry, encode_hard_state, encode_snapshot, encode_sync_mark, encode_truncation, scan,
};

const CLUSTER: u128 = 0x1234_5678_9abc_def0_1122_3344_5566_7788;
const FLIPS: [u8; 4] = [0x01, 0x10, 0x80, 0xff];

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: format!("payload of {index} in {term}").into_bytes(),
    }
}

/// Builds the content of one segment.
struct Writer {
    header: SegmentHeader,
    bytes: Vec<u8>,
}

impl Writer {
    fn new(generation: u64, previous: Position, last: (u64, u64)) -> Self {
        let (last_index, last_term) = last;
        let header = SegmentHeader {
            cluster: CLUSTER,
            generation,
            previous,
            last_index,
            last_term,
        };
        Self {
            header,
            bytes: header.encode(),
        }
    }

    fn batch(mut self, entries: &[Entry]) -> Self {
        for entry in entries {
            encode_entry(&mut self.bytes, self.header.generation, entry);
        }
        self
    }

    fn mark(mut self, last: u64) -> Self {
        let offset = self.bytes.len() as u64;
        encode_sync_mark(&mut self.bytes, self.header.generation, last, offset);
        self
    }

    fn truncation(mut self, index: u64) -> Self {
        encode_truncation(&mut self.bytes, self.header.generation, index);
        self
    }

    fn end(&self) -> Position {
        Position {
            generation: self.header.generation,
            offset: self.bytes.len() as u64,
        }
    }

    fn segment(self) -> Segment {
        let generation = self.header.generation;
        Segment {
            file: format!("journal-{generation}"),
            generation,
            bytes: self.bytes,
        }
    }
}

/// Two synced segments: entries 1 to 3, then a replacement of entry 3 and entries up to 6.
fn two_segments() -> [Segment; 2] {
    let first = Writer::new(1, Position::default(), (0, 0));
    let first = first
        .batch(&[entry(1, 1), entry(2, 1)])
        .mark(2)
        .batch(&[entry(3, 1)])
        .mark(3);
    let second = Writer::new(2, first.end(), (3, 1))
        .truncation(3)
        .batch(&[entry(3, 2)])
        .mark(3);
    let second = second
        .batch(&[entry(4, 2), entry(5, 2), entry(6, 2)])
        .mark(6);
    [first.segment(), second.segment()]
}

fn context() -> ScanContext {
    ScanContext {
        cluster: CLUSTER,
        ..ScanContext::default()
    }
}

fn recovered() -> Vec<Entry> {
    vec![
        entry(1, 1),
        entry(2, 1),
        entry(3, 2),
        entry(4, 2),
        entry(5, 2),
        entry(6, 2),
    ]
}

fn corrupt_at(result: Result<Scan, FormatError>) -> u64 {
    match result {
        Err(FormatError::Corrupt { offset, .. }) => offset,
        other => panic!("expected corruption, got {other:?}"),
    }
}

#[test]
fn an_undamaged_log_is_recovered_whole() {
    let scan = scan(&two_segments(), &context()).unwrap();
    assert_eq!(scan.entries, recovered());
    assert_eq!(scan.torn_tail, None);
}

#[test]
fn a_flipped_byte_in_a_synced_record_is_never_treated_as_a_torn_tail() {
    for file in 0..2 {
        let len = two_segments()[file].bytes.len();
        let mark = len - 33;
        for at in 0..len {
            for flip in FLIPS {
                let mut segments = two_segments();
                segments[file].bytes[at] ^= flip;
                match scan(&segments, &context()) {
                    Err(error) => {
                        let text = error.to_string();
                        assert!(text.contains("journal-") && text.contains("byte"), "{text}");
                    }
                    Ok(scan) => {
                        // Only the last mark, which contains no entry, may be cut.
                        assert!(
                            file == 1 && at >= mark,
                            "file {file} byte {at} flip {flip:#x}"
                        );
                        assert_eq!(scan.entries, recovered());
                        assert_eq!(scan.torn_tail.unwrap().offset, mark as u64);
                    }
                }
            }
        }
    }
}

#[test]
fn a_flipped_byte_below_the_synced_position_is_corruption_even_without_a_later_mark() {
    let [first, mut second] = two_segments();
    let end = second.bytes.len() - 33;
    second.bytes.truncate(end);
    let context = ScanContext {
        synced: Position {
            generation: 2,
            offset: end as u64,
        },
        ..context()
    };
    for at in SEGMENT_HEADER_LEN..end {
        let mut second = second.clone();
        second.bytes[at] ^= 0x40;
        assert!(
            scan(&[first.clone(), second], &context).is_err(),
            "byte {at}"
        );
    }
}

#[test]
fn a_log_cut_at_any_offset_keeps_every_whole_record_before_it() {
    let [first, second] = two_segments();
    let all = recovered();
    for len in SEGMENT_HEADER_LEN..second.bytes.len() {
        let mut second = second.clone();
        second.bytes.truncate(len);
        let scan = scan(&[first.clone(), second], &context()).unwrap();
        let kept = scan.entries.len();
        assert_eq!(
            scan.end.offset + scan.torn_tail.map_or(0, |tail| tail.bytes),
            len as u64
        );
        // Until the truncation record, the old entry 3 is still valid.
        if kept == 3 && scan.entries[2] == entry(3, 1) {
            assert!(len < SEGMENT_HEADER_LEN + 25, "length {len}");
        } else {
            assert_eq!(scan.entries, all[..kept], "length {len}");
        }
    }
}

#[test]
fn bytes_missing_below_the_synced_position_are_corruption() {
    let [first, second] = two_segments();
    let end = second.bytes.len() as u64;
    let context = ScanContext {
        synced: Position {
            generation: 2,
            offset: end,
        },
        ..context()
    };
    for len in 0..second.bytes.len() {
        let mut second = second.clone();
        second.bytes.truncate(len);
        assert!(
            scan(&[first.clone(), second], &context).is_err(),
            "length {len}"
        );
    }
}

#[test]
fn an_older_segment_that_lost_or_gained_bytes_is_corruption() {
    let [first, second] = two_segments();
    for len in 0..first.bytes.len() {
        let mut first = first.clone();
        first.bytes.truncate(len);
        assert!(
            scan(&[first, second.clone()], &context()).is_err(),
            "length {len}"
        );
    }
    let mut longer = first;
    longer.bytes.push(0);
    corrupt_at(scan(&[longer, second], &context()));
}

#[test]
fn a_missing_segment_is_corruption() {
    let [first, second] = two_segments();
    corrupt_at(scan(std::slice::from_ref(&second), &context()));
    let synced = Position {
        generation: 2,
        offset: SEGMENT_HEADER_LEN as u64,
    };
    corrupt_at(scan(
        std::slice::from_ref(&first),
        &ScanContext {
            synced,
            ..context()
        },
    ));
    corrupt_at(scan(
        &[],
        &ScanContext {
            synced,
            ..context()
        },
    ));
}

#[test]
fn unsynced_records_that_reached_the_disk_out_of_order_are_a_torn_tail() {
    let writer = Writer::new(1, Position::default(), (0, 0))
        .batch(&[entry(1, 1)])
        .mark(1);
    let synced = writer.bytes.len();
    let mut segment = writer
        .batch(&[entry(2, 1), entry(3, 1), entry(4, 1)])
        .segment();
    segment.bytes[synced..synced + 40].fill(0);
    let scan = scan(&[segment], &context()).unwrap();
    assert_eq!(scan.entries, [entry(1, 1)]);
    assert_eq!(scan.torn_tail.unwrap().offset, synced as u64);
}

#[test]
fn a_log_that_ends_before_the_committed_index_is_corruption() {
    let context = ScanContext {
        commit: 7,
        ..context()
    };
    corrupt_at(scan(&two_segments(), &context));
}

#[test]
fn a_valid_record_in_the_wrong_place_is_corruption() {
    let base = || Writer::new(4, Position::default(), (0, 0)).batch(&[entry(1, 1)]);
    let at = base().bytes.len() as u64;
    let gap = base().batch(&[entry(3, 1)]).segment();
    assert_eq!(corrupt_at(scan(&[gap], &context())), at);
    let mut old = base();
    encode_entry(&mut old.bytes, 3, &entry(2, 1));
    assert_eq!(corrupt_at(scan(&[old.segment()], &context())), at);
    let mut moved = base();
    encode_sync_mark(&mut moved.bytes, 4, 1, 5);
    assert_eq!(corrupt_at(scan(&[moved.segment()], &context())), at);
    let renamed = Segment {
        generation: 9,
        ..base().segment()
    };
    assert_eq!(corrupt_at(scan(&[renamed], &context())), 0);
}

#[test]
fn a_huge_length_is_refused_before_any_allocation() {
    let mut bytes = Vec::new();
    encode_entry(&mut bytes, 1, &entry(1, 1));
    bytes[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(
        Record::decode(&bytes),
        Err("the record length is out of range")
    );
}

#[test]
fn a_snapshot_from_another_history_removes_the_log() {
    let context = ScanContext {
        snapshot: Some((4, 3)),
        ..context()
    };
    let scan = scan(&two_segments(), &context).unwrap();
    assert_eq!(scan.entries, []);
    assert_eq!(
        (scan.log_terms.last_index(), scan.log_terms.last_term()),
        (4, 3)
    );
}

#[test]
fn a_snapshot_of_the_same_history_keeps_the_entries_after_it() {
    let context = ScanContext {
        snapshot: Some((4, 2)),
        ..context()
    };
    let scan = scan(&two_segments(), &context).unwrap();
    assert_eq!(scan.entries, [entry(5, 2), entry(6, 2)]);
    assert_eq!(scan.obsolete, [1]);
}

#[test]
fn a_gap_between_snapshot_and_log_is_corruption() {
    let later = Writer::new(5, Position::default(), (20, 3))
        .batch(&[entry(21, 3)])
        .segment();
    let context = ScanContext {
        snapshot: Some((19, 3)),
        ..context()
    };
    corrupt_at(scan(&[later], &context));
}

#[test]
fn a_segment_that_starts_elsewhere_than_the_last_one_ended_is_corruption() {
    let [first, _] = two_segments();
    let previous = Position {
        generation: 1,
        offset: first.bytes.len() as u64,
    };
    for last in [(2, 1), (3, 2), (4, 1)] {
        let second = Writer::new(2, previous, last).segment();
        corrupt_at(scan(&[first.clone(), second], &context()));
    }
}

#[test]
fn a_segment_of_another_cluster_is_refused() {
    let context = ScanContext {
        cluster: 7,
        ..context()
    };
    let error = scan(&two_segments(), &context).unwrap_err();
    assert!(matches!(
        error,
        FormatError::WrongCluster {
            expected: 7,
            found: CLUSTER,
            ..
        }
    ));
}

#[test]
fn any_damage_to_a_snapshot_or_hard_state_is_detected() {
    let snapshot = Snapshot {
        index: 9,
        term: 4,
        payload: b"state of the machine".to_vec(),
    };
    let state = HardState {
        term: 4,
        vote: Some((2, 17)),
        incarnation: 3,
        commit: 8,
        slot: 2,
        storage: 11,
    };
    let synced = Position {
        generation: 6,
        offset: 1234,
    };
    let files = [
        encode_snapshot(CLUSTER, &snapshot),
        encode_hard_state(CLUSTER, state, synced),
    ];
    let read = [
        |bytes: &[u8]| decode_snapshot("snapshot", bytes, CLUSTER).map(drop),
        |bytes: &[u8]| decode_hard_state("hard-state", bytes, CLUSTER).map(drop),
    ];
    assert_eq!(decode_snapshot("s", &files[0], CLUSTER).unwrap(), snapshot);
    assert_eq!(
        decode_hard_state("h", &files[1], CLUSTER).unwrap(),
        (state, synced)
    );
    for (bytes, read) in files.iter().zip(read) {
        for at in 0..bytes.len() {
            for flip in FLIPS {
                let mut bytes = bytes.clone();
                bytes[at] ^= flip;
                assert!(
                    matches!(read(&bytes), Err(FormatError::Corrupt { .. })),
                    "byte {at}"
                );
            }
            assert!(read(&bytes[..at]).is_err(), "length {at}");
        }
        let longer = [&bytes[..], &[0]].concat();
        assert!(read(&longer).is_err());
    }
}

#[test]
fn an_entry_without_payload_is_decoded_unchanged() {
    let mut bytes = Vec::new();
    encode_entry(
        &mut bytes,
        5,
        &Entry {
            index: 8,
            term: 2,
            payload: Vec::new(),
        },
    );
    let record = Record::decode(&bytes).unwrap();
    assert_eq!(
        (record.generation, record.index, record.len),
        (5, 8, bytes.len())
    );
    assert_eq!(
        record.kind,
        RecordKind::Entry {
            term: 2,
            payload: &[]
        }
    );
}
