//! Tests of the time limits of exchanges during a planned stop, with a paused clock.
#![allow(clippy::unwrap_used)]

use std::future::pending;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use azurelug_core::gateway::shutdown::Shutdown;
use azurelug_gateway::gateway::Gateway;
use azurelug_gateway::serve::DEADLINE_GRACE;
use azurelug_gateway::settings::Settings;
use azurelug_settings::read;
use azurelug_wire::handshake::Identity;

/// Guards against an exchange that misses its deadline and is cancelled only after the process has
/// exited, so that its client gets no answer.
#[tokio::test(start_paused = true)]
async fn an_exchange_that_misses_its_deadline_is_cancelled_before_the_exit() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway.yaml");
    let settings: Settings = read::file(&file).unwrap();
    let identity = Arc::new(Identity {
        cluster: settings.cluster.clone(),
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: 1,
        key: vec![7; 32],
    });
    for grace in [100, 600, 1000, 1600, 4000, 8000, 30_000].map(Duration::from_millis) {
        let gateway = Gateway::new(&settings, Arc::clone(&identity));
        let shutdown = Shutdown::new(gateway.now(), grace);
        gateway.stop(shutdown);
        let deadline = gateway.at(gateway.now() + Duration::from_secs(60));
        let run = gateway.run_until_with_margin(deadline, DEADLINE_GRACE, pending::<()>());
        assert_eq!(run.await, None);
        let (ended_at, exits_at) = (gateway.now(), shutdown.exits_at());
        assert!(ended_at < exits_at, "{grace:?}: {ended_at:?}, {exits_at:?}");
        assert!(ended_at > shutdown.latest_end(), "{grace:?}: {ended_at:?}");
    }
}
