//! Token buckets of the gateway that grants the permits for a target.

use std::collections::HashMap;
use std::time::Duration;

use azurelug_types::id::TargetName;
use azurelug_types::rate::Rate;

/// Time for which unused permits accumulate, besides one permit.
const BURST: Duration = Duration::from_millis(250);

/// Time without requests after which a bucket is removed. An empty bucket replaces it, so a
/// removal never adds permits.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Shortest time after which a gateway asks again, so that permits of a high rate are granted in
/// batches.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Number of buckets above which idle ones are removed.
const MAX_IDLE_BUCKETS: usize = 256;

/// The answer to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Number of permits, at least one.
    Granted(u32),
    /// Time until there is a permit.
    Denied(Duration),
}

#[derive(Debug)]
struct Bucket {
    permits: f64,
    updated: Duration,
}

/// The token buckets, by target.
#[derive(Debug, Default)]
pub struct Grantor {
    buckets: HashMap<TargetName, Bucket>,
}

impl Grantor {
    /// Grants up to `wanted` permits for a target that accepts `rate`, of which this gateway grants
    /// `share`. A new bucket is empty, because an earlier grantor may just have emptied its own.
    pub fn grant(
        &mut self,
        target: &TargetName,
        rate: Rate,
        share: f64,
        wanted: u32,
        now: Duration,
    ) -> Decision {
        if self.buckets.len() > MAX_IDLE_BUCKETS {
            self.buckets
                .retain(|_, bucket| bucket.updated + IDLE_TIME > now);
        }
        let per_second = rate.per_second() * share;
        let bucket = self.buckets.entry(target.clone()).or_insert(Bucket {
            permits: 0.0,
            updated: now,
        });
        let elapsed = now.saturating_sub(bucket.updated).as_secs_f64();
        let capacity = 1.0 + per_second * BURST.as_secs_f64();
        bucket.permits = (bucket.permits + elapsed * per_second).min(capacity);
        bucket.updated = now;
        if bucket.permits < 1.0 {
            let wait = (1.0 - bucket.permits) / per_second;
            return Decision::Denied(Duration::from_secs_f64(wait).max(MIN_WAIT));
        }
        let count = wanted.clamp(1, bucket.permits as u32);
        bucket.permits -= f64::from(count);
        Decision::Granted(count)
    }
}
