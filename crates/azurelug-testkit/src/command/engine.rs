//! `azurelug-testkit engine`: runs an engine double.

use std::net::SocketAddr;
use std::time::Duration;

use azurelug_testkit::Engine;
use azurelug_testkit::engine::Settings;
use bpaf::Bpaf;

use super::Error;

#[derive(Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    /// Address to listen on; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Model string that is loaded at startup; may be repeated
    #[bpaf(argument("MODEL"))]
    model: Vec<String>,
    /// Role at startup
    #[bpaf(argument("ROLE"), fallback("generate".to_owned()))]
    role: String,
    /// Maximum number of concurrently running calls
    #[bpaf(argument("CALLS"), fallback(8))]
    limit: usize,
    /// Maximum number of calls that wait for a free slot
    #[bpaf(argument("CALLS"), fallback(16))]
    queue: usize,
    /// Duration of a prefill, and of every call that generates no text
    #[bpaf(argument("MS"), fallback(5))]
    prefill_ms: u64,
    /// Time per generated token
    #[bpaf(argument("MS"), fallback(1))]
    token_ms: u64,
    /// Maximum number of concurrently running calls during a cold start
    #[bpaf(argument("CALLS"), fallback(2))]
    cold_limit: usize,
    /// Number of completed calls after which a cold start ends; 0 starts warm
    #[bpaf(argument("CALLS"), fallback(0))]
    warm_after: u64,
    /// Factor by which a cold start multiplies the prefill time
    #[bpaf(argument("FACTOR"), fallback(1))]
    cold_factor: u32,
    /// Age of the values in load reports
    #[bpaf(argument("MS"), fallback(0))]
    lag_ms: u64,
    /// Delay between a cache event and its publication
    #[bpaf(argument("MS"), fallback(0))]
    cache_lag_ms: u64,
    /// Fraction of cache events, 0.0 to 1.0, that are never published
    #[bpaf(argument("SHARE"), fallback(0.0))]
    cache_gaps: f64,
    /// Capacity of the cache in prefix blocks
    #[bpaf(argument("BLOCKS"), fallback(256))]
    cache_blocks: usize,
    /// Time to load a model
    #[bpaf(argument("MS"), fallback(0))]
    load_ms: u64,
    /// Accept orders regardless of their fencing number
    ignore_fencing: bool,
    /// Seed for the choice of unpublished cache events
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
}

pub(crate) async fn run(arguments: Arguments) -> Result<(), Error> {
    let mut models = arguments.model;
    if models.is_empty() {
        models = Settings::default().models;
    }
    let settings = Settings {
        models,
        role: arguments.role,
        max_running: arguments.limit,
        max_waiting: arguments.queue,
        prefill_time: Duration::from_millis(arguments.prefill_ms),
        token_time: Duration::from_millis(arguments.token_ms),
        cold_limit: arguments.cold_limit,
        warm_after: arguments.warm_after,
        cold_factor: arguments.cold_factor,
        load_lag: Duration::from_millis(arguments.lag_ms),
        cache_lag: Duration::from_millis(arguments.cache_lag_ms),
        cache_gap_rate: arguments.cache_gaps,
        cache_blocks: arguments.cache_blocks,
        load_time: Duration::from_millis(arguments.load_ms),
        ignores_fencing: arguments.ignore_fencing,
        seed: arguments.seed,
    };
    let engine = Engine::start(arguments.listen, settings).await?;
    super::serve_until_signal(engine.address()).await
}
