//! Model of a disk that can lose unsynced data. It records the operations of a store on a real
//! folder, can fail them from a given operation on, and writes a possible content after a crash.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex};

use azurelug_storage::{Files, HookDecision, Op};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Unit in which unsynced bytes are kept or lost, in bytes. Smaller than a real sector, so that a
/// record can be torn at several offsets.
const SECTOR: usize = 16;

#[derive(Clone, Default)]
struct Inode {
    durable: Vec<u8>,
    current: Vec<u8>,
    /// Ranges written since the last sync, whether or not that sync succeeded.
    dirty: Vec<Range<usize>>,
}

#[derive(Clone)]
enum NameChange {
    Set(String, usize),
    Move(String, String, usize),
    Remove(String),
}

type Names = BTreeMap<String, usize>;

#[derive(Default)]
struct State {
    folder: String,
    inodes: Vec<Inode>,
    names: Names,
    durable_names: Names,
    unsynced_names: Vec<NameChange>,
    operations: usize,
    fail_from: Option<usize>,
    /// Number of syncs of files until one fails for lack of room.
    syncs_until_full: Option<usize>,
}

/// Data loss caused by a crash.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Loss {
    /// The process stopped; the page cache is intact.
    Nothing,
    /// The machine stopped; all unsynced data is lost.
    Unsynced,
    /// The machine stopped; random parts of the unsynced data are lost, chosen by the seed.
    Torn(u64),
}

/// Shared handle to the model; the hook of a store has another.
#[derive(Clone, Default)]
pub(crate) struct DiskModel {
    state: Arc<Mutex<State>>,
}

impl DiskModel {
    /// Creates a disk with the files of a folder, all synced, whose operations fail from number
    /// `fail_from` on.
    pub(crate) fn new(folder: &Path, fail_from: Option<usize>) -> Self {
        let disk = Self::default();
        let mut state = disk.state.lock().unwrap();
        state.folder = folder.display().to_string();
        state.fail_from = fail_from;
        for item in fs::read_dir(folder).unwrap() {
            let path = item.unwrap().path();
            let bytes = fs::read(&path).unwrap();
            state.inodes.push(Inode {
                durable: bytes.clone(),
                current: bytes,
                dirty: Vec::new(),
            });
            let (name, inode) = (name(&path), state.inodes.len() - 1);
            state.names.insert(name, inode);
        }
        state.durable_names = state.names.clone();
        drop(state);
        disk
    }

    /// File access whose operations this disk records.
    pub(crate) fn files(&self) -> Files {
        let state = Arc::clone(&self.state);
        Files::with_hook(Box::new(move |op| state.lock().unwrap().operation(op)))
    }

    /// Lets the sync of a file fail for lack of room, after `syncs` successful ones.
    pub(crate) fn fail_sync_after(&self, syncs: usize) {
        self.state.lock().unwrap().syncs_until_full = Some(syncs);
    }

    /// Number of operations so far.
    pub(crate) fn operations(&self) -> usize {
        self.state.lock().unwrap().operations
    }

    /// Writes the files that remain after a crash into a new folder.
    pub(crate) fn write_after_crash(&self, loss: Loss, folder: &Path) {
        let state = self.state.lock().unwrap();
        let mut random =
            Pcg64Mcg::seed_from_u64(if let Loss::Torn(seed) = loss { seed } else { 0 });
        fs::create_dir(folder).unwrap();
        let names = match loss {
            Loss::Nothing => state.names.clone(),
            Loss::Unsynced => state.durable_names.clone(),
            Loss::Torn(_) => {
                let mut names = state.durable_names.clone();
                for change in &state.unsynced_names {
                    if random.random_bool(0.5) {
                        apply(&mut names, change);
                    }
                }
                names
            }
        };
        for (name, inode) in names {
            let inode = &state.inodes[inode];
            let bytes = match loss {
                Loss::Nothing => inode.current.clone(),
                Loss::Unsynced => inode.durable.clone(),
                Loss::Torn(_) => torn_content(inode, &mut random),
            };
            fs::write(folder.join(name), bytes).unwrap();
        }
    }
}

impl State {
    fn operation(&mut self, op: &Op<'_>) -> HookDecision {
        if self.fail_from.is_some_and(|first| self.operations >= first) {
            return HookDecision::Fail(io::Error::other("the machine stopped"));
        }
        self.operations += 1;
        match *op {
            Op::Create(path) => {
                self.inodes.push(Inode::default());
                self.rename(NameChange::Set(name(path), self.inodes.len() - 1));
            }
            Op::Write {
                file,
                offset,
                bytes,
            } => {
                let inode = self.inode(file);
                let (current, start) = (&mut inode.current, offset as usize);
                current.resize(current.len().max(start + bytes.len()), 0);
                current[start..start + bytes.len()].copy_from_slice(bytes);
                inode.dirty.push(start..start + bytes.len());
            }
            Op::SetLen { file, len } => self.inode(file).current.resize(len as usize, 0),
            Op::Sync(file) => {
                let is_full = self.syncs_until_full == Some(0);
                self.syncs_until_full = self.syncs_until_full.and_then(|it| it.checked_sub(1));
                let inode = self.inode(file);
                let dirty = std::mem::take(&mut inode.dirty);
                // After a failed sync the kernel regards the pages as clean.
                if is_full {
                    return HookDecision::Fail(io::ErrorKind::StorageFull.into());
                }
                inode.durable.resize(inode.current.len(), 0);
                for range in dirty {
                    let range = range.start..range.end.min(inode.current.len());
                    if !range.is_empty() {
                        inode.durable[range.clone()].copy_from_slice(&inode.current[range]);
                    }
                }
            }
            Op::Rename { from, to } => {
                let inode = self.names[&name(from)];
                self.rename(NameChange::Move(name(from), name(to), inode));
            }
            Op::Remove(path) => self.rename(NameChange::Remove(name(path))),
            Op::SyncFolder(path) if path.display().to_string() == self.folder => {
                self.durable_names = self.names.clone();
                self.unsynced_names.clear();
            }
            Op::SyncFolder(_) => {}
        }
        // The model tracks the synced data, so real syncs would only slow the test down.
        HookDecision::SkipSync
    }

    fn inode(&mut self, path: &Path) -> &mut Inode {
        &mut self.inodes[self.names[&name(path)]]
    }

    fn rename(&mut self, change: NameChange) {
        apply(&mut self.names, &change);
        self.unsynced_names.push(change);
    }
}

fn apply(names: &mut Names, change: &NameChange) {
    match change {
        NameChange::Set(name, inode) => {
            names.insert(name.clone(), *inode);
        }
        NameChange::Move(from, to, inode) => {
            names.remove(from);
            names.insert(to.clone(), *inode);
        }
        NameChange::Remove(name) => {
            names.remove(name);
        }
    }
}

/// Returns the synced content with a random part of the later changes applied.
fn torn_content(inode: &Inode, random: &mut Pcg64Mcg) -> Vec<u8> {
    let (durable_len, current_len) = (inode.durable.len(), inode.current.len());
    // File systems often persist a new length before the content, so half of the cases use it.
    let len = if random.random_bool(0.5) {
        current_len
    } else {
        random.random_range(durable_len.min(current_len)..=durable_len.max(current_len))
    };
    let mut bytes = vec![0; len];
    for start in (0..len).step_by(SECTOR) {
        let source = if random.random_bool(0.5) {
            &inode.current
        } else {
            &inode.durable
        };
        let end = (start + SECTOR).min(len).min(source.len());
        if start < end {
            bytes[start..end].copy_from_slice(&source[start..end]);
        }
    }
    bytes
}

fn name(path: &Path) -> String {
    path.file_name().unwrap().to_str().unwrap().to_owned()
}
