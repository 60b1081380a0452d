//! The shell that owns one data folder: the journal's segments, the snapshot and the hard state.
//!
//! Blocking file I/O; a daemon calls it from a dedicated thread. Nothing counts as written before
//! [`Store::sync`] (or a `save_*` function) has returned. The store must never be used after a
//! failed write or sync, and a folder whose sync failed must never be read again under the same
//! incarnation: the page cache can show data that the disk does not hold.

mod error;
mod files;
mod folder;
mod store;

pub use azurelug_coordination::journal::{Entry, Fault, HardState, Position, Snapshot};
pub use error::Error;
pub use files::{Files, Hook, Op, Verdict};
pub use folder::set_aside;
pub use store::{Recovered, Store};
