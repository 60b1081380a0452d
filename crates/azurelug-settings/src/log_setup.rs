//! Sets up `log4rs` from the `log` section of the settings, which all binaries share.

use std::path::{Path, PathBuf};

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use serde::Deserialize;

use crate::Error;
use crate::queue::QueueAppender;

/// One line for each event: time, level, text. The text starts with the component's prefix.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// The `log` section of the settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// `text` or `json`.
    pub format: String,
    /// File to append to; standard error if absent.
    pub file: Option<PathBuf>,
    /// Whether lines are written to standard output instead, through a bounded queue that never
    /// blocks the caller.
    pub stdout: bool,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            format: "text".to_owned(),
            file: None,
            stdout: false,
        }
    }
}

impl Log {
    /// Sets up the process-wide logger.
    ///
    /// Unless `stdout` is set, appenders write in the caller's thread. Therefore code on the
    /// request path logs at `debug`, which is disabled in production, or limits its lines.
    ///
    /// # Errors
    /// `Log` names the invalid field.
    pub fn start(&self) -> Result<(), Error> {
        let config = self.config()?;
        log4rs::init_config(config)
            .map(|_| ())
            .map_err(|error| Error::Log {
                field: "level",
                message: error.to_string(),
            })
    }

    /// Checks the section, which was read from the settings file `path`, without setting up the
    /// logger.
    ///
    /// # Errors
    /// `Value` names the file and the invalid field.
    pub fn check(&self, path: &Path) -> Result<(), Error> {
        let checked = self.level().and_then(|_| self.encoder());
        match checked {
            Err(Error::Log { field, message }) => Err(Error::value(
                path,
                format!("log.{field}"),
                message,
                "choose one of the values in docs/settings.md",
            )),
            Err(other) => Err(other),
            Ok(_) => Ok(()),
        }
    }

    fn config(&self) -> Result<Config, Error> {
        let level = self.level()?;
        let appender: Box<dyn Append> = match &self.file {
            None if self.stdout => {
                let queue = QueueAppender::start(self.encoder()?, std::io::stdout());
                Box::new(queue.map_err(|error| Error::Log {
                    field: "stdout",
                    message: error.to_string(),
                })?)
            }
            None => Box::new(
                ConsoleAppender::builder()
                    .target(Target::Stderr)
                    .encoder(self.encoder()?)
                    .build(),
            ),
            Some(path) => {
                let built = FileAppender::builder().encoder(self.encoder()?).build(path);
                Box::new(built.map_err(|error| Error::Log {
                    field: "file",
                    message: format!("{}: {error}", path.display()),
                })?)
            }
        };
        Config::builder()
            .appender(Appender::builder().build("main", appender))
            .build(Root::builder().appender("main").build(level))
            .map_err(|error| Error::Log {
                field: "file",
                message: error.to_string(),
            })
    }

    fn level(&self) -> Result<LevelFilter, Error> {
        self.level.parse().map_err(|_| Error::Log {
            field: "level",
            message: format!(
                "'{}' is none of error, warn, info, debug, trace",
                self.level
            ),
        })
    }

    fn encoder(&self) -> Result<Box<dyn Encode>, Error> {
        match self.format.as_str() {
            "text" => Ok(Box::new(PatternEncoder::new(LINE_PATTERN))),
            "json" => Ok(Box::new(JsonEncoder::new())),
            other => Err(Error::Log {
                field: "format",
                message: format!("'{other}' is neither text nor json"),
            }),
        }
    }
}
