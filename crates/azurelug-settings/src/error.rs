//! Errors in settings files.

use std::path::PathBuf;

/// What is wrong, where, and what to do about it. Each text is one line.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {source}; create the file or correct the path", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid YAML, or a key is unknown, missing or of the wrong type.
    #[error("{}:{line}:{column}: {message}; see docs/settings.md", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The line, from 1; 0 if not known.
        line: u64,
        /// The column, from 1; 0 if not known.
        column: u64,
        /// The parser's message.
        message: String,
    },
    /// A value does not fit.
    #[error("{}: {field}: {message}; {help}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The field, with dots between levels.
        field: String,
        /// What is wrong.
        message: String,
        /// What to do about it.
        help: String,
    },
    /// The logs can't be set up.
    #[error("log.{field}: {message}; correct the log section")]
    Log {
        /// The field.
        field: &'static str,
        /// The cause.
        message: String,
    },
}
