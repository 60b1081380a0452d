//! The gateways, control daemons, targets and requests of the model of the quarantine.

use std::time::Duration;

use azurelug_core::gateway::limits::Rota;
use azurelug_core::gateway::quarantine::{Broadcast, CLOCK_START, Ledger, Quarantine};
use azurelug_types::fleet::{PartKey, Peer, SuspectPart};

use crate::quarantine_totals::CONTACT_TIME;

/// Time after which a gateway without contact knows that it has none.
const CONTACT_LIMIT: Duration = Duration::from_millis(1500);

/// What can happen to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    /// It runs and reaches everything.
    Sound,
    /// It does not run; it has lost its state when it runs again.
    Down,
    /// It serves, but reaches no control daemon and no other gateway.
    Isolated,
}

pub(crate) struct Gateway {
    pub(crate) peer: Peer,
    pub(crate) started: Duration,
    pub(crate) condition: Condition,
    pub(crate) since: Duration,
    pub(crate) is_initialized: bool,
    pub(crate) quarantine: Quarantine,
    pub(crate) rota: Rota,
    pub(crate) list_version: usize,
    pub(crate) control: usize,
    /// Revision of the control daemon that was received last.
    pub(crate) seen: u64,
    /// Own revision that was sent last.
    pub(crate) sent: u64,
    pub(crate) next_poll: Duration,
    pub(crate) poll: Option<PollState>,
    pub(crate) late: bool,
    pub(crate) last_ask: Duration,
}

pub(crate) enum PollState {
    Sent {
        arrives: Duration,
        reports: Vec<SuspectPart>,
        revision: u64,
    },
    Answered {
        arrives: Duration,
        reports: Vec<SuspectPart>,
        revision: u64,
    },
}

impl Gateway {
    pub(crate) fn new(peer: Peer, started: Duration, control: usize, late: bool) -> Self {
        Self {
            peer,
            started,
            condition: Condition::Sound,
            since: Duration::ZERO,
            is_initialized: false,
            quarantine: Quarantine::default(),
            rota: Rota::default(),
            list_version: 0,
            control,
            seen: 0,
            sent: 0,
            next_poll: started,
            poll: None,
            late,
            last_ask: Duration::ZERO,
        }
    }

    pub(crate) fn clock(&self, now: Duration) -> Duration {
        CLOCK_START + now - self.started
    }

    pub(crate) fn has_contact(&self, now: Duration) -> bool {
        match self.condition {
            Condition::Sound => self.is_initialized,
            Condition::Down => false,
            Condition::Isolated => self.since + CONTACT_LIMIT > now,
        }
    }

    pub(crate) fn is_in_touch(&self, now: Duration) -> bool {
        self.condition == Condition::Sound && self.since + CONTACT_TIME <= now
    }
}

#[derive(Default)]
pub(crate) struct Control {
    pub(crate) ledger: Ledger,
    pub(crate) broadcast: Broadcast,
    pub(crate) inbox: Vec<(Duration, Vec<SuspectPart>)>,
}

pub(crate) struct Target {
    pub(crate) service: u64,
    pub(crate) name: u64,
    pub(crate) up_at: Duration,
}

pub(crate) struct Request {
    pub(crate) gateway: usize,
    /// Start of the gateway that has it.
    pub(crate) started: Duration,
    pub(crate) parts: Vec<PartKey>,
    pub(crate) ids: Vec<u64>,
    pub(crate) target: usize,
    pub(crate) attempts: usize,
    pub(crate) starts_at: Duration,
    pub(crate) progresses_at: Duration,
    pub(crate) ends_at: Duration,
    pub(crate) has_progress: bool,
    pub(crate) is_started: bool,
}
