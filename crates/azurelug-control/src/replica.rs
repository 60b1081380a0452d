//! The task that owns the replicated state. All commands pass through it.

use std::sync::Arc;

use azurelug_core::machine::{Command, Machine, Outcome};
use azurelug_types::config::Config;
use tokio::sync::{mpsc, oneshot, watch};

/// Commands that wait for the task. More are refused.
const QUEUE: usize = 1024;

/// Why a command got no outcome.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The queue is full.
    #[error("too many commands wait; retry in a second")]
    Overloaded,
    /// No majority of control daemons can be reached, or the leader has just changed.
    #[error("no quorum: {message}; check `azurelug status`, then retry")]
    NoQuorum {
        /// What is known.
        message: String,
    },
}

struct Proposal {
    command: Command,
    reply: oneshot::Sender<Outcome>,
}

/// A handle to the task. Clones share it.
#[derive(Clone)]
pub struct Replica {
    proposals: mpsc::Sender<Proposal>,
    state: watch::Receiver<Arc<Machine>>,
}

impl Replica {
    /// Starts the task.
    pub fn start() -> Self {
        let (proposals, mut queue) = mpsc::channel::<Proposal>(QUEUE);
        let (publish, state) = watch::channel(Arc::new(Machine::default()));
        tokio::spawn(async move {
            let mut machine = Machine::default();
            while let Some(proposal) = queue.recv().await {
                let outcome = machine.apply(proposal.command);
                publish.send_replace(Arc::new(machine.clone()));
                // The asker may have gone away; the command counts all the same.
                let _ = proposal.reply.send(outcome);
            }
        });
        Self { proposals, state }
    }

    /// Commits a command and returns its outcome.
    ///
    /// # Errors
    /// `Overloaded` if it was not taken; `NoQuorum` if its outcome is not known.
    pub async fn propose(&self, command: Command) -> Result<Outcome, Error> {
        let (reply, outcome) = oneshot::channel();
        let proposal = Proposal { command, reply };
        self.proposals
            .try_send(proposal)
            .map_err(|_| Error::Overloaded)?;
        let lost = |_| Error::NoQuorum {
            message: "the command was dropped".to_owned(),
        };
        outcome.await.map_err(lost)
    }

    /// The state after the newest applied command.
    pub fn state(&self) -> Arc<Machine> {
        Arc::clone(&self.state.borrow())
    }

    /// The version in force here.
    pub fn config(&self) -> Arc<Config> {
        Arc::clone(self.state.borrow().store().config())
    }

    /// Follows the state.
    pub fn watch(&self) -> watch::Receiver<Arc<Machine>> {
        self.state.clone()
    }
}
