//! Gateway: accepts clients' requests, runs their stages and forwards them to targets.
//!
//! The decisions are made in `azurelug_core::gateway`. This crate contains the sockets, timers and
//! tasks around them, and the state about other daemons.

pub mod admin;
pub mod attempt;
pub mod body;
pub mod clients;
pub mod control;
pub mod dispatch_worker;
pub mod exchange;
pub mod gateway;
pub mod metrics;
pub mod peers;
pub mod permits;
pub mod placement;
pub mod quarantine;
pub mod relay;
pub mod rollouts;
pub mod run;
pub mod serve;
pub mod settings;
pub mod slots;
pub mod stages;
pub mod streams;
pub mod upstream;

pub use azurelug_http::{incoming, memory};
