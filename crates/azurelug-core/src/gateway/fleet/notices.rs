//! What targets report about themselves, and when they accept requests because of it.

use std::time::Duration;

use azurelug_types::deployment::TargetNotice;
use azurelug_types::id::{ServiceName, TargetName};

use super::{Fleet, Key, TargetState};

/// What a target's notice has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeEffect {
    /// Whether it is the first report that the target is leaving.
    pub is_leaving: bool,
    /// Whether the target's limit has changed, begun or ended.
    pub is_limit_changed: bool,
}

impl TargetState {
    /// Returns the time until which there is no permit for a request, if the target has a limit.
    pub(super) fn denied_until(&self, now: Duration) -> Option<Duration> {
        self.limit.permitted(now)?;
        self.permits.denied_until(now)
    }

    /// Returns the time from which the target accepts requests from this daemon.
    fn open_from(&self, now: Duration) -> Duration {
        let permitted = self.denied_until(now).unwrap_or_default();
        self.closed_until.max(permitted)
    }
}

impl Fleet {
    /// Applies a status notice of a target, from the answer to a request that was sent at `sent`.
    pub fn apply_notice(
        &mut self,
        key: Key,
        notice: TargetNotice,
        sent: Duration,
        now: Duration,
    ) -> NoticeEffect {
        let record = &mut self.records[key.0 as usize];
        if let Some(left) = notice.cold {
            record.cold_until = record.cold_until.max(now + left);
        }
        if let Some(closed) = notice.unavailable_for {
            record.closed_until = record.closed_until.max(now + closed);
        }
        let is_first_report = notice.is_leaving && !record.reported_leaving;
        record.reported_leaving |= notice.is_leaving;
        NoticeEffect {
            is_leaving: is_first_report,
            is_limit_changed: record.limit.observe(notice.limit, sent, now),
        }
    }

    /// Whether a target may be called at all: it is listed, has not asked for a pause, and has not
    /// reported that it is leaving.
    #[must_use]
    pub fn may_call(&self, name: &TargetName, now: Duration) -> bool {
        let record = self.key(name).map(|key| &self.records[key.0 as usize]);
        record.is_some_and(|it| it.is_listed && !it.reported_leaving && it.closed_until <= now)
    }

    /// Returns the time until the first target of a service accepts requests from this daemon; zero
    /// if one of them accepts requests now.
    #[must_use]
    pub fn time_until_open(&self, service: &ServiceName, now: Duration) -> Duration {
        let keys = self.usable_keys(service).into_iter();
        let open = keys.map(|key| self.records[key.0 as usize].open_from(now));
        open.min().unwrap_or_default().saturating_sub(now)
    }

    /// Returns the time until a target accepts requests from this daemon.
    #[must_use]
    pub fn closed_for(&self, name: &TargetName, now: Duration) -> Duration {
        let record = self.key(name).map(|key| &self.records[key.0 as usize]);
        record.map_or(Duration::ZERO, |it| it.closed_until.saturating_sub(now))
    }
}
