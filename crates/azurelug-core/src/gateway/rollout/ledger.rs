//! Bounds the exposure of a version that is not judged yet at one gateway.
//!
//! Load pattern: up to hundreds of gateways each see few requests of a service, while all of them
//! together may expose only a share of the requests. Each gateway counts its own requests and sends
//! and needs no message: the sum of the counts stays within the bound because each term does.

/// Part of the allowed share that gateways use. The rest and the slack cover the rounding of the
/// gateways' counts, which is at most one send of each.
const USED_FRACTION: f64 = 0.8;

/// Smallest slack with which a gateway rounds at random. With 300 gateways the sum of the roundings
/// exceeds its mean by 40 with a probability under 3e-5 (Hoeffding: exp(-2 * 40^2 / 300)). Below
/// it, each gateway rounds down and the bound holds with certainty.
const MIN_SLACK_FOR_ROUNDING: f64 = 40.0;

/// Largest momentary fraction, as a multiple of the used share, when unused exposure is made up for.
const MAX_CATCH_UP: f64 = 2.5;

/// Exposure that a gateway may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// Share of the requests, over all gateways.
    pub share: f64,
    /// Requests in addition, over all gateways.
    pub slack: f64,
}

/// Counts the requests and the sends of one gateway for one roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct Ledger {
    share: f64,
    /// Part of a send that the gateway has in advance. Drawn once, so that the expected number of
    /// sends is the used share of the requests however few requests each gateway sees.
    advance: f64,
    requests: u64,
    sends: u64,
    /// Requests since the last send.
    since_send: u64,
}

impl Ledger {
    /// Creates an empty ledger. `random` is uniform in 0..1.
    #[must_use]
    pub fn new(exposure: Exposure, random: f64) -> Self {
        let may_round = exposure.slack >= MIN_SLACK_FOR_ROUNDING;
        let advance = if may_round { random } else { 0.0 };
        Self::of_share(exposure.share * USED_FRACTION, advance)
    }

    /// Creates an empty ledger for a share that is used in full.
    #[must_use]
    pub fn of_share(share: f64, advance: f64) -> Self {
        Self {
            share,
            advance,
            requests: 0,
            sends: 0,
            since_send: 0,
        }
    }

    /// Number of sends to the new version that are allowed now, if the next request counts and only
    /// `fraction` of the share may be used.
    #[must_use]
    pub fn room(&self, fraction: f64) -> u64 {
        let earned = (self.requests + 1) as f64 * self.share * fraction + self.advance;
        (earned.floor() as u64).saturating_sub(self.sends)
    }

    /// Whether the next request may be sent to the new version.
    #[must_use]
    pub fn may_send(&self, fraction: f64) -> bool {
        let spacing = 1.0 / (self.share * MAX_CATCH_UP).max(f64::MIN_POSITIVE);
        let is_spaced = self.sends == 0 || (self.since_send + 1) as f64 >= spacing;
        is_spaced && self.room(fraction) > 0
    }

    /// Counts a request that reaches the service. Repeats of it do not count again.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.since_send += 1;
    }

    /// Counts a send to the new version, of any kind.
    pub fn record_send(&mut self) {
        self.sends += 1;
        self.since_send = 0;
    }

    /// Takes back a send that was not made.
    pub fn cancel_send(&mut self) {
        self.sends = self.sends.saturating_sub(1);
    }

    /// Requests so far.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Sends to the new version so far.
    #[must_use]
    pub fn sends(&self) -> u64 {
        self.sends
    }
}
