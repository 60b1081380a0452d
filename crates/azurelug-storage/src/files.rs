//! File operations, with a hook that lets tests inject failures.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A file system operation about to run.
#[derive(Debug, Clone, Copy)]
pub enum Op<'a> {
    /// Creates an empty file, replacing one of the same name.
    Create(&'a Path),
    /// Writes bytes at an offset.
    Write {
        /// The file.
        file: &'a Path,
        /// Offset in the file, in bytes.
        offset: u64,
        /// Data to write.
        bytes: &'a [u8],
    },
    /// Truncates a file.
    SetLen {
        /// The file.
        file: &'a Path,
        /// Its new length, in bytes.
        len: u64,
    },
    /// Syncs the content of a file.
    Sync(&'a Path),
    /// Renames a file or folder.
    Rename {
        /// Old name.
        from: &'a Path,
        /// New name.
        to: &'a Path,
    },
    /// Removes a file.
    Remove(&'a Path),
    /// Syncs the directory entries of a folder.
    SyncFolder(&'a Path),
}

/// Decision of a hook about an operation.
#[derive(Debug)]
pub enum HookDecision {
    /// The operation runs.
    Proceed,
    /// A sync is reported as successful without running, as on a disk that ignores syncs. Other
    /// operations run.
    SkipSync,
    /// The operation fails with this error and has no effect.
    Fail(io::Error),
    /// A write fails after this number of bytes; other operations fail without effect.
    ShortWrite(usize),
}

/// Function called before each operation that changes the file system.
pub type Hook = Box<dyn FnMut(&Op<'_>) -> HookDecision + Send>;

/// Access to the file system.
#[derive(Default)]
pub struct Files {
    hook: Option<Hook>,
}

/// An open file and its path.
#[derive(Debug)]
pub(crate) struct Handle {
    pub(crate) file: File,
    pub(crate) path: PathBuf,
}

/// How to run an operation after the hook has decided.
enum Action {
    Run,
    Skip,
    ShortWrite(usize),
}

impl Files {
    /// File system access without a hook.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// File system access that calls `hook` before each change.
    #[must_use]
    pub fn with_hook(hook: Hook) -> Self {
        Self { hook: Some(hook) }
    }

    /// Calls the hook, if there is one, for an operation.
    fn consult_hook(&mut self, op: &Op<'_>) -> io::Result<Action> {
        match self
            .hook
            .as_mut()
            .map_or(HookDecision::Proceed, |hook| hook(op))
        {
            HookDecision::Proceed => Ok(Action::Run),
            HookDecision::SkipSync if matches!(op, Op::Sync(_) | Op::SyncFolder(_)) => {
                Ok(Action::Skip)
            }
            HookDecision::SkipSync => Ok(Action::Run),
            HookDecision::Fail(error) => Err(error),
            HookDecision::ShortWrite(len) if matches!(op, Op::Write { .. }) => {
                Ok(Action::ShortWrite(len))
            }
            HookDecision::ShortWrite(_) => Err(io::ErrorKind::Other.into()),
        }
    }

    pub(crate) fn create(&mut self, path: &Path) -> io::Result<Handle> {
        self.consult_hook(&Op::Create(path))?;
        let file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        Ok(Handle {
            file,
            path: path.to_owned(),
        })
    }

    pub(crate) fn write(&mut self, to: &Handle, offset: u64, bytes: &[u8]) -> io::Result<()> {
        match self.consult_hook(&Op::Write {
            file: &to.path,
            offset,
            bytes,
        })? {
            Action::Run | Action::Skip => to.file.write_all_at(bytes, offset),
            Action::ShortWrite(len) => {
                to.file
                    .write_all_at(&bytes[..len.min(bytes.len())], offset)?;
                Err(io::ErrorKind::WriteZero.into())
            }
        }
    }

    pub(crate) fn set_len(&mut self, handle: &Handle, len: u64) -> io::Result<()> {
        self.consult_hook(&Op::SetLen {
            file: &handle.path,
            len,
        })?;
        handle.file.set_len(len)
    }

    /// Syncs content and length. Recovery does not need other metadata, such as times.
    pub(crate) fn sync(&mut self, handle: &Handle) -> io::Result<()> {
        match self.consult_hook(&Op::Sync(&handle.path))? {
            Action::Skip => Ok(()),
            Action::Run | Action::ShortWrite(_) => handle.file.sync_data(),
        }
    }

    pub(crate) fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.consult_hook(&Op::Rename { from, to })?;
        fs::rename(from, to)
    }

    pub(crate) fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.consult_hook(&Op::Remove(path))?;
        fs::remove_file(path)
    }

    pub(crate) fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        match self.consult_hook(&Op::SyncFolder(folder))? {
            Action::Skip => Ok(()),
            Action::Run | Action::ShortWrite(_) => File::open(folder)?.sync_all(),
        }
    }
}
