//! `azurelug-testkit proxy`: runs a fault proxy. Its ready line is `ready ADDRESS CONTROL`.

use std::net::SocketAddr;

use azurelug_testkit::Proxy;
use azurelug_testkit::proxy::{Link, Settings};
use bpaf::Bpaf;

use super::Error;

#[derive(Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Address to listen on; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Address that connections are forwarded to
    #[bpaf(argument("ADDRESS"))]
    target: SocketAddr,
    /// Address of the control interface
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    control: SocketAddr,
    /// Delay of forwarded bytes in each direction
    #[bpaf(argument("MS"), fallback(0))]
    delay_ms: u64,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    let settings = Settings {
        target: arguments.target,
        control_address: arguments.control,
        link: Link {
            delay_ms: arguments.delay_ms,
            ..Link::default()
        },
    };
    let proxy = Proxy::start(arguments.listen, settings).await?;
    super::serve_until_signal(format!("{} {}", proxy.address(), proxy.control())).await
}
