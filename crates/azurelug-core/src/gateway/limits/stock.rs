//! The permits that a gateway holds for one target.

use std::time::Duration;

/// Time for which a permit is valid. Short, so that few unused permits are lost, and that all
/// permits of a span of seconds are used in about the same span.
pub const LIFETIME: Duration = Duration::from_millis(250);

/// Most permits in one request. A gateway asks for several if it used the last ones up.
const MAX_WANTED: u32 = 32;

/// The permits of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stock {
    count: u32,
    expires_at: Duration,
    /// Number of permits in the next request.
    wanted: u32,
    denied_until: Duration,
}

impl Default for Stock {
    fn default() -> Self {
        Self {
            count: 0,
            expires_at: Duration::ZERO,
            wanted: 1,
            denied_until: Duration::ZERO,
        }
    }
}

impl Stock {
    /// Whether there is a valid permit.
    #[must_use]
    pub fn has_permit(&self, now: Duration) -> bool {
        self.count > 0 && now < self.expires_at
    }

    /// Uses a permit; returns false if there is none.
    pub fn take(&mut self, now: Duration) -> bool {
        let is_taken = self.has_permit(now);
        if is_taken {
            self.count -= 1;
        }
        is_taken
    }

    /// Number of permits to ask for.
    pub fn wanted(&mut self, now: Duration) -> u32 {
        // Permits that expired unused are not asked for again.
        if self.count > 0 && now >= self.expires_at {
            self.wanted = self.wanted.saturating_sub(self.count).max(1);
            self.count = 0;
        }
        self.wanted
    }

    /// Adds granted permits and uses one of them.
    pub fn add(&mut self, granted: u32, now: Duration) {
        if self.count == 0 && now < self.expires_at {
            self.wanted = (self.wanted * 2).min(MAX_WANTED);
        }
        let valid = if self.has_permit(now) { self.count } else { 0 };
        self.count = valid + granted.saturating_sub(1);
        self.expires_at = now + LIFETIME;
        self.denied_until = Duration::ZERO;
    }

    /// Records that there are no permits before `until`.
    pub fn deny(&mut self, until: Duration) {
        self.denied_until = until;
    }

    /// The time until which the target gets no requests; none if there is a permit or this gateway
    /// may ask for one.
    #[must_use]
    pub fn denied_until(&self, now: Duration) -> Option<Duration> {
        (!self.has_permit(now) && self.denied_until > now).then_some(self.denied_until)
    }
}
