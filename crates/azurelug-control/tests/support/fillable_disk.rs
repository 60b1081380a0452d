//! A data folder on a disk that a test can make full. The errors are injected.

use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::{Arc, Mutex};

use azurelug_control::disk::DataFolder;
use azurelug_storage::{Files, HookDecision, Op};

/// What a full disk does.
#[allow(dead_code, reason = "not every test uses all of them")]
#[derive(Clone, Copy, Debug)]
pub(crate) enum Refusal {
    /// It refuses every write, but creates empty files.
    Writes,
    /// It refuses every write and every new file.
    WritesAndFiles,
    /// It stores the first half of each write.
    HalfWrites,
    /// It accepts writes and fails to sync them, as file systems do that reserve space late.
    Syncs,
    /// It refuses every change, as file systems do that need space for it.
    Changes,
}

#[derive(Debug)]
struct Space {
    refusal: Option<Refusal>,
    /// Operations that still succeed.
    operations: u32,
}

/// A data folder of a member and its disk.
pub(crate) struct FillableDisk {
    pub(crate) data_folder: DataFolder,
    space: Arc<Mutex<Space>>,
}

impl FillableDisk {
    /// The disk of the member `slot` of a cluster that `founders` start.
    pub(crate) fn new(folder: &Path, slot: u32, founders: &[u32]) -> Self {
        let space = Arc::new(Mutex::new(Space {
            refusal: None,
            operations: 0,
        }));
        let hooked = Arc::clone(&space);
        let files = move || {
            let space = Arc::clone(&hooked);
            Files::with_hook(Box::new(move |op| space.lock().unwrap().decide(op)))
        };
        let data_folder = DataFolder {
            folder: folder.join("state"),
            cluster: 7,
            slot,
            founders: founders.to_vec(),
            storage: u64::from(slot) + 2,
            files: Arc::new(files),
        };
        Self { data_folder, space }
    }

    /// Makes the disk full after some more operations, or gives it room.
    pub(crate) fn set_full(&self, refusal: Option<Refusal>, operations: u32) {
        *self.space.lock().unwrap() = Space {
            refusal,
            operations,
        };
    }
}

impl Space {
    fn decide(&mut self, op: &Op<'_>) -> HookDecision {
        let Some(refusal) = self.refusal else {
            return HookDecision::Proceed;
        };
        let is_refused = match (refusal, op) {
            (Refusal::Syncs, Op::Sync(_)) => true,
            (Refusal::Syncs, _) | (_, Op::Sync(_) | Op::SyncFolder(_)) => false,
            (_, Op::Write { .. }) | (Refusal::Changes, _) => true,
            (Refusal::WritesAndFiles, Op::Create(_)) => true,
            _ => false,
        };
        if !is_refused {
            return HookDecision::Proceed;
        }
        if self.operations > 0 {
            self.operations -= 1;
            return HookDecision::Proceed;
        }
        if let (
            Refusal::HalfWrites,
            Op::Write {
                file,
                offset,
                bytes,
            },
        ) = (refusal, op)
        {
            let file = OpenOptions::new().write(true).open(file).unwrap();
            let stored = &bytes[..bytes.len() / 2];
            file.write_all_at(stored, *offset).unwrap();
        }
        HookDecision::Fail(io::ErrorKind::StorageFull.into())
    }
}
