//! `azurelug-testkit service`: runs a service double.

use std::net::SocketAddr;

use azurelug_testkit::Service;
use azurelug_testkit::service::{Faults, Settings};
use bpaf::Bpaf;

use super::Error;

#[derive(Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Address to listen on; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Delay between execution and response
    #[bpaf(argument("MS"), fallback(0))]
    delay_ms: u64,
    /// Fraction of calls, 0.0 to 1.0, that are executed and whose response is lost
    #[bpaf(argument("SHARE"), fallback(0.0))]
    lose_share: f64,
    /// Seed of the random faults
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    let faults = Faults {
        delay_ms: arguments.delay_ms,
        lose_share: arguments.lose_share,
        ..Faults::default()
    };
    let seed = arguments.seed;
    let service = Service::start(arguments.listen, Settings { seed, faults }).await?;
    super::serve_until_signal(service.address()).await
}
