//! YAML settings with checks, and log set-up.
//!
//! Each binary declares its own settings type; this crate reads it, reports the first problem in one
//! line that names file, line, field and remedy, and sets up the logs.

pub mod error;
pub mod log_setup;
pub mod queue;
pub mod read;
pub mod span;

pub use error::Error;
pub use span::Span;
