//! `azurelug history`.

use chrono::{DateTime, SecondsFormat};
use serde_json::Value;

use crate::control::Control;
use crate::error::Error;
use crate::output;

pub(crate) async fn run(control: &Control, is_json: bool) -> Result<(), Error> {
    let history = control.document("/v1/history").await?;
    if is_json {
        output::json(&history);
        return Ok(());
    }
    let text = |event: &Value, field: &str| match &event[field] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let events = history.as_array().map(Vec::as_slice).unwrap_or_default();
    let rows: Vec<Vec<String>> = events
        .iter()
        .map(|event| {
            vec![
                text(event, "version"),
                text(event, "author"),
                text(event, "changes"),
                utc(&event["accepted_at_ms"]),
                text(event, "patch_id"),
            ]
        })
        .collect();
    output::table(
        &["VERSION", "AUTHOR", "CHANGES", "ACCEPTED AT", "PATCH ID"],
        &rows,
    );
    Ok(())
}

/// Formats milliseconds since 1970 as a date and time in UTC.
fn utc(millis: &Value) -> String {
    let time = millis.as_i64().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(
        || millis.to_string(),
        |time| time.to_rfc3339_opts(SecondsFormat::Millis, true),
    )
}
