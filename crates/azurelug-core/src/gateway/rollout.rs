//! Roll-outs: moving a service's traffic from one version of its targets to another.
//!
//! [`state`] is the replicated state, [`ledger`] bounds the exposure at one gateway, [`gate`] decides
//! which versions a gateway may send to, [`evidence`] merges what gateways have seen, [`verdict`]
//! compares the versions, and [`plan`] decides on the next step. See docs/design/rollouts.md.

pub mod evidence;
pub mod gate;
pub mod ledger;
pub mod plan;
pub mod sightings;
pub mod state;
pub mod verdict;
