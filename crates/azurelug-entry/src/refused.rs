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
const LINES_PER_SECOND: u32 = 100;

/// The rate limiter of refusal lines.
#[derive(Debug, Default)]
pub struct Refused {
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    second: u64,
    written: u32,
    left_out: u64,
}

impl Refused {
    /// Logs a refusal at `now`, the time since the process started. `route` is the configured
    /// pipeline or service that the request names, if any.
    pub fn log(&self, refusal: &Refusal, route: Option<&str>, now: Duration) {
        let id = &refusal.request_id;
        let (reason, execution) = (text(&refusal.reason), text(&refusal.execution));
        let route = route.unwrap_or("none");
        if refusal.execution != Execution::NotRun {
            // Operators search for these lines. They need no rate limit, because the capacity of
            // the targets limits their number.
            log::warn!("entry: request {id} to {route} failed: {reason}, {execution}");
            return;
        }
        let Some(left_out) = self.count(now) else {
            return;
        };
        if left_out > 0 {
            log::info!("entry: {left_out} lines about refused requests were suppressed");
        }
        log::info!("entry: request {id} to {route} refused: {reason}, {execution}");
    }

    /// Counts a line. Returns the number of lines suppressed since the last one logged, or `None`
    /// if this line has to be suppressed too.
    pub fn count(&self, now: Duration) -> Option<u64> {
        let mut window = self.window.lock().expect("no holder of the lock panics");
        if window.second != now.as_secs() {
            window.second = now.as_secs();
            window.written = 0;
        }
        if window.written == LINES_PER_SECOND {
            window.left_out += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.left_out))
    }
}

/// The serialized name of a reason or an execution.
pub(crate) fn text<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
