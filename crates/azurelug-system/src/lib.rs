//! Starts whole systems of real processes for tests of failures.
//!
//! A [`System`] has three availability zones, each with a control daemon, an entry daemon, four
//! engines and a replica of a plain service. The daemons are processes; the doubles run inside the
//! test. Each system uses a loopback address of its own, so that tests can run side by side.

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
