//! Decisions of the serving path. No I/O: every state machine takes an event and the current time.

pub mod lease_mode;
pub mod outlier;
pub mod routing;
pub mod slow_start;
