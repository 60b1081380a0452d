//! Command line and settings of the control daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use azurelug_settings::log_setup::Log;
use azurelug_settings::{Error, read};
use azurelug_types::id::{DaemonName, ZoneName};
use bpaf::Bpaf;
use serde::Deserialize;

/// Control daemon of azurelug: replicated configuration, claims, leases and shares
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Settings file in YAML, for instance control.yaml
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings and exit
    #[bpaf(switch)]
    pub check: bool,
    /// Initialize an empty data folder as a founding member; once for each member of a new cluster
    #[bpaf(switch)]
    pub initialize: bool,
}

/// The settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This daemon's name, unique in the cluster.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The cluster's id, the same in all settings files.
    pub cluster: String,
    /// File with the shared key, at least 32 bytes of text.
    pub key_file: PathBuf,
    /// Address for entry daemons and other control daemons.
    pub internal: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Folder for the durable state. No other process may use it.
    pub data: PathBuf,
    /// All control daemons of the cluster, this one included.
    pub members: Vec<Member>,
    /// The platform's list of live and leaving VMs.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// One control daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its position, from 1, never reused for another VM.
    pub slot: u16,
    /// Its name.
    pub name: DaemonName,
    /// Its address for internal connections.
    pub address: SocketAddr,
}

impl Settings {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// The first problem, with its field and remedy.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = read::file(path)?;
        settings.check(path)?;
        Ok(settings)
    }

    /// This daemon's own entry among the members.
    pub fn own(&self) -> Option<&Member> {
        self.members.iter().find(|member| member.name == self.name)
    }

    fn check(&self, path: &Path) -> Result<(), Error> {
        let problem = |field: &str, message: String, help: &str| {
            Err(Error::value(path, field, message, help))
        };
        if self.cluster.is_empty() {
            return problem(
                "cluster",
                "empty".to_owned(),
                "choose an id for the cluster",
            );
        }
        let Some(own) = self.own() else {
            let message = format!("none is named '{}'", self.name);
            return problem("members", message, "list this daemon too");
        };
        if own.address != self.internal {
            let message = format!("'{}' has address {}", self.name, own.address);
            return problem("members", message, "use the address of `internal`");
        }
        for (index, member) in self.members.iter().enumerate() {
            let earlier = &self.members[..index];
            let is_repeated = |other: &Member| {
                other.slot == member.slot
                    || other.name == member.name
                    || other.address == member.address
            };
            if member.slot == 0 || earlier.iter().any(is_repeated) {
                let field = format!("members[{index}]");
                let help = "give each member its own slot from 1, name and address";
                return problem(
                    &field,
                    "slot, name or address is used twice".to_owned(),
                    help,
                );
            }
        }
        self.log.check(path)?;
        read::shared_key(&self.key_file).map(|_| ())
    }
}
