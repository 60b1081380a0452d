//! Logs one line for each request that was refused or failed.
//!
//! Owns the rate limit of these lines: they are written on the request path, and under overload
//! thousands of requests are refused each second. Lines never contain bodies, keys or names made up
//! by a caller.

use std::sync::Mutex;
use std::time::Duration;

use azurelug_types::outcome::{Execution, Refusal};
use serde::Serialize;

/// Rate limit of lines about requests that were not run; enough to see why callers are refused.
const MAX_LINES_PER_SECOND: u32 = 100;

/// The rate limiter of refusal lines.
#[derive(Debug, Default)]
pub struct RefusalLog {
    window: Mutex<RateWindow>,
}

#[derive(Debug, Default)]
struct RateWindow {
    second: u64,
    written: u32,
    suppressed: u64,
}

impl RefusalLog {
    /// Logs a refusal at `now`, the time since the process started. `route` is the configured
    /// pipeline or service that the request names, if any.
    pub fn log(&self, refusal: &Refusal, route: Option<&str>, now: Duration) {
        let id = &refusal.request_id;
        let (reason, execution) = (
            serialized_name(&refusal.reason),
            serialized_name(&refusal.execution),
        );
        let route = route.unwrap_or("none");
        if refusal.execution != Execution::NotRun {
            // Operators search for these lines. They need no rate limit, because the capacity of
            // the targets limits their number.
            log::warn!("entry: request {id} to {route} failed: {reason}, {execution}");
            return;
        }
        let Some(suppressed) = self.count_line(now) else {
            return;
        };
        if suppressed > 0 {
            log::info!("entry: {suppressed} lines about refused requests were suppressed");
        }
        log::info!("entry: request {id} to {route} refused: {reason}, {execution}");
    }

    /// Counts a line. Returns the number of lines suppressed since the last one logged, or `None`
    /// if this line has to be suppressed too.
    pub fn count_line(&self, now: Duration) -> Option<u64> {
        let mut window = self.window.lock().expect("no holder of the lock panics");
        if window.second != now.as_secs() {
            window.second = now.as_secs();
            window.written = 0;
        }
        if window.written == MAX_LINES_PER_SECOND {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}

/// The serialized name of a reason or an execution.
pub(crate) fn serialized_name<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
