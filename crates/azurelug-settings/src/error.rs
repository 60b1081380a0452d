//! Errors in settings files.

use std::path::{Path, PathBuf};

/// What is wrong with the settings, where, and what to do. Each text is one line.
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
    /// A value is invalid.
    #[error("{}:{line}: {field}: {message}; {help}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The line of the field, from 1.
        line: usize,
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

impl Error {
    /// Creates the error for a value that was parsed but is invalid, with the line of its field.
    pub fn value(
        path: &Path,
        field: impl Into<String>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        let field = field.into();
        let text = std::fs::read_to_string(path).unwrap_or_default();
        Self::Value {
            path: path.to_owned(),
            line: line_of(&text, &field),
            field,
            message: message.into(),
            help: help.into(),
        }
    }
}

/// Finds the line of a field such as `log.level` or `members[2]`. Searches for each key of the path
/// after the previous one; keys that are not found are skipped. Line 1 if none is found.
fn line_of(text: &str, field: &str) -> usize {
    let mut found_index = 0;
    for key in field.split('.') {
        let key = key.split('[').next().unwrap_or(key);
        let is_key = |line: &str| {
            let line = line.trim_start().trim_start_matches("- ");
            line.strip_prefix(key)
                .is_some_and(|rest| rest.starts_with(':'))
        };
        let next = text
            .lines()
            .enumerate()
            .skip(found_index)
            .find(|(_, line)| is_key(line));
        found_index = next.map_or(found_index, |(index, _)| index);
    }
    found_index + 1
}
