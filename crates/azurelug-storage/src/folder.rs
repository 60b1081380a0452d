//! File names, lock and whole-file operations of one data folder.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use crate::error::Error;
use crate::files::{Files, Handle};

pub(crate) const HARD_STATE_FILE: &str = "hard-state";
const LOCK_FILE: &str = "lock";
/// Marker file that exists after a failed sync. It is not synced itself: it has to survive the
/// process but not the page cache, because after a power failure the folder shows what is on disk.
const SYNC_FAILED_FILE: &str = "sync-failed";
const SEGMENT_PREFIX: &str = "journal-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// A locked data folder.
pub(crate) struct Folder {
    pub(crate) path: PathBuf,
    pub(crate) files: Files,
    _lock: Lock,
}

/// Generations, snapshot indices (both ascending) and temporary files found in the folder.
#[derive(Default)]
pub(crate) struct Listing {
    pub(crate) segments: Vec<u64>,
    pub(crate) snapshots: Vec<u64>,
    temporary: Vec<String>,
}

pub(crate) fn segment_name(generation: u64) -> String {
    format!("{SEGMENT_PREFIX}{generation:020}")
}

pub(crate) fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

pub(crate) fn io_error(action: &'static str, file: &Path, offset: u64, source: io::Error) -> Error {
    Error::Io {
        action,
        file: file.to_owned(),
        offset,
        source,
    }
}

impl Folder {
    /// Creates the folder if necessary, locks it, and rejects it if a sync in it has failed.
    pub(crate) fn open(path: &Path, files: Files) -> Result<Self, Error> {
        // Only the last component is created: a missing parent indicates a wrong path in the
        // settings.
        if !path.exists() {
            fs::create_dir(path).map_err(|error| io_error("create folder", path, 0, error))?;
        }
        let folder = Self {
            path: path.to_owned(),
            files,
            _lock: lock(path)?,
        };
        if folder.path.join(SYNC_FAILED_FILE).exists() {
            return Err(Error::EarlierSyncFailed {
                folder: folder.path,
            });
        }
        Ok(folder)
    }

    /// Lists the files of the store.
    pub(crate) fn list(&self) -> Result<Listing, Error> {
        let fail = |error| io_error("list folder", &self.path, 0, error);
        let mut listing = Listing::default();
        for item in fs::read_dir(&self.path).map_err(fail)? {
            let name = item.map_err(fail)?.file_name();
            let Some(name) = name.to_str() else { continue };
            if let Some(target) = name.strip_suffix(TEMPORARY_SUFFIX) {
                if is_store_file(target) {
                    listing.temporary.push(name.to_owned());
                }
            } else if let Some(number) = parse_number(name, SEGMENT_PREFIX) {
                listing.segments.push(number);
            } else if let Some(number) = parse_number(name, SNAPSHOT_PREFIX) {
                listing.snapshots.push(number);
            }
        }
        listing.segments.sort_unstable();
        listing.snapshots.sort_unstable();
        Ok(listing)
    }

    /// Removes the store's temporary files that remain after a crash. Other writers may be using
    /// theirs.
    pub(crate) fn remove_temporary(&mut self) -> Result<(), Error> {
        let listing = self.list()?;
        listing
            .temporary
            .iter()
            .try_for_each(|name| self.remove(name))
    }

    /// Reads a whole file; `None` if it does not exist.
    pub(crate) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let path = self.path.join(name);
        match fs::read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(io_error("read", &path, 0, error)),
        }
    }

    /// Writes a file under a temporary name, syncs it, renames it, and syncs the folder, so that
    /// the final name never refers to partial content.
    pub(crate) fn write_atomically(&mut self, name: &str, bytes: &[u8]) -> Result<Handle, Error> {
        let path = self.path.join(name);
        let temporary = self.path.join(format!("{name}{TEMPORARY_SUFFIX}"));
        let mut handle = self
            .files
            .create(&temporary)
            .map_err(|error| io_error("create", &temporary, 0, error))?;
        self.write(&handle, 0, bytes)?;
        self.sync(&handle, 0)?;
        self.files
            .rename(&temporary, &path)
            .map_err(|error| io_error("rename", &temporary, 0, error))?;
        self.sync_names()?;
        handle.path = path;
        Ok(handle)
    }

    pub(crate) fn write(&mut self, to: &Handle, offset: u64, bytes: &[u8]) -> Result<(), Error> {
        self.files
            .write(to, offset, bytes)
            .map_err(|error| io_error("write", &to.path, offset, error))
    }

    /// Syncs a file whose first `synced` bytes were synced before. If the disk has no room for the
    /// rest, that part may be lost although it can be read, so it must be written again before it
    /// counts as durable.
    pub(crate) fn sync(&mut self, handle: &Handle, synced: u64) -> Result<(), Error> {
        let result = self.files.sync(handle);
        result.map_err(|source| {
            if is_full(&source) {
                return io_error("sync", &handle.path, synced, source);
            }
            self.record_sync_failure(&handle.path, synced, source)
        })
    }

    /// Syncs the directory entries of the folder.
    pub(crate) fn sync_names(&mut self) -> Result<(), Error> {
        let result = self.files.sync_folder(&self.path);
        result.map_err(|source| self.record_sync_failure(&self.path.clone(), 0, source))
    }

    /// Syncs the directory entry of the folder itself.
    pub(crate) fn sync_parent(&mut self) -> Result<(), Error> {
        sync_parent(&mut self.files, &self.path)
    }

    pub(crate) fn remove(&mut self, name: &str) -> Result<(), Error> {
        let path = self.path.join(name);
        self.files
            .remove(&path)
            .map_err(|error| io_error("remove", &path, 0, error))
    }

    /// Creates the marker file that makes later processes reject the folder. If that fails too, the
    /// caller still gets the error, and the open store still rejects all operations.
    fn record_sync_failure(&mut self, file: &Path, offset: u64, source: io::Error) -> Error {
        log::error!(
            "storage: sync of {} failed, the content of the disk is unknown: {source}",
            file.display()
        );
        if let Err(error) = self.files.create(&self.path.join(SYNC_FAILED_FILE)) {
            log::error!(
                "storage: cannot create {SYNC_FAILED_FILE}, so set the data folder aside: {error}"
            );
        }
        Error::Sync {
            file: file.to_owned(),
            offset,
            source,
        }
    }

    /// Renames the folder and returns its new path.
    pub(crate) fn set_aside(mut self) -> Result<PathBuf, Error> {
        let mut name = self.path.as_os_str().to_owned();
        name.push(".aside-");
        let candidates = (1..).map(|number: u64| {
            let mut name = name.clone();
            name.push(number.to_string());
            PathBuf::from(name)
        });
        let to = candidates
            .into_iter()
            .find(|path| !path.exists())
            .expect("one of the numbers is unused");
        self.files
            .rename(&self.path, &to)
            .map_err(|error| io_error("rename", &self.path, 0, error))?;
        sync_parent(&mut self.files, &to)?;
        log::warn!(
            "storage: set {} aside as {}",
            self.path.display(),
            to.display()
        );
        Ok(to)
    }
}

/// Renames a folder that cannot be opened to `<folder>.aside-<number>` and returns the new path.
/// For an open store, use [`crate::Store::set_aside`].
///
/// # Errors
/// The folder is in use, or the rename failed (a mount point cannot be renamed).
pub fn set_aside(folder: &Path) -> Result<PathBuf, Error> {
    let lock = lock(folder)?;
    Folder {
        path: folder.to_owned(),
        files: Files::new(),
        _lock: lock,
    }
    .set_aside()
}

/// Replaces a file that is not part of a store: writes it under a temporary name, syncs it, renames
/// it, and syncs the folder. Each name must have one writer. If it fails, the file has its earlier
/// or the new content, and can be replaced again.
///
/// # Errors
/// A file operation failed.
pub fn replace_file(
    files: &mut Files,
    folder: &Path,
    name: &str,
    bytes: &[u8],
) -> Result<(), Error> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let replaced = files.create(&temporary).and_then(|handle| {
        files.write(&handle, 0, bytes)?;
        files.sync(&handle)?;
        files.rename(&temporary, &path)?;
        files.sync_folder(folder)
    });
    replaced.map_err(|error| {
        // It takes up space, and the next call replaces it if it stays.
        let _ = files.remove(&temporary);
        io_error("replace", &path, 0, error)
    })
}

/// Exclusive lock on a folder, released on drop.
struct Lock(File);

impl Drop for Lock {
    /// Unlocks explicitly, because closing the file is not enough: a child process that is being
    /// forked has a copy of the descriptor, and with it the lock, until it calls exec.
    fn drop(&mut self) {
        let _ = self.0.unlock();
    }
}

fn lock(folder: &Path) -> Result<Lock, Error> {
    let path = folder.join(LOCK_FILE);
    let fail = |error| io_error("lock", &path, 0, error);
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(&path);
    let file = file.map_err(fail)?;
    let lock = match file.try_lock() {
        Ok(()) => Lock(file),
        Err(TryLockError::WouldBlock) => {
            return Err(Error::Locked {
                folder: folder.to_owned(),
            });
        }
        Err(TryLockError::Error(error)) => return Err(fail(error)),
    };
    // Another process can rename the folder between opening and locking the lock file.
    let (opened, current) = (
        lock.0.metadata().map_err(fail)?,
        fs::metadata(&path).map_err(fail)?,
    );
    if (opened.dev(), opened.ino()) != (current.dev(), current.ino()) {
        return Err(Error::Locked {
            folder: folder.to_owned(),
        });
    }
    Ok(lock)
}

fn sync_parent(files: &mut Files, path: &Path) -> Result<(), Error> {
    let parent = match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    };
    let result = files.sync_folder(parent);
    result.map_err(|source| Error::Sync {
        file: parent.to_owned(),
        offset: 0,
        source,
    })
}

/// Whether an operation failed for lack of room.
pub(crate) fn is_full(error: &io::Error) -> bool {
    use io::ErrorKind::{QuotaExceeded, StorageFull};
    matches!(error.kind(), StorageFull | QuotaExceeded)
}

fn is_store_file(name: &str) -> bool {
    name == HARD_STATE_FILE
        || parse_number(name, SEGMENT_PREFIX).is_some()
        || parse_number(name, SNAPSHOT_PREFIX).is_some()
}

fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}
