//! `azurelug history`.

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
    let fields = ["version", "author", "changes", "accepted_at_ms", "patch_id"];
    let events = history.as_array().map(Vec::as_slice).unwrap_or_default();
    let rows: Vec<Vec<String>> = events
        .iter()
        .map(|event| fields.iter().map(|field| text(event, field)).collect())
        .collect();
    output::table(
        &["VERSION", "AUTHOR", "CHANGES", "ACCEPTED AT MS", "PATCH ID"],
        &rows,
    );
    Ok(())
}
