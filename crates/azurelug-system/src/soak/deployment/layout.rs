//! Addresses and settings of the daemons of a run.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::super::keys::REVOCATION;
use super::super::plan::zone_name;
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
             calls_per_second: 50\n",
            zone_name(number),
            self.common(),
            at(self.internal),
            data.display(),
            self.seeds,
            self.list,
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
             retry_extra: 200\n  cold_factor: 1.5\n  cold_extra: 5\n",
            zone_name(number),
            self.common(),
            at(self.internal),
            self.seeds,
            REVOCATION.as_secs(),
        );
        let (process, _) = self.process("azurelug-gateway", &name, &settings);
        Gateway {
            process,
            clients,
            admin,
        }
    }
}
