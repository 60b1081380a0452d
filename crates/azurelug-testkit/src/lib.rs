#![doc = include_str!("../README.md")]

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
pub mod settings_page;
pub mod text;

pub use engine::Engine;
pub use platform::Platform;
pub use proxy::Proxy;
pub use reporter::Reporter;
pub use service::Service;
