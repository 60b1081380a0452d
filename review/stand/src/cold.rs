//! Cases about cold replicas.

use std::time::Duration;

use tokio::time::sleep;

use crate::deployment::{Deployment, Options, ZONES};
use crate::record::Record;
use crate::{Failure, Verdict};

/// `cold_start_s` and `cold_per_s` of `makai-llm`.
const COLD: (f64, f64) = (3.0, 24.0);

/// `cold_multiplier` and `cold_slack` of the sites.
const BOUND: (f64, f64) = (1.5, 5.0);

/// Gateways of the site.
const GATEWAYS: u8 = 7;

/// How long the processes of the core are down: they are back within a second.
const DOWN: Duration = Duration::from_millis(700);

/// All processes of the core are killed at the same moment while replicas are cold.
pub async fn core_kill(record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let options = Options {
        gateways: GATEWAYS,
        cold: COLD,
        pause: Duration::from_micros(3700),
    };
    let mut deployment = Deployment::start(record, options).await?;
    sleep(Duration::from_secs(5)).await;
    if with_trouble {
        for control in &mut deployment.controls {
            control.process.kill();
        }
        record.line("all control processes are killed".to_owned());
    }
    sleep(DOWN).await;
    if with_trouble {
        for position in 0..deployment.controls.len() {
            deployment.restart_control(position)?;
        }
    }
    sleep(Duration::from_millis(600)).await;
    let time = Duration::from_secs_f64(COLD.0);
    deployment.targets.make_cold(time);
    let from = record.now();
    record.line("all replicas are cold for 3 s".to_owned());
    sleep(time + Duration::from_millis(100)).await;
    Ok(check(record, &deployment, from, from + time))
}

/// Checks that no replica got more requests in one second of a cold start than the bound, counting
/// those that were sent and arrived in that second.
fn check(record: &Record, deployment: &Deployment, from: Duration, to: Duration) -> Verdict {
    let bound = COLD.1 * BOUND.0 + BOUND.1;
    let second = Duration::from_secs(1);
    let arrivals = deployment.targets.arrivals();
    let mut verdict = Verdict::Held;
    for (target, zone) in ZONES.iter().enumerate() {
        let own = arrivals.iter().filter(|it| it.target == target);
        let own = own.filter_map(|it| Some((deployment.requests.sent_at(&it.id)?, it.at)));
        let own: Vec<(Duration, Duration)> =
            own.filter(|(_, at)| *at >= from && *at < to).collect();
        let counts = own.iter().map(|&(start, _)| {
            let start = start.max(from);
            let inside = own.iter();
            let inside = inside.filter(|(sent, at)| *sent >= start && *at < start + second);
            (inside.count(), start)
        });
        let (most, start) = counts.max().unwrap_or_default();
        record.line(format!(
            "replica in {zone}: {most} requests in the second from {:.3}; the bound is {bound}",
            start.as_secs_f64()
        ));
        if most as f64 > bound {
            record.line(format!(
                "FAILBACK: {most} requests in one second at a cold replica"
            ));
            verdict = Verdict::Broken;
        }
    }
    verdict
}
