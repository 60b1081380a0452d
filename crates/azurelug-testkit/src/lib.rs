//! Test doubles for the systems around azurelug: engines, plain services, load reporters, the
//! platform's VM list and the network between two processes.
//!
//! Each double starts inside the calling process on a port chosen by the kernel, and also as a
//! subcommand of the binary `azurelug-testkit`. The doubles contain no code of the product's core.

pub mod caller;
pub mod engine;
mod history;
mod host;
pub mod openmetrics;
pub mod platform;
pub mod proxy;
mod refusal;
pub mod reporter;
pub mod service;
pub mod text;

pub use engine::Engine;
pub use platform::Platform;
pub use proxy::Proxy;
pub use reporter::Reporter;
pub use service::Service;
