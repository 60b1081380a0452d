//! The errors of the command line and their exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use azurelug_types::id::Version;

/// The exit codes, for the help text; docs/operators.md repeats them.
pub(crate) const EXIT_CODES: &str = "Exit codes: 0 done, 1 other error, 2 conflict, \
    3 invalid patch or file, 4 no control daemon answers, 5 not in force in time";

/// An error. Its message says what went wrong and what to do.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("can't start the runtime: {source}; check the limits on threads and memory")]
    Runtime { source: std::io::Error },
    #[error("{}: {message}; see docs/operators.md for the form of a patch", path.display())]
    File { path: PathBuf, message: String },
    #[error("name at least one control daemon with --control ADDRESS before the command")]
    NoControl,
    #[error("no control daemon answers: {message}; check --control and the daemons")]
    Unreachable { message: String },
    #[error("{address} answered {status}: {message}")]
    Refused {
        address: SocketAddr,
        status: u16,
        message: String,
    },
    #[error("version {current} is in force now; look at `azurelug config`, then send a new patch")]
    Conflict { current: Version },
    #[error("{}: {message}", path.display())]
    Document { path: PathBuf, message: String },
    #[error("{field}: {help}")]
    Invalid { field: String, help: String },
    #[error("{address} sent a malformed answer: {message}; check that the releases are compatible")]
    Malformed {
        address: SocketAddr,
        message: String,
    },
    #[error("version {version} is not in force everywhere after {seconds} s: {missing}")]
    NotInForce {
        version: Version,
        seconds: u64,
        missing: String,
    },
}

impl Error {
    /// The exit code, see [`EXIT_CODES`]. bpaf also exits with 1 for an invalid command line.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Conflict { .. } => 2,
            Self::Invalid { .. } | Self::File { .. } | Self::Document { .. } => 3,
            Self::Unreachable { .. } => 4,
            Self::NotInForce { .. } => 5,
            Self::Runtime { .. }
            | Self::NoControl
            | Self::Refused { .. }
            | Self::Malformed { .. } => 1,
        })
    }
}
