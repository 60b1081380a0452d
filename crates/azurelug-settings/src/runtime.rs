//! Runs a daemon's main task and shuts its runtime and its log down.

use std::future::Future;

use tokio::runtime::Runtime;

/// Runs the main task of a daemon until it ends. Then ends the tasks that are still running and
/// writes the queued log lines, also those of the tasks' ends.
pub fn run_to_exit<F: Future>(runtime: Runtime, main: F) -> F::Output {
    let output = runtime.block_on(main);
    drop(runtime);
    log::logger().flush();
    output
}
