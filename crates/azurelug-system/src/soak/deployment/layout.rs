//! Addresses and settings of the daemons of a run.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::super::keys::REVOCATION;
use super::super::plan::zone_name;
use super::super::rollouts;
use azurelug_testkit::port;

use super::{Control, Gateway, address};
use crate::process::Process;

/// Addresses and files for the daemons' settings.
pub(super) struct Layout {
    pub(super) folder: PathBuf,
    pub(super) network: u8,
    pub(super) seeds: String,
    pub(super) internal: u16,
    pub(super) list: SocketAddr,
    /// Whether the settings hold the bounds of roll-outs.
    pub(super) has_rollouts: bool,
}

impl Layout {
    fn process(&self, binary: &str, name: &str, settings: &str) -> (Process, PathBuf) {
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("write a settings file");
        let arguments = vec!["--settings".to_owned(), file.display().to_string()];
        let log = self.folder.join(format!("{name}.log"));
        let mut process = Process::new(binary, arguments, log);
        process.start();
        (process, file)
    }

    fn common(&self) -> String {
        let key: &Path = &self.folder.join("key");
        format!("cluster: soak\nkey_file: {}\n", key.display())
    }

    /// The bounds of roll-outs, which gateways and control daemons need.
    fn rollout_bounds(&self) -> String {
        let rollback = rollouts::ROLLBACK.as_millis();
        let (share, slack) = (rollouts::EXPOSURE_SHARE, rollouts::EXPOSURE_SLACK);
        if !self.has_rollouts {
            return String::new();
        }
        format!("  exposure_share: {share}\n  exposure_slack: {slack}\n  rollback: {rollback}ms\n")
    }

    fn control_bounds(&self) -> String {
        if !self.has_rollouts {
            return String::new();
        }
        let timeout = rollouts::ACK_TIMEOUT.as_millis();
        format!(
            "bounds:\n{}  ack_timeout: {timeout}ms\n",
            self.rollout_bounds()
        )
    }

    pub(super) fn control(&self, number: u8) -> Control {
        let name = format!("control-{}", zone_name(number));
        let at = |port| address(self.network, 2, number + 1, port);
        let operators = at(port::free(&[at(0).ip()]));
        let status = at(port::free(&[at(0).ip()]));
        let data = self.folder.join(format!("{name}.state"));
        let settings = format!(
            "name: {name}\nzone: {}\n{}internal: \"{}\"\noperators: \"{status}\"\ndata: {}\n\
             discovery:\n  seeds: [{}]\n  first_start: true\n  disk_losses: 1\ndeployment:\n  \
             operators: \"{operators}\"\n  targets:\n    address: \"{}\"\n    \
             calls_per_second: 50\n{}",
            zone_name(number),
            self.common(),
            at(self.internal),
            data.display(),
            self.seeds,
            self.list,
            self.control_bounds(),
        );
        let (process, file) = self.process("azurelug-control", &name, &settings);
        Control {
            process,
            operators,
            settings: file,
            data,
        }
    }

    pub(super) fn gateway(&self, number: u8) -> Gateway {
        let name = format!("gateway-{number}");
        let at = |port| address(self.network, 3, number + 1, port);
        let clients = at(port::free(&[at(0).ip()]));
        let admin = at(port::free(&[at(0).ip()]));
        let settings = format!(
            "name: {name}\nzone: {}\n{}internal: \"{}\"\nclients: \"{clients}\"\n\
             admin: \"{admin}\"\nseeds: [{}]\nbounds:\n  revocation: {}s\n  apply: 2s\n  \
             drain: 3s\n  grace: 8s\n  retry_ratio: 0.2\n  retry_window: 10s\n  \
             retry_extra: 200\n  cold_factor: 1.5\n  cold_extra: 5\n{}",
            zone_name(number),
            self.common(),
            at(self.internal),
            self.seeds,
            REVOCATION.as_secs(),
            self.rollout_bounds(),
        );
        let (process, _) = self.process("azurelug-gateway", &name, &settings);
        Gateway {
            process,
            clients,
            admin,
        }
    }
}
