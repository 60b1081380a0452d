//! Spans in which gateways were out of contact, so that rules with a time bound don't hold for
//! them.

use std::time::Duration;

/// The spans of all gateways. All times count from the same moment.
#[derive(Clone, Debug, Default)]
pub struct Outages(Vec<(Option<String>, Duration, Duration)>);

impl Outages {
    /// Records that a gateway was killed, frozen or cut off, and when it was in contact again.
    pub fn record(&mut self, gateway: &str, from: Duration, until: Duration) {
        self.0.push((Some(gateway.to_owned()), from, until));
    }

    /// Records that all gateways were out of contact.
    pub fn record_all(&mut self, from: Duration, until: Duration) {
        self.0.push((None, from, until));
    }

    /// Whether a gateway was out of contact at a time.
    #[must_use]
    pub fn covers(&self, gateway: &str, at: Duration) -> bool {
        self.0.iter().any(|(name, from, until)| {
            name.as_deref().is_none_or(|it| it == gateway) && (*from..*until).contains(&at)
        })
    }
}
