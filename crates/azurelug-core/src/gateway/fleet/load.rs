//! The choice of a target by this gateway's own requests in flight there.

use super::{TargetQuery, TargetState};

/// Penalty for a target outside the preferred zone, in units of load: 1 is a target at its
/// concurrency limit.
const ZONE_PENALTY: f64 = 0.4;

/// Penalty for a target that fails all requests, in units of load.
pub(super) const ERROR_PENALTY: f64 = 2.0;

/// Returns the cost of a target; the target with the lowest cost is selected.
pub(super) fn cost(
    record: &TargetState,
    wanted: &TargetQuery<'_>,
    preference: usize,
    limit: u32,
    is_cold: bool,
    random: f64,
) -> f64 {
    let load = f64::from(record.in_flight) / f64::from(limit);
    let zone = if record.target.zone == *wanted.zone {
        0.0
    } else {
        ZONE_PENALTY
    };
    let cold = if is_cold { 1.0 } else { 0.0 };
    let health_penalty =
        record.health.error_rate() * ERROR_PENALTY + record.health.slowness_penalty();
    // With a prefix, each step down the shared order costs as much as half of the limit in use.
    let locality = match wanted.affinity {
        Some(_) => preference as f64 * 0.5,
        // Breaks ties differently for each request, so that equal targets share the load.
        None => ((preference as f64 + 1.0) * 0.618 + random).fract() * 0.05,
    };
    load + zone + cold + health_penalty + locality
}
