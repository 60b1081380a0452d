//! Ids, configuration model and outcomes shared by all azurelug crates.
//!
//! Owns no state and does no I/O. Every type here crosses a process boundary or a crate boundary.

pub mod config;
pub mod deployment;
pub mod derive;
pub mod fleet;
pub mod id;
pub mod outcome;
pub mod patch;
pub mod rate;
pub mod rollout;
