//! Execution status that a refusal reports to the caller.
//!
//! `not_run` is reported only if it is certain that no byte of any call for the request was sent to
//! a target. The I/O layer must record each send here before it happens, never afterwards.

use azurelug_types::outcome::Execution;

/// Progress of a request with regard to its effect on targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Progress {
    /// Nothing was sent.
    #[default]
    NotSent,
    /// A call is about to be sent or was sent; its result is not known.
    Sent,
    /// A whole answer arrived.
    Answered,
}

/// Tracks the progress of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionTracker {
    progress: Progress,
    begun_sends: u32,
    cancelled_sends: u32,
}

impl ExecutionTracker {
    /// To be called before the first byte of a call is sent.
    pub fn about_to_send(&mut self) {
        self.begun_sends += 1;
        if self.progress == Progress::NotSent {
            self.progress = Progress::Sent;
        }
    }

    /// To be called when it is certain that no byte of a call was sent, for instance because no
    /// connection could be opened.
    pub fn was_not_sent(&mut self) {
        self.cancelled_sends += 1;
        if self.begun_sends == self.cancelled_sends && self.progress == Progress::Sent {
            self.progress = Progress::NotSent;
        }
    }

    /// To be called when the whole answer of the request has arrived.
    pub fn answered(&mut self) {
        self.progress = Progress::Answered;
    }

    /// The execution status to report in a refusal.
    pub fn execution(&self) -> Execution {
        match self.progress {
            Progress::NotSent => Execution::NotRun,
            Progress::Sent => Execution::Unknown,
            Progress::Answered => Execution::Done,
        }
    }
}
