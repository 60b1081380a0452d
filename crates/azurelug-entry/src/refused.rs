//! One log line for each request that was refused or failed.
//!
//! Owns the limit on such lines: they are written on the request's own path, and an overload refuses
//! thousands of requests a second. Lines never hold bodies, keys or names that a caller made up.

use std::sync::Mutex;
use std::time::Duration;

use azurelug_types::outcome::{Execution, Refusal};
use serde::Serialize;

/// Lines about requests that were not run, each second: enough to find out why callers are refused.
const LINES_PER_SECOND: u32 = 100;

/// The limit's state.
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
    /// Writes the line at `now`, the time since the process started. `route` is the name of a
    /// pipeline or a service of the configuration, if the request names one.
    pub fn log(&self, refusal: &Refusal, route: Option<&str>, now: Duration) {
        let id = &refusal.request_id;
        let (reason, execution) = (text(&refusal.reason), text(&refusal.execution));
        let route = route.unwrap_or("none");
        if refusal.execution != Execution::NotRun {
            // These lines are what an operator looks for, and targets bound their number.
            log::warn!("entry: request {id} to {route} failed: {reason}, {execution}");
            return;
        }
        let Some(left_out) = self.count(now) else {
            return;
        };
        if left_out > 0 {
            log::info!("entry: {left_out} lines about refused requests were left out");
        }
        log::info!("entry: request {id} to {route} refused: {reason}, {execution}");
    }

    /// Counts a line. Returns how many were left out since the last written one, or none if this one
    /// is left out as well.
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

/// The name of a reason or an execution as callers see it.
pub(crate) fn text<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
