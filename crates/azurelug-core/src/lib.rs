//! Decisions of the serving path without I/O.
//!
//! Each state machine takes an event and the present time and returns typed actions, so that it can
//! be replayed from a trace and compared with a naive version.

pub mod admission;
pub mod base_share;
pub mod configuration;
pub mod latency;
pub mod lease_mode;
pub mod machine;
pub mod naive;
pub mod outcome;
pub mod outlier;
pub mod pipeline;
pub mod retry;
pub mod routing;
mod slab;
pub mod slow_start;
pub mod stream;
pub mod trace;
