//! Findings about a configuration that is valid but does not do what its author is likely to want:
//! entries that never match, and limits that contradict each other.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use azurelug_types::deployment::{Deployment, Field, Route, ServiceKey};
use azurelug_types::id::ServiceName;

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The kind of entry, as a list of the document.
    pub list: Field,
    /// The name of the entry.
    pub entry: String,
    /// The field of the entry.
    pub field: Field,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub remedy: &'static str,
}

/// Returns the findings about a configuration. `targets` has the number of targets of each service
/// for which it is known.
#[must_use]
pub fn check(deployment: &Deployment, targets: &HashMap<ServiceName, usize>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (position, route) in deployment.routes.iter().enumerate() {
        let earlier = &deployment.routes[..position];
        let mut add = |field, problem: Option<String>, remedy| {
            findings.extend(problem.map(|problem| Finding {
                list: Field::Routes,
                entry: route.name.clone(),
                field,
                problem,
                remedy,
            }));
        };
        let remedy =
            "write the host without port, and the path from its first slash, without query";
        add(Field::Prefix, unreachable_prefix(route), remedy);
        add(Field::Host, unreachable_host(route), remedy);
        let remedy = "remove one of the two routes; hosts don't differ by case";
        add(Field::Host, shadowed(route, earlier), remedy);
        let remedy = "lower the objective or raise the time limit";
        add(Field::LatencyObjective, late_objective(route), remedy);
        let remedy = "raise the time limit, or run fewer stages one after the other";
        add(Field::TimeLimit, short_limit(route, deployment), remedy);
        let remedy = "lower the number, or start more targets";
        let problem = too_many_attempts(route, deployment, targets);
        add(Field::MaxAttempts, problem, remedy);
        let remedy = "lower the size of a result, or give the targets more memory for results";
        add(Field::Stages, large_results(route, deployment), remedy);
    }
    findings.extend(unused_services(deployment));
    findings.extend(accounts_without_key(deployment));
    findings
}

fn unreachable_prefix(route: &Route) -> Option<String> {
    let prefix = &route.prefix;
    let matches = prefix.is_empty() || (prefix.starts_with('/') && !prefix.contains(['?', '#']));
    (!matches).then(|| format!("no path begins with '{prefix}', so that no request matches"))
}

fn unreachable_host(route: &Route) -> Option<String> {
    let host = &route.host;
    let matches = !host.is_empty() && !host.contains([':', '/']);
    (!matches).then(|| format!("no request names the host '{host}', so that none matches"))
}

/// The document's own check compares hosts as they are written.
fn shadowed(route: &Route, earlier: &[Route]) -> Option<String> {
    let is_same = |other: &&Route| {
        other.prefix == route.prefix && other.host.eq_ignore_ascii_case(&route.host)
    };
    let other = earlier.iter().find(is_same)?;
    Some(format!(
        "route '{}' has the same host and prefix and comes first, so that this one never matches",
        other.name
    ))
}

fn late_objective(route: &Route) -> Option<String> {
    let (objective, limit) = (route.latency_objective, route.timeout);
    (objective > limit).then(|| {
        format!(
            "the latency objective of {} ms is above the time limit of {} ms",
            objective.as_millis(),
            limit.as_millis()
        )
    })
}

/// The shortest time of the stages: calls with one piece, one after the other where a stage needs
/// the results of another.
fn stage_time(route: &Route, deployment: &Deployment) -> Duration {
    let mut ends: Vec<Duration> = Vec::new();
    for stage in &route.stages {
        let earlier = stage
            .after
            .iter()
            .filter_map(|&it| ends.get(usize::from(it)));
        let start = earlier.max().copied().unwrap_or_default();
        let batch = deployment.service(stage.service).batch;
        let call = batch.map_or(Duration::ZERO, |it| it.call_time + it.piece_time);
        ends.push(start + call);
    }
    ends.into_iter().max().unwrap_or_default()
}

fn short_limit(route: &Route, deployment: &Deployment) -> Option<String> {
    let needed = stage_time(route, deployment);
    (needed >= route.timeout && !needed.is_zero()).then(|| {
        format!(
            "the calls of the stages take {} ms with one piece each, the time limit is {} ms",
            needed.as_millis(),
            route.timeout.as_millis()
        )
    })
}

fn too_many_attempts(
    route: &Route,
    deployment: &Deployment,
    targets: &HashMap<ServiceName, usize>,
) -> Option<String> {
    let services = route.services.iter().filter(|share| share.weight > 0);
    let known = services.filter_map(|share| {
        let name = &deployment.service(share.service).name;
        targets.get(name).map(|count| (name, *count))
    });
    let (name, count) = known.min_by_key(|(_, count)| *count)?;
    let attempts = route.max_attempts as usize;
    (attempts > count)
        .then(|| format!("{attempts} attempts, but the service '{name}' has {count} targets"))
}

fn large_results(route: &Route, deployment: &Deployment) -> Option<String> {
    let mut stages = route.stages.iter().enumerate();
    stages.find_map(|(number, stage)| {
        let service = deployment.service(stage.service);
        let capacity = service.batch?.result_capacity;
        (stage.result_bytes > capacity).then(|| {
            format!(
                "a result of stage {number} has {} bytes, a target of '{}' stores {capacity}",
                stage.result_bytes, service.name
            )
        })
    })
}

fn unused_services(deployment: &Deployment) -> impl Iterator<Item = Finding> + '_ {
    let routes = deployment.routes.iter();
    let used: BTreeSet<ServiceKey> = routes
        .flat_map(|route| {
            let shares = route.services.iter().filter(|share| share.weight > 0);
            let stages = route.stages.iter().map(|stage| stage.service);
            shares.map(|share| share.service).chain(stages)
        })
        .collect();
    let services = deployment.services.iter().enumerate();
    let unused = services.filter(move |(position, _)| {
        let key = u16::try_from(*position).map(ServiceKey);
        key.is_ok_and(|key| !used.contains(&key))
    });
    unused.map(|(_, service)| Finding {
        list: Field::Services,
        entry: service.name.to_string(),
        field: Field::Name,
        problem: "no route uses the service".to_owned(),
        remedy: "name it in a route, or remove it",
    })
}

fn accounts_without_key(deployment: &Deployment) -> impl Iterator<Item = Finding> + '_ {
    let accounts = deployment.accounts.iter().flatten();
    let without = accounts.filter(|account| account.keys.iter().all(String::is_empty));
    without.map(|account| Finding {
        list: Field::Accounts,
        entry: account.name.to_string(),
        field: Field::Keys,
        problem: "the account has no key, so that no request belongs to it".to_owned(),
        remedy: "give it a key, or remove it",
    })
}
