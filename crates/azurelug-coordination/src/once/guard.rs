use std::time::Duration;

use super::{Answer, Claim, Command};

/// The claimant's side of one claim: permits one send, before a time limit.
///
/// Create it before the claim is requested and keep it for the whole request.
/// All times are readings of the claimant's own monotonic clock, so a wall
/// clock that jumps cannot extend the permission.
#[derive(Debug)]
pub struct Guard {
    send_before: Duration,
    state: State,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Waiting,
    Ready(Claim),
    Sent(Claim),
    Closed,
}

/// Why the guard does not permit a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No claim has been granted yet.
    #[error("the call has no claim yet; wait for the claim to commit")]
    NotClaimed,
    /// The call was already sent.
    #[error("the call was already sent under this claim; a second send could run it twice")]
    AlreadySent,
    /// The send limit has passed.
    #[error("the send limit has passed; release the claim and answer that the call was not run")]
    Late,
    /// The guard was released.
    #[error("the claim was released; request a new claim")]
    Closed,
}

impl Guard {
    /// A guard that permits a send strictly before `send_before`, usually the
    /// call's deadline.
    pub fn new(send_before: Duration) -> Self {
        Self {
            send_before,
            state: State::Waiting,
        }
    }

    /// Stores a granted claim. If the guard is already closed, the claim came
    /// too late, and the returned command releases it.
    #[must_use]
    pub fn grant(&mut self, claim: Claim) -> Option<Command> {
        match self.state {
            State::Waiting => {
                self.state = State::Ready(claim);
                None
            }
            State::Closed => Some(Command::Release { claim }),
            State::Ready(_) | State::Sent(_) => None,
        }
    }

    /// Uses the permission to send. Call it immediately before the first byte
    /// is written, with a fresh clock reading: the process may have been
    /// suspended since the last one.
    pub fn start_send(&mut self, now: Duration) -> Result<Claim, SendError> {
        match self.state {
            State::Waiting => Err(SendError::NotClaimed),
            State::Sent(_) => Err(SendError::AlreadySent),
            State::Closed => Err(SendError::Closed),
            State::Ready(_) if now >= self.send_before => Err(SendError::Late),
            State::Ready(claim) => {
                self.state = State::Sent(claim);
                Ok(claim)
            }
        }
    }

    /// Undoes the send when the transport proves that no byte was sent, for instance because no
    /// connection could be opened. The claim may then be used for another send or be released.
    pub fn undo_send(&mut self) {
        if let State::Sent(claim) = self.state {
            self.state = State::Ready(claim);
        }
    }

    /// The command that records the result, or `None` when nothing was sent.
    pub fn record(&self, answer: Answer) -> Option<Command> {
        match self.state {
            State::Sent(claim) => Some(Command::Record { claim, answer }),
            _ => None,
        }
    }

    /// Closes a guard under which no byte was sent. Returns whether the call was
    /// not run. The returned command releases a claim that was already granted;
    /// [`Guard::grant`] returns that command for one that arrives later.
    pub fn release(&mut self) -> Release {
        match self.state {
            State::Sent(_) => Release::Refused,
            State::Ready(claim) => {
                self.state = State::Closed;
                Release::Propose(Command::Release { claim })
            }
            State::Waiting | State::Closed => {
                self.state = State::Closed;
                Release::NoClaim
            }
        }
    }

    /// Whether the call may have run.
    pub fn is_sent(&self) -> bool {
        matches!(self.state, State::Sent(_))
    }
}

/// The result of [`Guard::release`]. Tell the caller that the call was not run
/// only when it is not [`Release::Refused`]: a refusal such as `Full` can answer
/// an earlier copy of a claim that was granted to a later copy.
#[must_use]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Release {
    /// The call was not run; propose the command to free the key.
    Propose(Command),
    /// The call was not run, and there is no claim to release.
    NoClaim,
    /// The call was sent, so its claim cannot be released.
    Refused,
}
