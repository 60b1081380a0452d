//! Steps of opening a folder: reading its files, removing a torn tail, starting a segment.

use azurelug_coordination::journal::{
    self, Fault, HardState, Header, Position, Scan, Segment, Snapshot, Span,
};

use crate::error::Error;
use crate::files::Handle;
use crate::folder::{Folder, HARD_STATE, io_error, segment_name, snapshot_name};

/// Writes the initial hard state, so that a folder with a segment always has one.
pub(super) fn initialize(folder: &mut Folder, cluster: u128) -> Result<(), Error> {
    folder.sync_parent()?;
    let state = HardState::default();
    let bytes = journal::encode_hard_state(cluster, state, Position::default());
    folder.publish(HARD_STATE, &bytes).map(drop)
}

/// Removes the torn tail and syncs the newest segment. Without the sync, records that a stopped
/// process wrote but never synced would be treated as durable.
pub(super) fn settle_newest(folder: &mut Folder, scan: &Scan) -> Result<(), Error> {
    if scan.end.generation == 0 {
        return Ok(());
    }
    let path = folder.path.join(segment_name(scan.end.generation));
    let file = std::fs::OpenOptions::new().write(true).open(&path);
    let file = file.map_err(|error| io_error("open", &path, 0, error))?;
    let handle = Handle { file, path };
    if let Some(cut) = &scan.cut {
        let path = handle.path.display();
        log::warn!(
            "storage: {path}: removed a torn tail of {} bytes at byte {}: {}",
            cut.bytes,
            cut.offset,
            cut.reason
        );
        folder
            .files
            .set_len(&handle, cut.offset)
            .map_err(|error| io_error("truncate", &handle.path, cut.offset, error))?;
    }
    folder.sync(&handle, 0)
}

pub(super) fn start_segment(
    folder: &mut Folder,
    cluster: u128,
    previous: Position,
    span: &Span,
) -> Result<(Handle, u64), Error> {
    let generation = previous.generation + 1;
    let (last_index, last_term) = (span.last_index(), span.last_term());
    let header = Header {
        cluster,
        generation,
        previous,
        last_index,
        last_term,
    };
    Ok((
        folder.publish(&segment_name(generation), &header.encode())?,
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
    let bytes = folder.read(&name)?.ok_or_else(|| missing(folder, &name))?;
    let file = shown(folder, &name);
    let snapshot = journal::decode_snapshot(&file, &bytes, cluster)?;
    if snapshot.index != index {
        let reason = format!("the snapshot ends at entry {}", snapshot.index);
        return Err(Error::Fault(Fault::Corrupt {
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
        let bytes = folder.read(&name)?.ok_or_else(|| missing(folder, &name))?;
        Ok(Segment {
            file: shown(folder, &name),
            generation,
            bytes,
        })
    };
    generations.iter().map(read).collect()
}

pub(super) fn shown(folder: &Folder, name: &str) -> String {
    folder.path.join(name).display().to_string()
}

pub(super) fn missing(folder: &Folder, name: &str) -> Error {
    Error::Fault(Fault::Corrupt {
        file: shown(folder, name),
        offset: 0,
        reason: "the file is missing, but other files of the store exist".to_owned(),
    })
}
