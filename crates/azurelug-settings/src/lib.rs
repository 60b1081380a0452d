//! Reading of YAML settings, and log set-up.
//!
//! Each binary declares its own settings type. This crate reads it, reports the first problem in a
//! single line with file, line, field and remedy, sets up the logs, and writes their last lines before
//! the process exits.

pub mod clients;
pub mod error;
pub mod log_setup;
pub mod queue;
pub mod read;
pub mod runtime;
pub mod span;

pub use clients::ClientLimits;
pub use error::Error;
pub use span::SettingDuration;
