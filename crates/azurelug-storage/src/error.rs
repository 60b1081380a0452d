//! The error type of the crate.

use std::io;
use std::path::PathBuf;

use azurelug_coordination::journal::FormatError;
use thiserror::Error;

use crate::folder::is_full;

/// Error of a store operation. Each message names the file or folder and the remedy.
#[derive(Debug, Error)]
pub enum Error {
    /// Another process uses the folder.
    #[error(
        "{}: the data folder is in use by another process; stop that process or choose another \
         folder in the settings",
        folder.display()
    )]
    Locked {
        /// The data folder.
        folder: PathBuf,
    },
    /// A file is damaged, belongs to another cluster or has another format version.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// A file operation failed, other than a sync on a disk with room. The store rejects further
    /// operations.
    #[error(
        "{}: cannot {action} at byte {offset}: {source}; check free space and permissions, then \
         open the folder again",
        file.display()
    )]
    Io {
        /// The failed operation, as a verb for the message.
        action: &'static str,
        /// The file or folder.
        file: PathBuf,
        /// Offset of the operation in bytes; 0 for operations on a whole file.
        offset: u64,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A sync failed on a disk with room, so the content of the disk is unknown. The folder must not
    /// be used again.
    #[error(
        "{}: sync failed after byte {offset}: {source}; the content of the disk is unknown: set \
         the data folder aside and rejoin under a new incarnation",
        file.display()
    )]
    Sync {
        /// The file or folder.
        file: PathBuf,
        /// Offset up to which the file had been synced before, in bytes.
        offset: u64,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An earlier operation on this store failed.
    #[error(
        "{}: refused, because an earlier write failed; close the store and open the folder again",
        folder.display()
    )]
    EarlierWriteFailed {
        /// The data folder.
        folder: PathBuf,
    },
    /// A sync in this folder failed, in this process or in an earlier one.
    #[error(
        "{}: refused, because a sync in this folder failed; set the data folder aside and rejoin \
         under a new incarnation",
        folder.display()
    )]
    EarlierSyncFailed {
        /// The data folder.
        folder: PathBuf,
    },
    /// The caller passed an argument that does not fit the log. The store is unchanged.
    #[error("{}: refused: {reason}", folder.display())]
    InvalidArgument {
        /// The data folder.
        folder: PathBuf,
        /// What is wrong with the argument and what is expected.
        reason: String,
    },
}

impl Error {
    /// Whether a write or sync failed because the disk is full. Data synced before is intact, and the
    /// folder can be opened again once there is free space.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Io { source, .. } if is_full(source))
    }
}
