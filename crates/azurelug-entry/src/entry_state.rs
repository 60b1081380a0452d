//! The state that all request handlers of the daemon share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_core::lease_mode::Mode;
use azurelug_core::routing::{CallKey, Choice, Completion, NoTarget, Outcome, Query, Router};
use azurelug_http::Client;
use azurelug_http::clients::Clients;
use azurelug_settings::ClientLimits;
use azurelug_settings::clients::Machine;
use azurelug_types::config::Config;
use azurelug_types::id::{AccountName, DaemonName, TargetName, Version, ZoneName};
use rand::SeedableRng;

use crate::admission::AdmissionController;
use crate::clients;
use crate::control_link::ControlLink;
use crate::estimates::Estimates;
use crate::metrics::Metrics;
use crate::recent_decisions::{Decision, RecentDecisions};
use crate::refusal_log::RefusalLog;
use crate::shares::{ShareSlot, Shares};
use crate::shutdown::Shutdown;
use crate::slots::SlotQueues;
use crate::view::View;

/// Limit of choices for one call until a target has a free slot.
const MAX_CHOICES: u32 = 4;

/// Retry time if all targets are busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The shared state. It owns the router, the configuration lease and the configuration in force.
pub struct EntryState {
    /// The daemon's name.
    pub name: DaemonName,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The connection to a control daemon.
    pub control_link: ControlLink,
    /// This daemon's shares of the targets' limits.
    pub shares: Shares,
    /// HTTP client for calls that may be repeated.
    pub pooled: Client,
    /// HTTP client for calls that must not be repeated.
    pub unpooled: Client,
    /// The daemon's metrics.
    pub metrics: Metrics,
    /// Bounds on what is held for callers.
    pub clients: Clients,
    /// The most recent routing decisions.
    pub recent_decisions: RecentDecisions,
    /// Logs refused and failed requests, under a rate limit.
    pub refusal_log: RefusalLog,
    /// The state of the shutdown.
    pub shutdown: Shutdown,
    /// Latencies and retry budgets of the stages.
    pub estimates: Arc<Estimates>,
    /// Admission control of pipeline requests.
    pub admission: Arc<AdmissionController>,
    /// The queues of calls that wait for a free slot.
    pub slot_queues: SlotQueues,
    started: Clock,
    view: RwLock<Option<Arc<View>>>,
    router: Mutex<Router>,
    renewed_at: Mutex<Option<Duration>>,
    accounts: Mutex<HashMap<AccountName, u32>>,
}

impl EntryState {
    /// Creates the state without a configuration; all requests are refused until one arrives.
    ///
    /// # Errors
    /// If the HTTP clients can't be built.
    pub fn new(
        name: DaemonName,
        zone: ZoneName,
        control_link: ControlLink,
        shares: Shares,
    ) -> Result<Self, azurelug_http::Error> {
        let settings = azurelug_core::routing::Settings::new(zone.clone());
        let random = rand_pcg::Pcg32::seed_from_u64(rand::random());
        let estimates = Arc::new(Estimates::default());
        Ok(Self {
            name,
            zone,
            control_link,
            shares,
            pooled: Client::pooled()?,
            unpooled: Client::unpooled()?,
            metrics: Metrics::new(),
            clients: clients::bounds(Machine::default(), &ClientLimits::default()),
            recent_decisions: RecentDecisions::default(),
            refusal_log: RefusalLog::default(),
            shutdown: Shutdown::default(),
            admission: Arc::new(AdmissionController::new(Arc::clone(&estimates))),
            estimates,
            slot_queues: SlotQueues::default(),
            started: Clock::start(),
            view: RwLock::new(None),
            router: Mutex::new(Router::new(settings, random)),
            renewed_at: Mutex::new(None),
            accounts: Mutex::new(HashMap::new()),
        })
    }

    /// Replaces the bounds on what is held for callers, which are the default ones at first.
    #[must_use]
    pub fn with_clients(mut self, clients: Clients) -> Self {
        self.clients = clients;
        self
    }

    /// Time since the daemon started, including suspensions of the machine.
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

    /// The version in force; 0 before the first configuration.
    pub fn version(&self) -> Version {
        self.view().map_or(Version(0), |view| view.config.version)
    }

    /// Puts a newer configuration version in force; ignores an older one.
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

    /// Records that the version in force was known to be the latest at `at`.
    pub fn record_renewal(&self, at: Duration) {
        let mut renewed_at = self
            .renewed_at
            .lock()
            .expect("no holder of the lock panics");
        *renewed_at = Some(renewed_at.map_or(at, |known| known.max(at)));
    }

    /// The mode of operation that the configuration lease permits now.
    pub fn mode(&self) -> Mode {
        let renewed_at = *self
            .renewed_at
            .lock()
            .expect("no holder of the lock panics");
        let policy = self
            .view()
            .map(|view| view.on_partition)
            .unwrap_or_default();
        Mode::at(renewed_at, policy, self.now())
    }

    /// Chooses a target and acquires a slot there for a call that ends within `time_left`. `call`
    /// identifies the call in the state dump.
    ///
    /// # Errors
    /// The reason why no target can be used now.
    pub fn acquire_slot(
        self: &Arc<Self>,
        call: &str,
        query: &Query<'_>,
        time_left: Duration,
    ) -> Result<InFlightCall, NoTarget> {
        let now = self.now();
        let mode = self.mode();
        let mut router = self.router.lock().expect("no holder of the lock panics");
        router.set_mode(mode);
        let chosen = self.choose_target(&mut router, query, time_left, now);
        if let Err(NoTarget::AllBusy { .. }) = &chosen {
            self.shares.mark_starved(query.need);
        }
        let reason = match &chosen {
            Ok(selection) => selection.choice.describe(router.table()),
            Err(error) => error.to_string(),
        };
        let at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.recent_decisions.add(Decision {
            call: call.to_owned(),
            reason,
            at_ms,
        });
        let Selection {
            choice,
            key,
            share_slot,
        } = chosen?;
        let entry = router
            .table()
            .target(choice.target)
            .expect("a chosen target is in the table");
        Ok(InFlightCall {
            target: entry.name.clone(),
            address: entry.address,
            choice,
            acquired_at: now,
            key: Some(key),
            share_slot: Some(share_slot),
            entry_state: Arc::clone(self),
        })
    }

    /// Repeats the choice until the target also has a free slot in the shares. The router's copy of
    /// the shares can be out of date, for instance when a lease has just expired.
    fn choose_target(
        &self,
        router: &mut Router,
        query: &Query<'_>,
        time_left: Duration,
        now: Duration,
    ) -> Result<Selection, NoTarget> {
        let mut refusal = NoTarget::AllBusy {
            members: 1,
            retry_after: BUSY_RETRY_AFTER,
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
            match self.shares.acquire(&name, time_left) {
                Ok(share_slot) => {
                    return Ok(Selection {
                        choice,
                        key,
                        share_slot,
                    });
                }
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
                        retry_after: BUSY_RETRY_AFTER,
                    };
                }
            }
        }
        Err(refusal)
    }

    /// Updates the router with the slots that the shares allow now. Calls whose end is not known
    /// still occupy their slots in the shares, but are no longer counted by the router.
    pub fn refresh_grants(&self) {
        let slots = self.shares.slots();
        let now = self.now();
        let mut router = self.router.lock().expect("no holder of the lock panics");
        for (target, free) in slots {
            let own = router.in_flight(target);
            router.grant(target, Some(own + free), now);
        }
    }

    /// Runs `read` on the router, under its lock.
    pub fn with_router<T>(&self, read: impl FnOnce(&mut Router, Duration) -> T) -> T {
        let now = self.now();
        read(
            &mut self.router.lock().expect("no holder of the lock panics"),
            now,
        )
    }

    /// Counts a call in flight of an account; returns `None` if the account has reached `limit`.
    pub fn acquire_account_slot(
        self: &Arc<Self>,
        name: &AccountName,
        limit: u32,
    ) -> Option<AccountSlot> {
        let mut accounts = self.accounts.lock().expect("no holder of the lock panics");
        let count = accounts.entry(name.clone()).or_insert(0);
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(AccountSlot {
            name: name.clone(),
            entry_state: Arc::clone(self),
        })
    }
}

/// A chosen target with the slots acquired there, in the router and in the shares.
struct Selection {
    choice: Choice,
    key: CallKey,
    share_slot: ShareSlot,
}

/// A call's slot at a target. Dropping it counts the call as cancelled. Whether the call has ended
/// at the target is not known in that case, so that the slot is freed only after the call's
/// deadline.
pub struct InFlightCall {
    /// The target's name.
    pub target: TargetName,
    /// The target's address.
    pub address: std::net::SocketAddr,
    /// The choice of the target, with its reasons.
    pub choice: Choice,
    /// Time since the daemon started at which the slot was acquired.
    pub acquired_at: Duration,
    key: Option<CallKey>,
    share_slot: Option<ShareSlot>,
    entry_state: Arc<EntryState>,
}

impl InFlightCall {
    /// Releases the slot of a call that has ended at the target.
    pub fn release(mut self, completion: Completion, first_token: Option<Duration>) {
        if let Some(share_slot) = self.share_slot.take() {
            self.entry_state.shares.release(share_slot);
        }
        self.finish(Outcome {
            completion,
            first_token,
        });
    }

    /// Records the outcome of a call that may still run at the target, for instance after a
    /// timeout. The slot stays occupied until the call's deadline.
    pub fn abandon(mut self, completion: Completion) {
        self.finish(Outcome {
            completion,
            first_token: None,
        });
    }

    /// Records that the call has not answered in time, although it goes on. The router no longer
    /// counts it, but its slot in the shares stays occupied.
    pub fn record_timeout(&mut self) {
        self.finish(Outcome {
            completion: Completion::TimedOut,
            first_token: None,
        });
    }

    /// Time since the slot was acquired.
    pub fn elapsed(&self) -> Duration {
        self.entry_state.now().saturating_sub(self.acquired_at)
    }

    fn finish(&mut self, outcome: Outcome) {
        let Some(key) = self.key.take() else { return };
        let finished = self
            .entry_state
            .with_router(|router, now| router.finish(key, outcome, now));
        if finished.is_some_and(|finished| finished.turned_cold) {
            log::warn!(
                "entry: target {} shows signs of a cold start; its limit is reduced",
                self.target
            );
            self.entry_state.shares.record_cold_start(&self.target);
        }
        self.entry_state.slot_queues.notify_freed();
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.finish(Outcome {
            completion: Completion::Cancelled,
            first_token: None,
        });
    }
}

/// Counts a request as in flight until it is dropped.
pub struct RunningRequest(Arc<EntryState>);

impl RunningRequest {
    /// Counts one more request as in flight.
    pub fn start(entry_state: &Arc<EntryState>) -> Self {
        entry_state.metrics.in_flight.inc();
        Self(Arc::clone(entry_state))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// A call in flight of an account; no longer counted once dropped.
pub struct AccountSlot {
    name: AccountName,
    entry_state: Arc<EntryState>,
}

impl Drop for AccountSlot {
    fn drop(&mut self) {
        let mut accounts = self
            .entry_state
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
