//! The durable list of entry daemons that may have leased shares.
//!
//! The list is one file in the data folder, which the store has locked. It counts as written only
//! when the file and the folder are synced. After a failed write, this process must not write it
//! again.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use azurelug_coordination::lease::Identity;
use azurelug_wire::codec;
use sha2::{Digest, Sha256};

/// Name of the file. A [`TEMPORARY_NAME`] file that remains after a crash or a failed write is
/// replaced by the next write.
const FILE_NAME: &str = "holders";

const TEMPORARY_NAME: &str = "holders.tmp";

/// Length in bytes of the digest before the content.
const DIGEST_BYTES: usize = 32;

/// The file and the list that was last written to it.
#[derive(Debug)]
pub struct Holders {
    folder: PathBuf,
    written: BTreeSet<Identity>,
    has_failed: bool,
}

impl Holders {
    /// Reads the list that an earlier start wrote; none if it does not exist, is damaged or
    /// unreadable.
    pub fn open(folder: &Path) -> (Self, Option<BTreeSet<Identity>>) {
        let earlier = match fs::read(folder.join(FILE_NAME)) {
            Ok(bytes) => decode(&bytes),
            Err(error) => {
                if error.kind() != io::ErrorKind::NotFound {
                    log::warn!("shares: can't read the list of holders: {error}");
                }
                None
            }
        };
        let holders = Self {
            folder: folder.to_owned(),
            written: earlier.clone().unwrap_or_default(),
            has_failed: false,
        };
        (holders, earlier)
    }

    /// The list in the file.
    pub fn written(&self) -> &BTreeSet<Identity> {
        &self.written
    }

    /// Replaces the list and returns whether it is durable.
    pub fn write(&mut self, list: BTreeSet<Identity>) -> bool {
        if self.has_failed {
            return false;
        }
        match write_durably(&self.folder, &list) {
            Ok(()) => self.written = list,
            Err(error) => {
                self.has_failed = true;
                log::error!(
                    "shares: can't write the list of holders in {}: {error}; new entry daemons get \
                     base shares only until a restart with a working disk",
                    self.folder.display()
                );
            }
        }
        !self.has_failed
    }
}

fn decode(bytes: &[u8]) -> Option<BTreeSet<Identity>> {
    let (digest, content) = bytes.split_at_checked(DIGEST_BYTES)?;
    let list = codec::decode(content).ok();
    let list = list.filter(|_| Sha256::digest(content).as_slice() == digest);
    if list.is_none() {
        log::warn!(
            "shares: the list of holders is damaged; shares are granted only after the longest \
             possible call"
        );
    }
    list
}

fn write_durably(folder: &Path, list: &BTreeSet<Identity>) -> io::Result<()> {
    let content = codec::encode(list).map_err(io::Error::other)?;
    let temporary = folder.join(TEMPORARY_NAME);
    let mut file = File::create(&temporary)?;
    file.write_all(&Sha256::digest(&content))?;
    file.write_all(&content)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
