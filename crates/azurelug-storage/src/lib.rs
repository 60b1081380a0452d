//! Storage of one data folder: the journal's segments, the snapshot and the hard state.
//!
//! All file I/O blocks, so a daemon calls it from a dedicated thread. Data is durable only after
//! [`Store::sync`] (or a `save_*` function) has returned. A store must not be used after a failed
//! write or sync. After a failed sync on a disk with room, the folder must not be read again under
//! the same incarnation: the page cache can contain data that is not on the disk.

mod error;
mod files;
mod folder;
mod store;

pub use azurelug_coordination::journal::{Entry, FormatError, HardState, Position, Snapshot};
pub use error::Error;
pub use files::{Files, Hook, HookDecision, Op};
pub use folder::{replace_file, set_aside};
pub use store::{Recovered, Store};
