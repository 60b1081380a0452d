//! Tests of the archive of accused prompt parts, without a running daemon.
#![allow(clippy::unwrap_used)]

#[path = "support/fillable_disk.rs"]
mod fillable_disk;

use std::path::{Path, PathBuf};

use azurelug_control::quarantine::{Archive, Suspects};
use azurelug_storage::Files;
use azurelug_types::fleet::{PartKey, SuspectPart, TargetCrash};
use tempfile::TempDir;

use fillable_disk::{FillableDisk, Refusal};

const NOW_MS: u64 = 1_700_000_000_000;

const DAY_MS: u64 = 24 * 3600 * 1000;

/// A part whose requests have crashed that many targets, the last one a minute ago.
fn part(id: u64, crashes: u64) -> SuspectPart {
    let crash = |number| TargetCrash {
        target: number,
        age_ms: 60_000 + 5000 * (crashes - number),
    };
    SuspectPart {
        part: PartKey { service: 1, id },
        crashes: (1..=crashes).map(crash).collect(),
        probe_ages_ms: Vec::new(),
        progress_age_ms: None,
    }
}

fn suspects(reports: &[SuspectPart]) -> Suspects {
    let mut suspects = Suspects::default();
    suspects.merge(reports);
    suspects
}

fn write(archive: &mut Archive, suspects: &Suspects) -> bool {
    let changes = suspects.accused_since(archive.revision()).unwrap();
    archive.write(changes, NOW_MS)
}

fn read(folder: &Path, now_ms: u64) -> Vec<SuspectPart> {
    Archive::new(folder, Files::new()).read(now_ms)
}

/// The ages of the crashes of the only part.
fn ages(reports: &[SuspectPart]) -> Vec<u64> {
    assert_eq!(reports.len(), 1);
    reports[0].crashes.iter().map(|it| it.age_ms).collect()
}

fn only_file(folder: &Path) -> PathBuf {
    let mut paths = std::fs::read_dir(folder).unwrap();
    let path = paths.next().unwrap().unwrap().path();
    assert!(paths.next().is_none());
    path
}

/// Guards against accusations that are lost when all daemons restart, and against a part that is
/// accused because its few crashes are known twice, from the file and from gateways.
#[test]
fn a_restart_keeps_accused_parts_and_no_others() {
    let folder = TempDir::new().unwrap();
    let mut archive = Archive::new(folder.path(), Files::new());
    assert!(archive.read(NOW_MS).is_empty());
    assert!(write(&mut archive, &suspects(&[part(7, 3), part(8, 2)])));
    let restored = read(folder.path(), NOW_MS + 9000);
    assert_eq!(restored[0].part, part(7, 3).part);
    let expected = [79_000, 74_000, 69_000];
    let known = ages(&restored);
    assert!(
        known
            .iter()
            .zip(expected)
            .all(|(age, at)| age.abs_diff(at) < 1000)
    );
    let again = suspects(&restored).accused_since(0).unwrap();
    assert_eq!(again.reports.len(), 1);
}

/// Guards against ages that a wall clock makes negative, or so large that they overflow.
#[test]
fn a_wall_clock_that_was_set_spoils_no_ages() {
    let folder = TempDir::new().unwrap();
    let mut archive = Archive::new(folder.path(), Files::new());
    assert!(write(&mut archive, &suspects(&[part(7, 3)])));
    let written = ages(&read(folder.path(), NOW_MS));
    assert_eq!(ages(&read(folder.path(), NOW_MS - 30_000)), written);
    assert_eq!(ages(&read(folder.path(), 0)), written);
    let oldest: Vec<u64> = written.iter().map(|age| age + DAY_MS).collect();
    assert_eq!(ages(&read(folder.path(), u64::MAX)), oldest);
    let mut expired = suspects(&read(folder.path(), u64::MAX));
    assert!(expired.next_broadcast().is_empty());
}

/// Guards against a damaged file that stops the daemon or is taken for records.
#[test]
fn a_damaged_file_counts_as_empty_and_is_replaced() {
    let folder = TempDir::new().unwrap();
    let suspects = suspects(&[part(7, 3)]);
    let mut archive = Archive::new(folder.path(), Files::new());
    assert!(write(&mut archive, &suspects));
    let path = only_file(folder.path());
    let whole = std::fs::read(&path).unwrap();
    for length in 0..whole.len() {
        std::fs::write(&path, &whole[..length]).unwrap();
        assert!(read(folder.path(), NOW_MS).is_empty(), "{length} bytes");
    }
    for position in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[position] ^= 1;
        std::fs::write(&path, &damaged).unwrap();
        assert!(read(folder.path(), NOW_MS).is_empty(), "byte {position}");
    }
    assert!(write(
        &mut Archive::new(folder.path(), Files::new()),
        &suspects
    ));
    // Nothing of the damaged file follows the record, whose length depends on the ages in it.
    let replaced = std::fs::read(&path).unwrap();
    let records = read(folder.path(), NOW_MS);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].part, part(7, 3).part);
    std::fs::write(&path, &replaced[..replaced.len() - 1]).unwrap();
    assert!(read(folder.path(), NOW_MS).is_empty());
    std::fs::write(&path, [&replaced[..], &[0]].concat()).unwrap();
    assert!(read(folder.path(), NOW_MS).is_empty());
}

/// Guards against records that are given up, or a file that is spoilt, because the disk is full.
#[test]
fn a_full_disk_delays_the_file_and_leaves_nothing_behind() {
    let folder = TempDir::new().unwrap();
    let disk = FillableDisk::new(folder.path(), 1, &[1]);
    let mut archive = Archive::new(folder.path(), (disk.data_folder.files)());
    assert!(write(&mut archive, &suspects(&[part(7, 3)])));
    let both = suspects(&[part(7, 3), part(8, 4)]);
    for refusal in [
        Refusal::Writes,
        Refusal::WritesAndFiles,
        Refusal::HalfWrites,
    ] {
        disk.set_full(Some(refusal), 0);
        assert!(!write(&mut archive, &both), "{refusal:?}");
        only_file(folder.path());
        assert_eq!(read(folder.path(), NOW_MS).len(), 1, "{refusal:?}");
    }
    disk.set_full(None, 0);
    assert!(write(&mut archive, &both));
    assert_eq!(read(folder.path(), NOW_MS).len(), 2);
    assert!(both.accused_since(archive.revision()).is_none());
}

/// Guards against a part that is accused again after a restart although it was cleared.
#[test]
fn a_cleared_part_does_not_stay_in_the_file() {
    let folder = TempDir::new().unwrap();
    let mut archive = Archive::new(folder.path(), Files::new());
    let mut suspects = suspects(&[part(7, 3)]);
    assert!(write(&mut archive, &suspects));
    suspects.merge(&[SuspectPart {
        crashes: Vec::new(),
        progress_age_ms: Some(1000),
        ..part(7, 3)
    }]);
    assert!(write(&mut archive, &suspects));
    assert!(read(folder.path(), NOW_MS).is_empty());
}

/// Guards against a disk that is busy with records whose only change is their age.
#[test]
fn unchanged_records_are_not_written_again() {
    let folder = TempDir::new().unwrap();
    let disk = FillableDisk::new(folder.path(), 1, &[1]);
    let mut archive = Archive::new(folder.path(), (disk.data_folder.files)());
    let mut suspects = suspects(&[part(7, 3)]);
    assert!(write(&mut archive, &suspects));
    disk.set_full(Some(Refusal::Writes), 0);
    suspects.merge(&[part(8, 2)]);
    assert!(write(&mut archive, &suspects));
    suspects.merge(&[part(8, 3)]);
    assert!(!write(&mut archive, &suspects));
}
