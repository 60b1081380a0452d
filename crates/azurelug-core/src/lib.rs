#![doc = include_str!("../README.md")]

pub mod admission;
pub mod base_share;
pub mod configuration;
pub mod gateway;
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
