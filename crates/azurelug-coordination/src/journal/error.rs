//! Errors found in the content of the journal's files.

use thiserror::Error;

/// Restoring single files from a backup is unsafe: a member with an older hard state can vote twice
/// in a term.
const REMEDY: &str =
    "set the data folder aside, so that this member rejoins under a new incarnation";

/// Error found in a file. The message names the file, the offset and the remedy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FormatError {
    /// Bytes that were synced are damaged or missing.
    #[error("{file}: corrupt at byte {offset}: {reason}; {REMEDY}")]
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
        /// What is wrong at that offset.
        reason: String,
    },
    /// The file is intact and belongs to another cluster.
    #[error(
        "{file}: belongs to cluster {found:032x} (cluster id at byte 16), this daemon is configured \
         for cluster {expected:032x}; correct the cluster id or the data folder in the settings"
    )]
    WrongCluster {
        /// Name of the file.
        file: String,
        /// Cluster id in the file.
        found: u128,
        /// Cluster id in the settings.
        expected: u128,
    },
    /// The file is intact and was written by a program version with another file format.
    #[error(
        "{file}: format version {found} (at byte 12), this program reads version {expected}; start \
         the program version that wrote the data folder"
    )]
    UnsupportedVersion {
        /// Name of the file.
        file: String,
        /// Version in the file.
        found: u32,
        /// Version that this program reads.
        expected: u32,
    },
}

impl FormatError {
    /// Builds [`FormatError::Corrupt`].
    pub(crate) fn corrupt(file: &str, offset: u64, reason: impl Into<String>) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset,
            reason: reason.into(),
        }
    }
}
