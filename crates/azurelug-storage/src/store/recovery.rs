//! Steps of opening a folder: reading its files, removing a torn tail, starting a segment.

use azurelug_coordination::journal::{
    self, FormatError, HardState, LogTerms, Position, Scan, Segment, SegmentHeader, Snapshot,
};

use crate::error::Error;
use crate::files::Handle;
use crate::folder::{Folder, HARD_STATE_FILE, io_error, segment_name, snapshot_name};

/// Writes the initial hard state, so that a folder with a segment always has one.
pub(super) fn initialize(folder: &mut Folder, cluster: u128) -> Result<(), Error> {
    folder.sync_parent()?;
    let state = HardState::default();
    let bytes = journal::encode_hard_state(cluster, state, Position::default());
    folder.write_atomically(HARD_STATE_FILE, &bytes).map(drop)
}

/// Removes the torn tail, and writes and syncs the part of the newest segment that is not known to
/// be `synced`. Without the sync, records that a stopped process wrote but never synced would be
/// treated as durable. Without the write, the sync would not cover bytes whose earlier sync failed
/// for lack of room, because the kernel has marked their pages as clean.
pub(super) fn repair_newest_segment(
    folder: &mut Folder,
    scan: &Scan,
    segments: &[Segment],
    synced: Position,
) -> Result<(), Error> {
    if scan.end.generation == 0 {
        return Ok(());
    }
    let path = folder.path.join(segment_name(scan.end.generation));
    let file = std::fs::OpenOptions::new().write(true).open(&path);
    let file = file.map_err(|error| io_error("open", &path, 0, error))?;
    let handle = Handle { file, path };
    if let Some(tail) = &scan.torn_tail {
        let path = handle.path.display();
        log::warn!(
            "storage: {path}: removed a torn tail of {} bytes at byte {}: {}",
            tail.bytes,
            tail.offset,
            tail.reason
        );
        folder
            .files
            .set_len(&handle, tail.offset)
            .map_err(|error| io_error("truncate", &handle.path, tail.offset, error))?;
    }
    let start = if synced.generation == scan.end.generation {
        synced.offset
    } else {
        0
    };
    let bytes = segments.last().map_or(&[][..], |segment| &segment.bytes);
    let unsynced = usize::try_from(start)
        .ok()
        .zip(usize::try_from(scan.end.offset).ok())
        .and_then(|(start, end)| bytes.get(start..end));
    if let Some(unsynced) = unsynced.filter(|it| !it.is_empty()) {
        folder.write(&handle, start, unsynced)?;
    }
    folder.sync(&handle, start)
}

pub(super) fn start_segment(
    folder: &mut Folder,
    cluster: u128,
    previous: Position,
    log_terms: &LogTerms,
) -> Result<(Handle, u64), Error> {
    let generation = previous.generation + 1;
    let (last_index, last_term) = (log_terms.last_index(), log_terms.last_term());
    let header = SegmentHeader {
        cluster,
        generation,
        previous,
        last_index,
        last_term,
    };
    Ok((
        folder.write_atomically(&segment_name(generation), &header.encode())?,
        generation,
    ))
}

pub(super) fn read_snapshot(
    folder: &Folder,
    indices: &[u64],
    cluster: u128,
) -> Result<Option<Snapshot>, Error> {
    let Some(&index) = indices.last() else {
        return Ok(None);
    };
    let name = snapshot_name(index);
    let bytes = folder
        .read(&name)?
        .ok_or_else(|| missing_file(folder, &name))?;
    let file = display_path(folder, &name);
    let snapshot = journal::decode_snapshot(&file, &bytes, cluster)?;
    if snapshot.index != index {
        let reason = format!("the snapshot ends at entry {}", snapshot.index);
        return Err(Error::Format(FormatError::Corrupt {
            file,
            offset: 0,
            reason,
        }));
    }
    Ok(Some(snapshot))
}

pub(super) fn read_segments(folder: &Folder, generations: &[u64]) -> Result<Vec<Segment>, Error> {
    let read = |&generation: &u64| {
        let name = segment_name(generation);
        let bytes = folder
            .read(&name)?
            .ok_or_else(|| missing_file(folder, &name))?;
        Ok(Segment {
            file: display_path(folder, &name),
            generation,
            bytes,
        })
    };
    generations.iter().map(read).collect()
}

pub(super) fn display_path(folder: &Folder, name: &str) -> String {
    folder.path.join(name).display().to_string()
}

pub(super) fn missing_file(folder: &Folder, name: &str) -> Error {
    Error::Format(FormatError::Corrupt {
        file: display_path(folder, name),
        offset: 0,
        reason: "the file is missing, but other files of the store exist".to_owned(),
    })
}
