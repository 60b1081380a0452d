//! Test doubles for the systems around azurelug: engines, plain services, load reporters, the
//! platform's VM list and the network between two processes.
//!
//! Each double starts inside the calling process on a port chosen by the kernel, and also as a
//! subcommand of the binary `azurelug-testkit`. The doubles contain no code of the product's core.

pub mod caller;
pub mod engine;
pub mod host;
mod refusal;
pub mod service;
pub mod text;

pub use engine::Engine;
pub use service::Service;
