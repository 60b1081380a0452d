//! `azurelug-testkit reporter`: runs a load reporter.

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_testkit::Reporter;
use azurelug_testkit::reporter::Settings;
use bpaf::Bpaf;

use super::Error;

#[derive(Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Address to listen on; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Engine that is polled; may be repeated
    #[bpaf(argument("ADDRESS"))]
    engine: Vec<SocketAddr>,
    /// Interval between polls, at least 1
    #[bpaf(
        argument("MS"),
        guard(is_positive, "must be at least 1"),
        fallback(100)
    )]
    interval_ms: u64,
    /// Age of the polls that are reported
    #[bpaf(argument("MS"), fallback(0))]
    lag_ms: u64,
    /// Fraction of entries, 0.0 to 1.0, that are left out of each poll
    #[bpaf(argument("SHARE"), fallback(0.0))]
    missing: f64,
    /// Seed for the choice of missing entries
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
}

fn is_positive(value: &u64) -> bool {
    *value > 0
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    let settings = Settings {
        engines: arguments.engine,
        interval: Duration::from_millis(arguments.interval_ms),
        lag: Duration::from_millis(arguments.lag_ms),
        missing: arguments.missing,
        seed: arguments.seed,
    };
    let reporter = Reporter::start(arguments.listen, settings).await?;
    super::serve_until_signal(reporter.address()).await
}
