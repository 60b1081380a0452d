//! Commands that enlarge the replicated state. The leader refuses them once a snapshot could not hold
//! the state, because a log that can't be compacted accepts nothing.

use std::io;
use std::time::Duration;

use azurelug_coordination::once;
use azurelug_core::gateway::orders::Order;
use azurelug_core::gateway::rollout::state as rollout;
use azurelug_core::machine::{Command, Machine};
use azurelug_wire::codec;
use tokio::time::Instant;

/// Shortest interval between two log lines about refused commands; clients repeat them.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Whether a command enlarges the state, as far as it is applied here. This copies the configuration
/// and the orders, so it is asked only when the state leaves no room.
pub(super) fn is_enlarged_by(machine: &Machine, command: &[u8]) -> bool {
    match codec::decode(command) {
        Ok(Command::Once(once::Command::Claim { account, key, .. })) => {
            !machine.once().holds(key, account)
        }
        // These end what a claim or the start of a roll-out began. The reserve holds their answers
        // and reasons.
        Ok(
            Command::Once(_)
            | Command::Deployment(Order::Rollout(
                rollout::Command::Advance { .. } | rollout::Command::Cancel { .. },
            )),
        ) => false,
        Ok(command) => {
            let mut changed = machine.without_once();
            let before = size(&changed);
            changed.apply(command);
            size(&changed) > before
        }
        // Of a newer release: what it does to the state is not known here.
        Err(_) => true,
    }
}

/// Size of the encoded state. A state that can't be encoded counts as the largest.
fn size(machine: &Machine) -> usize {
    let config = bincode::config::standard();
    let counted =
        bincode::serde::encode_into_std_write(machine.snapshot(), &mut io::sink(), config);
    counted.unwrap_or(usize::MAX)
}

/// Limits the log lines about refused commands.
#[derive(Debug, Default)]
pub(super) struct Lines {
    logged: Option<Instant>,
}

impl Lines {
    /// Whether a refusal is to be logged now.
    pub(super) fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self
            .logged
            .is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged = Some(now);
        }
        is_due
    }
}
