//! Cases about the replacement of control VMs.

use std::time::Duration;

use tokio::time::sleep;

use crate::deployment::{Deployment, GRACE, Options};
use crate::record::Record;
use crate::stand_ins;
use crate::{Failure, Verdict};

/// `catch_up_s` of the sites.
const CATCH_UP: Duration = Duration::from_secs(4);

/// `contact_ms` of the sites.
const CONTACT: Duration = Duration::from_secs(3);

/// `recovery_s` of the sites.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the requests after the recovery are counted.
const COUNTED: Duration = Duration::from_secs(5);

/// Waits for the recovery, then checks that the configuration can be read back with at least
/// `version` and that a quarter of the requests is served.
async fn check(
    record: &Record,
    deployment: &mut Deployment,
    version: u64,
) -> Result<Verdict, Failure> {
    record.line(format!("{} s for the recovery", RECOVERY.as_secs()));
    sleep(RECOVERY).await;
    let from = record.now();
    let daemons = deployment.operators();
    record.line(format!("control VMs that run: {daemons:?}"));
    let (read, ()) = tokio::join!(
        stand_ins::read_back(record, &daemons, CONTACT + Duration::from_secs(1)),
        sleep(COUNTED)
    );
    let to = record.now();
    // The last requests may still be under way.
    sleep(stand_ins::TIME_LIMIT).await;
    let (sent, served) = deployment.requests.count(from, to);
    record.line(format!(
        "{served} of {sent} requests served after the recovery"
    ));
    let is_read = read.is_some_and(|read| read >= version);
    let is_serving = served * 4 >= sent;
    if !is_read {
        record.line(format!(
            "CONFIG: version {version}, acknowledged, is not read back"
        ));
    }
    if !is_serving {
        record.line("RECOVER: less than a quarter of the requests is served".to_owned());
    }
    if is_read && is_serving {
        Ok(Verdict::Held)
    } else {
        Ok(Verdict::Broken)
    }
}

/// Requires that requests were served before the disruption.
fn check_before(record: &Record, deployment: &Deployment) -> Result<(), Failure> {
    let (sent, served) = deployment.requests.count(Duration::ZERO, record.now());
    record.line(format!("{served} of {sent} requests served before"));
    if sent > 0 && served * 4 >= sent * 3 {
        Ok(())
    } else {
        Err("requests are not served before the disruption".to_owned())
    }
}

/// A control VM is replaced as planned: the new one first, then SIGTERM. After the core has been
/// stable for longer than `contact_ms`, another control VM loses its disk right after it has
/// acknowledged a configuration, and comes back empty.
pub async fn disk_loss(record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let mut deployment = Deployment::start(record, Options::default()).await?;
    sleep(Duration::from_secs(2)).await;
    deployment.add_control(false)?;
    sleep(CATCH_UP + CONTACT).await;
    check_before(record, &deployment)?;
    record.line("control VM 3 gets SIGTERM and is removed".to_owned());
    let took = deployment.controls[2].process.stop(GRACE).await;
    record.line(format!(
        "control VM 3 has ended after {} ms",
        took.as_millis()
    ));
    sleep(CONTACT + Duration::from_millis(300)).await;
    let second = deployment.controls[1].operators;
    let body = deployment.configuration(2);
    let limit = Duration::from_secs(4);
    let acknowledged = stand_ins::order(record, &[second], 2, &body, limit).await;
    acknowledged.ok_or("version 2 was not acknowledged before the disruption")?;
    if with_trouble {
        deployment.lose_disk(1)?;
        sleep(Duration::from_secs(1)).await;
        deployment.restart_control(1)?;
    } else {
        sleep(Duration::from_secs(1)).await;
    }
    check(record, &mut deployment, 2).await
}

/// Replacements before the last one.
const REPLACEMENTS: usize = 13;

/// Time from the loss of a control VM until its successor starts: the default of `replace_core`.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(1);

/// How long a successor may take to vote beyond `catch_up_s`, on a busy machine.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(10);

/// How long the last successor gets beyond `catch_up_s`, before `contact_ms` passes as well.
const LAST_WAIT: Duration = Duration::from_millis(2500);

/// Waits until the control VM at `position` votes, for at most `limit`. For the harness only.
async fn wait_voter(deployment: &Deployment, position: usize, limit: Duration) -> bool {
    let started = tokio::time::Instant::now();
    while started.elapsed() < limit {
        let members = deployment.members(position).await.unwrap_or_default();
        if members
            .iter()
            .any(|(member, votes, _)| *member == position && *votes)
        {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

/// The oldest control VM that votes and doesn't lead.
async fn oldest_follower(deployment: &Deployment, asked: usize) -> Option<usize> {
    let members = deployment.members(asked).await?;
    let followers = members.iter().filter(|(_, votes, leads)| *votes && !*leads);
    followers
        .map(|(member, ..)| *member)
        .filter(|it| *it != asked)
        .min()
}

/// Control VMs are removed for good one after the other, and each time an empty one comes at another
/// address and gets the time that a new one needs. Then one control VM loses its disk.
pub async fn many_replacements(record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let mut deployment = Deployment::start(record, Options::default()).await?;
    sleep(Duration::from_secs(1)).await;
    check_before(record, &deployment)?;
    let mut newest = 2;
    for number in 1..=REPLACEMENTS + 1 {
        if !with_trouble {
            break;
        }
        let victim = oldest_follower(&deployment, newest)
            .await
            .ok_or("no follower to replace was found")?;
        deployment.controls[victim].process.kill();
        record.line(format!(
            "replacement {number}: control VM {} is gone for good",
            victim + 1
        ));
        sleep(SUCCESSOR_AFTER).await;
        newest = deployment.add_control(false)?;
        sleep(CATCH_UP).await;
        let is_last = number > REPLACEMENTS;
        let limit = if is_last { LAST_WAIT } else { REPLACEMENT_WAIT };
        let is_voter = wait_voter(&deployment, newest, limit).await;
        record.line(format!(
            "replacement {number}: the successor votes: {is_voter}"
        ));
        if !is_voter && !is_last {
            return Err("a successor does not vote in time on this machine".to_owned());
        }
    }
    sleep(CONTACT).await;
    let daemons = deployment.operators();
    let limit = Duration::from_secs(4);
    let body = deployment.configuration(2);
    let acknowledged = stand_ins::order(record, &daemons, 2, &body, limit).await;
    acknowledged.ok_or("version 2 was not acknowledged before the last disruption")?;
    if with_trouble {
        // The oldest that still runs; the newest has never held the log.
        let running = deployment.controls.iter_mut().enumerate();
        let mut running = running.filter_map(|(at, it)| it.process.runs().then_some(at));
        let victim = running.next().ok_or("no control VM runs")?;
        deployment.lose_disk(victim)?;
        sleep(Duration::from_secs(1)).await;
        deployment.restart_control(victim)?;
    } else {
        sleep(Duration::from_secs(1)).await;
    }
    check(record, &mut deployment, 2).await
}
