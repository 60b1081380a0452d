#![doc = include_str!("../README.md")]

pub mod caller;
pub mod crash;
pub mod engine;
mod error_response;
mod history;
pub mod limit;
pub mod openmetrics;
pub mod outage;
pub mod platform;
pub mod port;
pub mod proxy;
pub mod reporter;
pub mod service;
pub mod settings_page;
mod test_server;
pub mod text;

pub use engine::Engine;
pub use platform::Platform;
pub use proxy::Proxy;
pub use reporter::Reporter;
pub use service::Service;
