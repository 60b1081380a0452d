//! The file with the records of accused parts, which outlives a restart of all daemons at once.
//!
//! Each control daemon writes its own, so that it needs no leader. The file is a hint: one that is
//! missing, damaged or written by another release counts as empty, and a failed write is repeated.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

use azurelug_core::gateway::quarantine::Changes;
use azurelug_storage::Files;
use azurelug_types::fleet::SuspectPart;
use azurelug_wire::codec;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Name of the file in the data folder.
const FILE_NAME: &str = "accused-parts";

/// First bytes of the file. They change with the format of the content.
const FORMAT: &[u8] = b"accused-parts 1\n";

/// Length in bytes of the digest between the format and the content.
const DIGEST_BYTES: usize = 32;

/// Longest time for which the daemon can have been down: older records have expired.
const MAX_TIME_DOWN: Duration = Duration::from_secs(24 * 3600);

#[derive(Serialize, Deserialize)]
struct Content {
    /// Wall-clock time at which the ages in the reports were measured, in milliseconds.
    written_ms: u64,
    reports: Vec<SuspectPart>,
}

/// The file in the data folder of one control daemon.
pub struct Archive {
    folder: PathBuf,
    files: Files,
    /// Revision of the records that were written last.
    revision: u64,
    /// Digest of these records without their ages.
    digest: Option<u64>,
    has_failed: bool,
}

impl Archive {
    /// The archive in a data folder. Neither reads nor writes it.
    #[must_use]
    pub fn new(folder: &Path, files: Files) -> Self {
        Self {
            folder: folder.to_owned(),
            files,
            revision: 0,
            digest: None,
            has_failed: false,
        }
    }

    /// The records in the file, with their ages at the wall-clock time `now_ms`; none if the file
    /// is missing, damaged or unreadable.
    #[must_use]
    pub fn read(&self, now_ms: u64) -> Vec<SuspectPart> {
        let path = self.folder.join(FILE_NAME);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) => {
                if error.kind() != io::ErrorKind::NotFound {
                    log::warn!("quarantine: can't read {}: {error}", path.display());
                }
                return Vec::new();
            }
        };
        let Some(content) = decode(&bytes) else {
            log::warn!(
                "quarantine: {} is damaged or of another release; starting without accused parts",
                path.display()
            );
            return Vec::new();
        };
        let reports = content.aged(now_ms);
        log::info!("quarantine: {} accused parts restored", reports.len());
        reports
    }

    /// Revision of the records that were written last.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces the records in the file at the wall-clock time `now_ms`. Returns whether they are
    /// durable; if not, the revision stays as it was.
    pub fn write(&mut self, changes: Changes, now_ms: u64) -> bool {
        let Changes { reports, revision } = changes;
        let digest = Some(digest(&reports));
        if digest == self.digest {
            self.revision = revision;
            return true;
        }
        match self.replace(reports, now_ms) {
            Ok(()) => {
                self.revision = revision;
                self.digest = digest;
                if std::mem::take(&mut self.has_failed) {
                    log::info!("quarantine: accused parts are written again");
                }
                true
            }
            Err(error) => {
                if !std::mem::replace(&mut self.has_failed, true) {
                    log::error!("quarantine: {error}; retrying");
                }
                false
            }
        }
    }

    fn replace(&mut self, reports: Vec<SuspectPart>, now_ms: u64) -> Result<(), Error> {
        let content = codec::encode_unlimited(&Content {
            written_ms: now_ms,
            reports,
        })?;
        let digest = Sha256::digest(&content);
        let bytes = [FORMAT, digest.as_slice(), &content].concat();
        azurelug_storage::replace_file(&mut self.files, &self.folder, FILE_NAME, &bytes)?;
        Ok(())
    }
}

/// Why the file was not written.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Storage(#[from] azurelug_storage::Error),
    #[error(transparent)]
    Encode(#[from] azurelug_wire::Error),
}

impl Content {
    /// The reports, older by the time since they were written. The wall clock may have been set
    /// meanwhile, so that this time is limited.
    fn aged(self, now_ms: u64) -> Vec<SuspectPart> {
        let limit = u64::try_from(MAX_TIME_DOWN.as_millis()).unwrap_or(u64::MAX);
        let down = now_ms.saturating_sub(self.written_ms).min(limit);
        let mut reports = self.reports;
        for report in &mut reports {
            let crashes = report.crashes.iter_mut().map(|crash| &mut crash.age_ms);
            let ages = crashes.chain(&mut report.probe_ages_ms);
            for age in ages.chain(&mut report.progress_age_ms) {
                *age = age.saturating_add(down);
            }
        }
        reports
    }
}

/// A digest that does not depend on the order of the reports.
fn digest(reports: &[SuspectPart]) -> u64 {
    let digest = |report: &SuspectPart| {
        let mut hasher = DefaultHasher::new();
        report.part.hash(&mut hasher);
        for crash in &report.crashes {
            crash.target.hash(&mut hasher);
        }
        report.probe_ages_ms.len().hash(&mut hasher);
        hasher.finish()
    };
    reports.iter().map(digest).fold(0, u64::wrapping_add)
}

fn decode(bytes: &[u8]) -> Option<Content> {
    let rest = bytes.strip_prefix(FORMAT)?;
    let (digest, content) = rest.split_at_checked(DIGEST_BYTES)?;
    if Sha256::digest(content).as_slice() != digest {
        return None;
    }
    codec::decode_unlimited(content).ok()
}
