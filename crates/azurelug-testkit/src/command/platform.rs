//! `azurelug-testkit platform`: serves the platform's list of VMs.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use azurelug_testkit::Platform;
use azurelug_testkit::platform::{Settings, Vm, VmState};
use bpaf::Bpaf;

use super::Error;

#[derive(Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Address to listen on; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// VM that is live at startup; may be repeated
    #[bpaf(argument("NAME,ZONE,ADDRESS"))]
    vm: Vec<VmArgument>,
    /// Age of the list that is reported
    #[bpaf(argument("MS"), fallback(0))]
    lag_ms: u64,
}

#[derive(Clone)]
struct VmArgument(Vm);

impl FromStr for VmArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = text.split(',').collect();
        let [name, zone, address] = parts[..] else {
            return Err("expected NAME,ZONE,ADDRESS".to_owned());
        };
        let address = address.parse().map_err(|error| format!("{error}"))?;
        Ok(Self(Vm {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address,
            state: VmState::Live,
        }))
    }
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    let settings = Settings {
        vms: arguments.vm.into_iter().map(|vm| vm.0).collect(),
        lag: Duration::from_millis(arguments.lag_ms),
    };
    let platform = Platform::start(arguments.listen, settings).await?;
    super::serve_until_signal(platform.address()).await
}
