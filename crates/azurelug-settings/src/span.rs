//! Durations in settings, always written with a unit.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A duration such as `500ms`, `10s` or `5m`. A number without a unit is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingDuration(pub Duration);

impl std::str::FromStr for SettingDuration {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let digits = text
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (number, unit) = text.split_at(digits);
        let invalid =
            || format!("'{text}' is not a length of time, write for instance 500ms, 10s, 5m");
        let number: u64 = number.parse().map_err(|_| invalid())?;
        let millis = match unit.trim() {
            "ms" => Some(number),
            "s" => number.checked_mul(1000),
            "m" => number.checked_mul(60_000),
            _ => None,
        };
        millis
            .map(|millis| Self(Duration::from_millis(millis)))
            .ok_or_else(invalid)
    }
}

impl std::fmt::Display for SettingDuration {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}ms", self.0.as_millis())
    }
}

impl<'de> Deserialize<'de> for SettingDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl Serialize for SettingDuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
