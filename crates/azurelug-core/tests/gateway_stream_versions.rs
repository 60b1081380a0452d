//! Tests of the versions at which streams may begin, and of the records of where they began.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use azurelug_core::gateway::cost::Work;
use azurelug_core::gateway::fleet::{
    Bounds, Fleet, SelectionError, TargetQuery, Versions, Weights,
};
use azurelug_core::gateway::streams::{self, Book, Origin};
use azurelug_core::gateway::versions::{self, Change, Registry, Watch};
use azurelug_types::deployment::Target;
use azurelug_types::fleet::ServiceVersions;
use azurelug_types::id::{ServiceName, TargetName, ZoneName};

const NOW: Duration = Duration::from_secs(10_000);

fn target(name: &str, version: &str) -> Target {
    Target {
        name: TargetName::from(name),
        service: ServiceName::from("llm"),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: ZoneName::from("a"),
        slots: 4,
        is_leaving: false,
        cold_ms: 0,
        version: version.to_owned(),
    }
}

fn llm() -> ServiceName {
    ServiceName::from("llm")
}

/// Registers what the list shows, as the leader does.
fn registered(targets: &[Target]) -> Registry {
    let mut registry = Registry::default();
    if let Some(change) = Watch::default().change(targets, &registry, NOW) {
        registry.apply(change);
    }
    registry
}

fn select(fleet: &mut Fleet, versions: Versions<'_>) -> Result<String, SelectionError> {
    let query = TargetQuery {
        service: &llm(),
        affinity: None,
        zone: &ZoneName::from("a"),
        weights: &Weights::default(),
        tried: &[],
        bounds: Bounds {
            gateways: 1,
            cold_rate: 0.0,
            cold_limit: 0.0,
            slots: None,
        },
        work: Work::default(),
        versions,
    };
    let key = fleet.select(&query, 0.5, NOW)?;
    Ok(fleet.target(key).version.clone())
}

/// Guards against streams at a version that other gateways may not know yet, which one of them would
/// take for the only other version.
#[test]
fn a_stream_begins_only_at_a_registered_version() {
    let mut fleet = Fleet::new(1);
    fleet.list(&[target("new", "v2"), target("old", "v1")], NOW);
    assert_eq!(
        select(&mut fleet, Versions::Registered),
        Err(SelectionError::None),
        "nothing is registered"
    );
    fleet.set_versions(registered(&[target("old", "v1")]).list());
    for _ in 0..3 {
        assert_eq!(select(&mut fleet, Versions::Registered).unwrap(), "v1");
    }
    assert_eq!(
        select(&mut fleet, Versions::Only("v3")),
        Err(SelectionError::None)
    );
}

/// Guards against a service without streams while the log has no leader and its old targets are gone.
#[test]
fn a_stream_begins_at_another_version_if_no_target_of_a_registered_one_is_listed() {
    let mut fleet = Fleet::new(1);
    let mut leaving = target("old", "v1");
    leaving.is_leaving = true;
    fleet.set_versions(registered(&[target("old", "v1")]).list());
    fleet.list(&[target("new", "v2"), leaving], NOW);
    assert_eq!(
        select(&mut fleet, Versions::Registered),
        Err(SelectionError::None),
        "a target of v1 may still go on with a stream"
    );
    fleet.list(&[target("new", "v2")], NOW);
    assert_eq!(select(&mut fleet, Versions::Registered).unwrap(), "v2");
}

/// Guards against a version that is forgotten while a client may take up one of its streams.
#[test]
fn a_version_is_removed_only_after_it_was_missing_for_the_retention_period() {
    let both = [target("old", "v1"), target("new", "v2")];
    let mut registry = registered(&both);
    let mut watch = Watch::default();
    assert_eq!(registry.only(&llm()), None);
    let later = NOW + versions::RETENTION;
    assert_eq!(watch.change(&both[1..], &registry, NOW), None);
    // The old version is listed once more, for instance by another reader of the list.
    assert_eq!(watch.change(&both, &registry, later), None);
    let almost = later + versions::RETENTION - Duration::from_secs(1);
    assert_eq!(watch.change(&both[1..], &registry, later), None);
    assert_eq!(watch.change(&both[1..], &registry, almost), None);
    let change = watch.change(&both[1..], &registry, later + versions::RETENTION);
    let removed = vec![(llm(), "v1".to_owned())];
    assert_eq!(change.as_ref().unwrap().removed, removed);
    assert!(registry.apply(change.unwrap()));
    assert_eq!(registry.only(&llm()), Some("v2"));
}

/// Guards against a registry that grows without bound, and against a log that gets an entry with each
/// look at the list.
#[test]
fn a_repeated_or_endless_change_adds_nothing() {
    let many: Vec<Target> = (0..200)
        .map(|number| target(&format!("t{number}"), &format!("v{number}")))
        .collect();
    let mut registry = registered(&many);
    registry.apply(
        Watch::default()
            .change(&many, &registry, NOW)
            .unwrap_or_default(),
    );
    assert_eq!(registry.count(&llm()), 64);
    assert_eq!(Watch::default().change(&many, &registry, NOW), None);
    let known = Change {
        added: vec![(llm(), "v1".to_owned())],
        removed: Vec::new(),
    };
    assert!(!registry.apply(known));
}

fn origin(version: &str) -> Origin {
    Origin {
        service: llm(),
        version: version.to_owned(),
    }
}

/// Guards against a stream that goes on at the version of an earlier record or of another service, and
/// against records without end.
#[test]
fn a_record_names_the_last_version_of_its_own_service_and_expires() {
    let mut book = Book::default();
    let (first, second) = (streams::key("first"), streams::key("second"));
    book.record(first, origin("v1"), NOW);
    book.record(second, origin("v2"), NOW);
    assert_eq!(book.find(&llm(), first), Some("v1"));
    assert_eq!(book.find(&llm(), second), Some("v2"));
    assert_eq!(book.find(&ServiceName::from("desk"), first), None);
    // A stream that goes on is kept from then on.
    let later = NOW + streams::RETENTION - Duration::from_secs(1);
    book.record(first, origin("v1"), later);
    book.record(
        streams::key("third"),
        origin("v2"),
        NOW + streams::RETENTION,
    );
    assert_eq!(book.find(&llm(), first), Some("v1"));
    assert_eq!(book.find(&llm(), second), None);
    for number in 0..120_000 {
        book.record(number, origin("v2"), later);
    }
    assert!(book.len() <= 100_000, "{}", book.len());
}

/// Guards against streams that a report leaves out or names with another version.
#[test]
fn a_report_holds_each_stream_with_its_version() {
    let mut book = Book::default();
    for number in 0..6 {
        let version = if number < 4 { "v1" } else { "v2" };
        book.record(number, origin(version), NOW);
    }
    let mut groups = streams::group(book.of_service(&llm()));
    groups.sort_by(|a, b| a.version.cmp(&b.version));
    for group in &mut groups {
        group.streams.sort_unstable();
    }
    let found: Vec<(&str, &[u64])> = groups
        .iter()
        .map(|group| (group.version.as_str(), group.streams.as_slice()))
        .collect();
    assert_eq!(found, [("v1", &[0, 1, 2, 3][..]), ("v2", &[4, 5][..])]);
}

/// Guards against a list for gateways that mixes up services.
#[test]
fn the_list_for_gateways_has_each_service_with_its_versions() {
    let mut desk = target("d", "v9");
    desk.service = ServiceName::from("desk");
    let listed = registered(&[target("a", "v2"), target("b", "v1"), desk]).list();
    let of = |name: &str, versions: &[&str]| ServiceVersions {
        service: ServiceName::from(name),
        versions: versions.iter().map(ToString::to_string).collect(),
    };
    assert_eq!(listed, [of("desk", &["v9"]), of("llm", &["v1", "v2"])]);
}
