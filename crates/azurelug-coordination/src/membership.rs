//! Which daemons are alive, suspect or gone.
//!
//! [`Members`] holds the observer's view: the confirmed round trips of each
//! member, and the platform's list, which lags. It must never report a member as
//! gone while that member may still act under a lease from this observer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lease::{Identity, drift_safe_wait};

/// Times and bounds of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Length of the lease that an answer carries.
    pub term: Duration,
    /// Time between two renewals of a member.
    pub interval: Duration,
    /// Time without a renewal that confirms a round trip until a member is
    /// suspect. A renewal confirms the answer before it, so the time counts from
    /// one interval after that answer.
    pub suspect_after: Duration,
    /// Time without a confirmed round trip until a member is gone, regardless of
    /// the platform's list.
    pub gone_after: Duration,
    /// Longest time between two events for which the observer counts as running.
    /// Time beyond it does not count as silence of the members.
    pub longest_pause: Duration,
    /// Maximum number of members.
    pub members: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(2),
            interval: Duration::from_millis(500),
            suspect_after: Duration::from_millis(1_500),
            gone_after: Duration::from_secs(60),
            longest_pause: Duration::from_millis(500),
            members: 1_024,
        }
    }
}

/// What the observer knows of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It completes round trips.
    Alive,
    /// It has joined and not completed a round trip yet, or has missed several.
    Suspect,
    /// It holds no lease and is no longer tracked.
    Gone,
}

/// A member's message, sent every 500 ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The sender.
    pub member: Identity,
    /// Rises with each renewal.
    pub sequence: u64,
    /// Number of the latest answer that the member has received, or 0. It confirms
    /// that messages pass in both directions.
    pub heard: u64,
}

/// The observer's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The member that renewed.
    pub member: Identity,
    /// The renewal that is answered.
    pub sequence: u64,
    /// Rises with each answer of the observer.
    pub number: u64,
    /// Whether the answer renews the member's lease. It does not while the
    /// member confirms no round trip.
    pub leased: bool,
}

/// A member whose state has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub member: Identity,
    /// Its new state.
    pub state: State,
}

#[derive(Debug)]
struct Member {
    sequence: u64,
    /// Answers that a renewal may still confirm, with the time each was sent.
    sent: VecDeque<(u64, Duration)>,
    /// When the latest confirmed answer was sent, plus the observer's pauses since.
    proved_at: Duration,
    /// Number of the last answer before this member was added.
    answers_before: u64,
    leased_at: Duration,
    state: State,
}

/// One observer's view.
#[derive(Debug)]
pub struct Members {
    settings: Settings,
    number: u64,
    last_event_at: Duration,
    members: BTreeMap<Identity, Member>,
    /// The platform's latest list: live ids, and whether each is leaving.
    listed: Option<BTreeMap<u64, bool>>,
}

impl Members {
    /// Answers kept until they are confirmed. They span more than the suspect time.
    const SENT_LIMIT: usize = 8;

    /// An empty view.
    pub fn new(now: Duration, settings: Settings) -> Self {
        Self {
            settings,
            number: 0,
            last_event_at: now,
            members: BTreeMap::new(),
            listed: None,
        }
    }

    /// Applies a renewal. Returns no answer to a late or repeated one, or when
    /// there are too many members.
    pub fn renew(
        &mut self,
        now: Duration,
        renewal: Renewal,
        changes: &mut Vec<Change>,
    ) -> Option<Answer> {
        self.discount_pause(now);
        let Renewal {
            member: id,
            sequence,
            heard,
        } = renewal;
        let settings = self.settings;
        if !self.members.contains_key(&id) {
            if self.members.len() >= settings.members {
                return None;
            }
            changes.push(Change {
                member: id,
                state: State::Suspect,
            });
            let member = Member {
                sequence: 0,
                sent: VecDeque::new(),
                proved_at: now,
                answers_before: self.number,
                leased_at: now,
                state: State::Suspect,
            };
            self.members.insert(id, member);
        }
        let member = self
            .members
            .get_mut(&id)
            .expect("the member was just added");
        if sequence <= member.sequence {
            return None;
        }
        member.sequence = sequence;
        // An answer counts from the moment it was sent: a renewal can arrive long
        // after the round trip that it confirms.
        if let Some(&(_, sent)) = member.sent.iter().find(|(number, _)| *number == heard) {
            member.sent.retain(|&(number, _)| number > heard);
            member.proved_at = member.proved_at.max(sent);
        }
        let is_confirmed = now < member.proved_at + settings.interval + settings.suspect_after;
        if is_confirmed && heard > member.answers_before && member.state != State::Alive {
            member.state = State::Alive;
            changes.push(Change {
                member: id,
                state: State::Alive,
            });
        }
        if is_confirmed {
            member.leased_at = now;
        }
        self.number += 1;
        if member.sent.len() == Self::SENT_LIMIT {
            member.sent.pop_front();
        }
        member.sent.push_back((self.number, now));
        Some(Answer {
            member: id,
            sequence,
            number: self.number,
            leased: is_confirmed,
        })
    }

    /// Sets the platform's list of live ids, each with whether it is leaving.
    pub fn set_listed(&mut self, live: impl IntoIterator<Item = (u64, bool)>) {
        self.listed = Some(live.into_iter().collect());
    }

    /// Advances the time. Call it at least every [`Settings::longest_pause`], and
    /// only after the messages that have already arrived.
    pub fn tick(&mut self, now: Duration, changes: &mut Vec<Change>) {
        self.discount_pause(now);
        let settings = self.settings;
        let latest: BTreeMap<u64, u64> = self
            .members
            .iter()
            .filter(|(_, member)| member.state == State::Alive)
            .map(|(id, _)| (id.id, id.incarnation))
            .collect();
        let mut gone = BTreeSet::new();
        for (&id, member) in &mut self.members {
            if member.state == State::Alive
                && now >= member.proved_at + settings.interval + settings.suspect_after
            {
                member.state = State::Suspect;
                changes.push(Change {
                    member: id,
                    state: State::Suspect,
                });
            }
            let is_lease_over = now >= member.leased_at + drift_safe_wait(settings.term);
            let is_unlisted = self
                .listed
                .as_ref()
                .is_some_and(|listed| !listed.contains_key(&id.id));
            let is_replaced = latest
                .get(&id.id)
                .is_some_and(|&latest| latest > id.incarnation);
            let is_silent = now >= member.proved_at + settings.gone_after;
            if member.state == State::Suspect
                && is_lease_over
                && (is_unlisted || is_replaced || is_silent)
            {
                gone.insert(id);
                changes.push(Change {
                    member: id,
                    state: State::Gone,
                });
            }
        }
        self.members.retain(|id, _| !gone.contains(id));
    }

    /// A member's state. An unknown one counts as gone.
    pub fn state(&self, member: Identity) -> State {
        self.members
            .get(&member)
            .map_or(State::Gone, |member| member.state)
    }

    /// When the latest confirmed answer to a member was sent, plus the observer's
    /// pauses since; before any confirmation, the time of its first renewal.
    pub fn confirmed_at(&self, member: Identity) -> Option<Duration> {
        let member = self.members.get(&member)?;
        Some(member.proved_at)
    }

    /// Whether the platform's list shows the member's VM as leaving.
    pub fn is_leaving(&self, member: Identity) -> bool {
        self.listed
            .as_ref()
            .and_then(|listed| listed.get(&member.id))
            .is_some_and(|&leaving| leaving)
    }

    /// All known members and their states.
    pub fn iter(&self) -> impl Iterator<Item = (Identity, State)> + '_ {
        self.members.iter().map(|(&id, member)| (id, member.state))
    }

    /// Shifts the confirmation times by the time in which the observer was paused.
    fn discount_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_event_at);
        let excess = pause.saturating_sub(self.settings.longest_pause);
        if !excess.is_zero() {
            for member in self.members.values_mut() {
                member.proved_at += excess;
            }
        }
        self.last_event_at = now;
    }
}
