//! The calls that a daemon may send, depending on the age of its configuration lease.
//!
//! Implements the partition policy. Never allows more than the last known configuration does.

use std::time::Duration;

use azurelug_types::config::OnPartition;
use azurelug_types::key;

/// How long a configuration lease lasts, counted from the moment the renewal was sent.
pub const LEASE: Duration = Duration::from_secs(2);

key! {
    /// The restriction in force.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Mode {
        /// The lease is valid: all calls, to all zones in service.
        Normal,
        /// The lease has expired: only idempotent calls to targets of the own zone.
        Degraded,
        /// No calls. The initial mode of a daemon without a configuration.
        #[default]
        Refuse,
    }
}

impl Mode {
    /// The mode at `now`. `renewed` is the send time of the last renewal that was answered, or
    /// `None` before the first answer.
    #[must_use]
    pub fn at(renewed: Option<Duration>, policy: OnPartition, now: Duration) -> Self {
        match renewed {
            None => Self::Refuse,
            Some(sent) if now.saturating_sub(sent) < LEASE => Self::Normal,
            Some(_) => match policy {
                OnPartition::ServeLocal => Self::Degraded,
                OnPartition::Refuse => Self::Refuse,
            },
        }
    }
}
