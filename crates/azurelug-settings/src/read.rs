//! Reads settings files and files that settings refer to.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::Error;

/// Reads and parses one YAML file.
///
/// # Errors
/// `Read` if the file can't be read, `Parse` with line and column if its content does not match the
/// type.
pub fn file<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = text(path)?;
    serde_saphyr::from_str(&text).map_err(|error| {
        let (line, column) = error
            .location()
            .map_or((0, 0), |location| (location.line(), location.column()));
        let message = error.without_snippet().to_string();
        let message = message.lines().next().unwrap_or_default();
        // The location is part of `Error::Parse`, so it is removed from the message.
        let message = message.split(" at line ").next().unwrap_or_default();
        let message = match field_at(&text, line, column) {
            Some(field) => format!("{field}: {message}"),
            None => message.to_owned(),
        };
        Error::Parse {
            path: path.to_owned(),
            line,
            column,
            message,
        }
    })
}

/// Finds the key whose value starts at the given line and column, counted from 1.
fn field_at(text: &str, line: u64, column: u64) -> Option<String> {
    let index = |number: u64| usize::try_from(number).ok()?.checked_sub(1);
    let line = text.lines().nth(index(line)?)?;
    let before: String = line.chars().take(index(column)?).collect();
    let key = before.trim_end().strip_suffix(':')?;
    let key = key.rsplit([' ', '{', ',']).next()?;
    (!key.is_empty()).then(|| key.to_owned())
}

/// Reads a text file.
///
/// # Errors
/// `Read` if the file can't be read.
pub fn text(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

/// Reads the cluster's shared key from `key_file`, the file named by that field of `settings`.
/// Surrounding white space is removed.
///
/// # Errors
/// `Value` if the file can't be read or the key is shorter than 32 bytes.
pub fn shared_key(settings: &Path, key_file: &Path) -> Result<Vec<u8>, Error> {
    let invalid = |message: String, help: &str| {
        let message = format!("{}: {message}", key_file.display());
        Error::value(settings, "key_file", message, help)
    };
    let text = std::fs::read_to_string(key_file)
        .map_err(|source| invalid(source.to_string(), "create the file or correct the path"))?;
    let key = text.trim().as_bytes().to_vec();
    if key.len() < 32 {
        let help = "write at least 32 random bytes as text, the same on every VM";
        return Err(invalid(format!("key has only {} bytes", key.len()), help));
    }
    Ok(key)
}
