//! Entry daemon: serves callers and routes stages to targets.

pub mod admin;
pub mod admission;
pub mod api;
pub mod cache_events;
pub mod clients;
pub mod control_link;
pub mod engine;
pub mod entry_state;
pub mod estimates;
pub mod executor;
pub mod metrics;
pub mod polling;
pub mod recent_decisions;
pub mod refusal;
pub mod refusal_log;
pub mod run;
pub mod service_call;
pub mod settings;
pub mod shares;
pub mod shutdown;
pub mod slots;
pub mod stage_call;
pub mod view;
