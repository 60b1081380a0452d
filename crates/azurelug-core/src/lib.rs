//! Decisions of the serving path. No I/O: every state machine takes an event and the current time.

pub mod admission;
pub mod latency;
pub mod lease_mode;
pub mod naive;
pub mod outlier;
pub mod retry;
pub mod routing;
mod slab;
pub mod slow_start;
