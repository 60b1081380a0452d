//! What a refusal may claim about execution.
//!
//! `not_run` is said only where it is provable: no byte of any call for the request was sent to a
//! target. The shell reports each step here before it takes it, never afterwards.

use azurelug_types::outcome::Execution;

/// How far a request has come, as far as its effect on targets is concerned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// Nothing was sent.
    #[default]
    Untouched,
    /// A call is about to be sent or was sent; its result is not known.
    Sent,
    /// A whole answer arrived.
    Answered,
}

/// Keeps the progress of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ledger {
    progress: Progress,
    sent: u32,
    not_sent: u32,
}

impl Ledger {
    /// Called before the first byte of a call leaves.
    pub fn about_to_send(&mut self) {
        self.sent += 1;
        if self.progress == Progress::Untouched {
            self.progress = Progress::Sent;
        }
    }

    /// Called when a call that was about to be sent provably sent no byte, for instance because no
    /// connection could be opened.
    pub fn was_not_sent(&mut self) {
        self.not_sent += 1;
        if self.sent == self.not_sent && self.progress == Progress::Sent {
            self.progress = Progress::Untouched;
        }
    }

    /// Called when the whole answer of the request has arrived.
    pub fn answered(&mut self) {
        self.progress = Progress::Answered;
    }

    /// What a refusal may say now.
    pub fn execution(&self) -> Execution {
        match self.progress {
            Progress::Untouched => Execution::NotRun,
            Progress::Sent => Execution::Unknown,
            Progress::Answered => Execution::Done,
        }
    }
}
