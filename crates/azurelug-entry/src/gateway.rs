//! What all request handlers of the daemon share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use azurelug_core::lease_mode::Mode;
use azurelug_core::routing::{CallKey, Choice, Completion, NoTarget, Outcome, Query, Router};
use azurelug_http::Client;
use azurelug_types::config::Config;
use azurelug_types::id::{AccountName, DaemonName, TargetName, Version, ZoneName};
use rand::SeedableRng;
use tokio::time::Instant;

use crate::admit::Admit;
use crate::estimates::Estimates;
use crate::link::Link;
use crate::metrics::Metrics;
use crate::recent::{Decision, Recent};
use crate::refused::Refused;
use crate::shares::{Held, Shares};
use crate::shutdown::Shutdown;
use crate::slots::Waiting;
use crate::view::View;

/// Choices made for one call until a target has a slot.
const MAX_CHOICES: u32 = 4;

/// When a slot may be free after all targets were found busy.
const RETRY_BUSY: Duration = Duration::from_millis(100);

/// The shared state. It owns the router, the lease and the configuration in force.
pub struct Gateway {
    /// This daemon.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The connection to control.
    pub link: Link,
    /// Shares of the targets' limits.
    pub shares: Shares,
    /// For calls that may repeat.
    pub pooled: Client,
    /// For calls that must not repeat.
    pub unpooled: Client,
    /// Metrics.
    pub metrics: Metrics,
    /// The newest routing decisions.
    pub recent: Recent,
    /// Log lines about refused requests.
    pub refused: Refused,
    /// The state of the shutdown.
    pub shutdown: Shutdown,
    /// Latencies and repeat budgets of the stages.
    pub estimates: Arc<Estimates>,
    /// Which requests run.
    pub admit: Arc<Admit>,
    /// Calls that wait for a slot of a target.
    pub waiting: Waiting,
    started: Instant,
    view: RwLock<Option<Arc<View>>>,
    router: Mutex<Router>,
    renewed: Mutex<Option<Duration>>,
    accounts: Mutex<HashMap<AccountName, u32>>,
}

impl Gateway {
    /// A gateway without a configuration; it refuses all work until one arrives.
    ///
    /// # Errors
    /// If the HTTP clients can't be built.
    pub fn new(
        name: DaemonName,
        zone: ZoneName,
        link: Link,
        shares: Shares,
    ) -> Result<Self, azurelug_http::Error> {
        let settings = azurelug_core::routing::Settings::new(zone.clone());
        let random = rand_pcg::Pcg32::seed_from_u64(rand::random());
        let estimates = Arc::new(Estimates::default());
        Ok(Self {
            name,
            zone,
            link,
            shares,
            pooled: Client::pooled()?,
            unpooled: Client::unpooled()?,
            metrics: Metrics::new(),
            recent: Recent::default(),
            refused: Refused::default(),
            shutdown: Shutdown::default(),
            admit: Arc::new(Admit::new(Arc::clone(&estimates))),
            estimates,
            waiting: Waiting::default(),
            started: Instant::now(),
            view: RwLock::new(None),
            router: Mutex::new(Router::new(settings, random)),
            renewed: Mutex::new(None),
            accounts: Mutex::new(HashMap::new()),
        })
    }

    /// Time since the daemon started, by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The configuration in force.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view
            .read()
            .expect("no holder of the lock panics")
            .clone()
    }

    /// The version in force, 0 before the first one.
    pub fn version(&self) -> Version {
        self.view().map_or(Version(0), |view| view.config.version)
    }

    /// Puts a newer version in force. An older one is ignored.
    pub fn apply(&self, config: Config) {
        let config = Arc::new(config);
        let now = self.now();
        let mut router = self.router.lock().expect("no holder of the lock panics");
        if !router.apply(&config, now) {
            return;
        }
        self.shares.apply(&config, |name| router.table().key(name));
        log::info!("entry: version {} is in force", config.version);
        self.metrics
            .version
            .set(i64::try_from(config.version.0).unwrap_or(i64::MAX));
        let view = Arc::new(View::new(config, &self.zone));
        *self.view.write().expect("no holder of the lock panics") = Some(view);
        drop(router);
        self.refresh_grants();
    }

    /// Notes that the version in force was known to be the newest at `at`.
    pub fn renewed(&self, at: Duration) {
        let mut renewed = self.renewed.lock().expect("no holder of the lock panics");
        *renewed = Some(renewed.map_or(at, |known| known.max(at)));
    }

    /// What the lease allows now.
    pub fn mode(&self) -> Mode {
        let renewed = *self.renewed.lock().expect("no holder of the lock panics");
        let policy = self
            .view()
            .map(|view| view.on_partition)
            .unwrap_or_default();
        Mode::at(renewed, policy, self.now())
    }

    /// Chooses a target and takes a slot of it for a call that ends after `time_left` at the latest.
    /// `call` names the call in the state dump.
    ///
    /// # Errors
    /// Why no target can be used now.
    pub fn begin(
        self: &Arc<Self>,
        call: &str,
        query: &Query<'_>,
        time_left: Duration,
    ) -> Result<InFlight, NoTarget> {
        let now = self.now();
        let mode = self.mode();
        let mut router = self.router.lock().expect("no holder of the lock panics");
        router.set_mode(mode);
        let chosen = self.choose(&mut router, query, time_left, now);
        if let Err(NoTarget::AllBusy { .. }) = &chosen {
            self.shares.starved(query.need);
        }
        let reason = match &chosen {
            Ok(taken) => taken.choice.describe(router.table()),
            Err(error) => error.to_string(),
        };
        let at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.recent.add(Decision {
            call: call.to_owned(),
            reason,
            at_ms,
        });
        let Taken { choice, key, held } = chosen?;
        let entry = router
            .table()
            .target(choice.target)
            .expect("a chosen target is in the table");
        Ok(InFlight {
            target: entry.name.clone(),
            address: entry.address,
            choice,
            began: now,
            key: Some(key),
            held: Some(held),
            gateway: Arc::clone(self),
        })
    }

    /// Chooses until a target has a slot in the shares as well. The router's view of the shares can
    /// be older than the shares themselves, for instance when a lease has just expired.
    fn choose(
        &self,
        router: &mut Router,
        query: &Query<'_>,
        time_left: Duration,
        now: Duration,
    ) -> Result<Taken, NoTarget> {
        let mut refusal = NoTarget::AllBusy {
            members: 1,
            retry_after: RETRY_BUSY,
        };
        for _ in 0..MAX_CHOICES {
            let choice = router.choose(query, now)?;
            let Some(key) = router.begin(choice.target, now) else {
                continue;
            };
            let name = router
                .table()
                .target(choice.target)
                .map(|entry| entry.name.clone());
            let name = name.ok_or(NoTarget::NotConfigured)?;
            match self.shares.start(&name, time_left) {
                Ok(held) => return Ok(Taken { choice, key, held }),
                Err(_) => {
                    let outcome = Outcome {
                        completion: Completion::Cancelled,
                        first_token: None,
                    };
                    router.finish(key, outcome, now);
                    let own = router.in_flight(choice.target);
                    router.grant(choice.target, Some(own), now);
                    refusal = NoTarget::AllBusy {
                        members: MAX_CHOICES,
                        retry_after: RETRY_BUSY,
                    };
                }
            }
        }
        Err(refusal)
    }

    /// Passes the slots that the shares allow now on to the router. Calls whose end is not known
    /// still occupy their slots in the shares, but no longer count in the router.
    pub fn refresh_grants(&self) {
        let slots = self.shares.slots();
        let now = self.now();
        let mut router = self.router.lock().expect("no holder of the lock panics");
        for (target, free) in slots {
            let own = router.in_flight(target);
            router.grant(target, Some(own + free), now);
        }
    }

    /// Runs `read` on the router, for state dumps.
    pub fn with_router<T>(&self, read: impl FnOnce(&mut Router, Duration) -> T) -> T {
        let now = self.now();
        read(
            &mut self.router.lock().expect("no holder of the lock panics"),
            now,
        )
    }

    /// Counts a call of an account, unless the account has reached `limit`.
    pub fn enter_account(self: &Arc<Self>, name: &AccountName, limit: u32) -> Option<AccountSlot> {
        let mut accounts = self.accounts.lock().expect("no holder of the lock panics");
        let count = accounts.entry(name.clone()).or_insert(0);
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(AccountSlot {
            name: name.clone(),
            gateway: Arc::clone(self),
        })
    }
}

/// A chosen target with its slots.
struct Taken {
    choice: Choice,
    key: CallKey,
    held: Held,
}

/// A call's slot at a target. Dropping it counts the call as cancelled; whether it has ended at the
/// target is not known then, so that its slot comes back only after the call's deadline.
pub struct InFlight {
    /// The target's name.
    pub target: TargetName,
    /// The target's address.
    pub address: std::net::SocketAddr,
    /// Why it was chosen.
    pub choice: Choice,
    /// When the slot was taken.
    pub began: Duration,
    key: Option<CallKey>,
    held: Option<Held>,
    gateway: Arc<Gateway>,
}

impl InFlight {
    /// Gives the slot of a call back that has ended at the target.
    pub fn close(mut self, completion: Completion, first_token: Option<Duration>) {
        if let Some(held) = self.held.take() {
            self.gateway.shares.end(held);
        }
        self.finish(Outcome {
            completion,
            first_token,
        });
    }

    /// Counts a call whose end at the target is not known, for instance after a timeout.
    pub fn abandon(mut self, completion: Completion) {
        self.finish(Outcome {
            completion,
            first_token: None,
        });
    }

    /// Time since the slot was taken.
    pub fn elapsed(&self) -> Duration {
        self.gateway.now().saturating_sub(self.began)
    }

    fn finish(&mut self, outcome: Outcome) {
        let Some(key) = self.key.take() else { return };
        let finished = self
            .gateway
            .with_router(|router, now| router.finish(key, outcome, now));
        if finished.is_some_and(|finished| finished.turned_cold) {
            log::warn!("entry: target {} turned cold", self.target);
            self.gateway.shares.turned_cold(&self.target);
        }
        self.gateway.waiting.freed();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.finish(Outcome {
            completion: Completion::Cancelled,
            first_token: None,
        });
    }
}

/// Counts a request in flight until it is dropped.
pub struct Running(Arc<Gateway>);

impl Running {
    /// Counts one more.
    pub fn start(gateway: &Arc<Gateway>) -> Self {
        gateway.metrics.in_flight.inc();
        Self(Arc::clone(gateway))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// A running call of an account. Dropping it ends the count.
pub struct AccountSlot {
    name: AccountName,
    gateway: Arc<Gateway>,
}

impl Drop for AccountSlot {
    fn drop(&mut self) {
        let mut accounts = self
            .gateway
            .accounts
            .lock()
            .expect("no holder of the lock panics");
        if let Some(count) = accounts.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                accounts.remove(&self.name);
            }
        }
    }
}
