//! Tests that snapshots can be read by another release than the one that wrote them.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::sync::Arc;

use azurelug_control::replica::task::decode_machine;
use azurelug_core::configuration::past::ReplacedValues;
use azurelug_core::configuration::{Store, digest};
use azurelug_core::gateway::orders::{Document, Order};
use azurelug_core::machine::{Command, Machine, SnapshotV1};
use azurelug_types::config::{OnPartition, State, Zone};
use azurelug_types::id::{Version, ZoneName};
use azurelug_types::patch::{Change, Patch};
use azurelug_wire::codec;
use serde::Serialize;

fn patch() -> Patch {
    let state = State::Active;
    let on_partition = OnPartition::ServeLocal;
    Patch {
        patch_id: "first".to_owned(),
        base_version: Version(0),
        author: "ana".to_owned(),
        changes: vec![Change::SetZone {
            name: ZoneName::from("zone-a"),
            zone: Zone {
                state,
                on_partition,
            },
        }],
    }
}

/// Checks that a snapshot with the orders of an earlier release is read, and that the release reads a
/// newer one.
fn check_both_ways(orders: &impl Serialize, machine: &Machine) {
    let store = Store::default();
    let past = ReplacedValues::default();
    let once = Machine::default().once().snapshot();
    let data = codec::encode_unlimited(&(store, once, past, orders)).unwrap();
    let restored = decode_machine(&data).unwrap();
    assert_eq!(restored.orders(), machine.orders());
    let newest = codec::encode_unlimited(&restored.snapshot()).unwrap();
    assert_eq!(
        &newest[..data.len()],
        &data[..],
        "the earlier release reads it"
    );
}

/// Guards against a member that can't start from its data folder after an upgrade.
#[test]
fn a_snapshot_of_the_first_release_is_read() {
    let patch = patch();
    let mut store = Store::default();
    store.apply(&patch, digest(&patch), 1);
    // Snapshots of the first release had these two fields.
    let data = codec::encode_unlimited(&(&store, Machine::default().once().snapshot())).unwrap();
    let machine = decode_machine(&data).unwrap();
    assert_eq!(machine.store(), &store);
    assert_eq!(machine.version(Version(0)), Err(Version(1)));
}

/// Guards against a member of the first release that can't read the snapshot of an upgraded leader.
#[test]
fn the_first_release_reads_a_snapshot_of_this_one() {
    let patch = patch();
    let digest = digest(&patch);
    let mut machine = Machine::default();
    machine.apply(Command::Patch {
        patch: Box::new(patch),
        digest,
        at_ms: 1,
    });
    let data = codec::encode_unlimited(&machine.snapshot()).unwrap();
    let first: SnapshotV1 = codec::decode_unlimited(&data).unwrap();
    let restored = Machine::restore(first.into()).unwrap();
    assert_eq!(restored.store(), machine.store());
}

/// Guards against drained zones and a configuration that are lost by the upgrade to the release with
/// roll-outs.
#[test]
fn a_snapshot_without_rollouts_is_read() {
    let mut machine = Machine::default();
    let zone = ZoneName::from("zone-a");
    let document: Arc<[u8]> = Arc::from(&b"{}"[..]);
    for order in [
        Order::Configure {
            version: 4,
            document: Arc::clone(&document),
        },
        Order::Drain {
            zone: zone.clone(),
            drained: true,
        },
    ] {
        machine.apply(Command::Deployment(order));
    }
    let drained: BTreeSet<ZoneName> = [zone].into();
    let held = Some(Document {
        version: 4,
        bytes: document,
    });
    // The orders of the third release had these three fields.
    let orders = (2_u64, held, drained);
    check_both_ways(&orders, &machine);
}

/// Guards against a configuration that is lost by the upgrade to the release with versions of streams.
#[test]
fn a_snapshot_without_versions_of_streams_is_read() {
    let mut machine = Machine::default();
    let document: Arc<[u8]> = Arc::from(&b"{}"[..]);
    machine.apply(Command::Deployment(Order::Configure {
        version: 4,
        document: Arc::clone(&document),
    }));
    let held = Some(Document {
        version: 4,
        bytes: document,
    });
    // The orders of the fourth release had these four fields.
    let orders = (
        1_u64,
        held,
        BTreeSet::<ZoneName>::new(),
        machine.orders().rollouts().clone(),
    );
    check_both_ways(&orders, &machine);
}
