//! A configuration version, indexed for request handling.

use std::collections::HashMap;
use std::sync::Arc;

use azurelug_types::config::{Account, Config, OnPartition};
use azurelug_types::id::{AccountName, ZoneName};
use sha2::{Digest, Sha256};

/// A configuration version with its lookup tables.
#[derive(Debug)]
pub struct View {
    /// The configuration.
    pub config: Arc<Config>,
    /// The policy of this daemon's zone for the time after the configuration lease has expired.
    pub on_partition: OnPartition,
    accounts: HashMap<String, AccountName>,
}

impl View {
    /// Builds the lookup tables for a daemon in `zone`.
    pub fn new(config: Arc<Config>, zone: &ZoneName) -> Self {
        let on_partition = config
            .zones
            .get(zone)
            .map(|zone| zone.on_partition)
            .unwrap_or_default();
        let accounts = config
            .accounts
            .iter()
            .map(|(name, account)| (account.key_digest.clone(), name.clone()))
            .collect();
        Self {
            config,
            on_partition,
            accounts,
        }
    }

    /// Finds the account of an API key.
    pub fn account_by_key(&self, key: &str) -> Option<(&AccountName, &Account)> {
        let name = self.accounts.get(&hex(&Sha256::digest(key.as_bytes())))?;
        self.config.accounts.get_key_value(name)
    }
}

/// Encodes `bytes` as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
