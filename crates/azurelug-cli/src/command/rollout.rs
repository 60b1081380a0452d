//! `azurelug rollout start`, `azurelug rollout show` and `azurelug rollout end`.

use azurelug_types::id::ServiceName;
use bpaf::Bpaf;
use serde::Serialize;
use serde_json::Value;

use crate::control::Control;
use crate::error::Error;
use crate::output;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(arguments))]
pub(crate) struct Arguments {
    #[bpaf(external(order))]
    order: Order,
}

#[derive(Clone, Debug, Bpaf)]
enum Order {
    /// Move a service's traffic to targets of another version
    #[bpaf(command)]
    Start {
        /// Seconds within which it has to be complete
        #[bpaf(argument("SECONDS"))]
        within: f64,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// The version of the new targets
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Show the last roll-out of each service
    #[bpaf(command)]
    Show,
    /// Roll back a service's roll-out in progress
    #[bpaf(command)]
    End {
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

/// The body of an order to start.
#[derive(Serialize)]
struct Start {
    service: ServiceName,
    version: String,
    within_ms: u64,
}

/// The body of an order to end.
#[derive(Serialize)]
struct End {
    service: ServiceName,
}

pub(crate) async fn run(
    control: &Control,
    arguments: Arguments,
    is_json: bool,
) -> Result<(), Error> {
    match arguments.order {
        Order::Start {
            within,
            service,
            version,
        } => {
            let start = Start {
                service: ServiceName(service),
                version,
                within_ms: (within * 1000.0) as u64,
            };
            control.order("/v1/rollouts", &start).await?;
            println!("accepted: {} to {}", start.service, start.version);
        }
        Order::End { service } => {
            let end = End {
                service: ServiceName(service),
            };
            control.order("/v1/rollouts/end", &end).await?;
            println!("ended: {}", end.service);
        }
        Order::Show => show(&control.document("/v1/rollouts").await?, is_json),
    }
    Ok(())
}

fn show(rollouts: &Value, is_json: bool) {
    if is_json {
        output::json(rollouts);
        return;
    }
    let text = |row: &Value, field: &str| match &row[field] {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let counts = |row: &Value, version: &str| {
        let of = |what: &str| text(row, &format!("{version}_{what}"));
        format!("{}/{}", of("failures"), of("answers"))
    };
    let rows = rollouts.as_array().map(Vec::as_slice).unwrap_or_default();
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| {
            vec![
                text(row, "service"),
                text(row, "target"),
                text(row, "step"),
                format!("{}/{}", text(row, "new_sends"), text(row, "requests")),
                counts(row, "new"),
                counts(row, "old"),
                text(row, "pending_old"),
                text(row, "reason"),
            ]
        })
        .collect();
    output::table(
        &[
            "SERVICE",
            "VERSION",
            "STEP",
            "SENT",
            "NEW FAILED",
            "OLD FAILED",
            "PENDING",
            "REASON",
        ],
        &rows,
    );
}
