//! Test harness that runs whole deployments with real daemon processes and injects failures.
//!
//! A [`System`] has three availability zones, each with a control daemon, an entry daemon, four
//! engines and a replica of a plain service. The daemons are separate processes; engines and
//! services are test doubles inside the test process. Each system uses its own loopback address, so
//! that tests can run in parallel.

pub mod booking;
pub mod links;
pub mod observers;
pub mod operator;
pub mod process;
pub mod soak;
pub mod system;

pub use booking::Booking;
pub use operator::Operator;
pub use process::Process;
pub use system::System;
