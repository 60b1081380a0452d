//! The durable list of entry daemons that may have leased shares.
//!
//! Owns one file in the data folder, whose lock the store holds. A list counts as written only once
//! file and folder are synced; after a failure it must never be written again by this process.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use azurelug_coordination::lease::Identity;
use azurelug_wire::codec;
use sha2::{Digest, Sha256};

/// The file's name. The store removes what a crash left under [`TEMPORARY`] when it opens the folder.
const FILE: &str = "holders";

const TEMPORARY: &str = "holders.tmp";

/// Bytes of the digest before the content.
const DIGEST: usize = 32;

/// The file.
#[derive(Debug)]
pub struct Holders {
    folder: PathBuf,
    written: BTreeSet<Identity>,
    has_failed: bool,
}

impl Holders {
    /// Reads the list that the earlier start left; none if there is none or it is damaged.
    pub fn open(folder: &Path) -> (Self, Option<BTreeSet<Identity>>) {
        let earlier = match fs::read(folder.join(FILE)) {
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

    /// What the file holds.
    pub fn written(&self) -> &BTreeSet<Identity> {
        &self.written
    }

    /// Replaces the list and returns whether it is durable.
    pub fn write(&mut self, list: BTreeSet<Identity>) -> bool {
        if self.has_failed {
            return false;
        }
        match publish(&self.folder, &list) {
            Ok(()) => self.written = list,
            Err(error) => {
                self.has_failed = true;
                log::error!(
                    "shares: can't write the list of holders in {}: {error}; new entry daemons get \
                     base shares only until a restart with a disk that works",
                    self.folder.display()
                );
            }
        }
        !self.has_failed
    }
}

fn decode(bytes: &[u8]) -> Option<BTreeSet<Identity>> {
    let (digest, content) = bytes.split_at_checked(DIGEST)?;
    let list = codec::decode(content).ok();
    let list = list.filter(|_| Sha256::digest(content).as_slice() == digest);
    if list.is_none() {
        log::warn!("shares: the list of holders is damaged; shares wait for the longest call");
    }
    list
}

fn publish(folder: &Path, list: &BTreeSet<Identity>) -> io::Result<()> {
    let content = codec::encode(list).map_err(io::Error::other)?;
    let temporary = folder.join(TEMPORARY);
    let mut file = File::create(&temporary)?;
    file.write_all(&Sha256::digest(&content))?;
    file.write_all(&content)?;
    file.sync_all()?;
    fs::rename(&temporary, folder.join(FILE))?;
    File::open(folder)?.sync_all()
}
