//! The entry daemons that renew their lease here, and whether each is alive, suspect or gone.
//!
//! The registry stores names, acknowledged versions and reasons; [`Members`] decides the states. A
//! daemon must not be marked gone when only the lag of the platform's list may explain why it is
//! not listed.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_clock::Clock;
use azurelug_coordination::lease::Identity;
use azurelug_coordination::membership::{Answer, Change, Members, Renewal, Settings, State};
use azurelug_core::lease_mode::LEASE;
use azurelug_types::id::{DaemonName, Version, ZoneName};
use serde::Serialize;
use tokio::time::{MissedTickBehavior, interval};

/// Maximum number of daemons in the registry, and of starts of daemons in [`Members`].
const MAX_DAEMONS: usize = 4096;

/// Interval at which the states are updated: half of [`Settings::longest_pause`].
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a gone daemon is shown. It is shown for longer while the platform lists it: it may be
/// partitioned and serve its own zone with the version that it last acknowledged.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// The state that a daemon reports in a renewal.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version it acknowledges.
    pub version: Version,
    /// Requests it has in flight.
    pub in_flight: u32,
}

#[derive(Debug)]
struct DaemonEntry {
    id: u64,
    /// The latest start and the earlier ones that are not gone: the random number of each, mapped
    /// to its position in the order of arrival.
    starts: HashMap<u64, u64>,
    latest: u64,
    report: Report,
    renewed: Duration,
    /// When the latest answer was sent whose receipt is confirmed, as of the latest tick.
    last_round_trip: Duration,
    /// Whether it has been in the platform's list since its latest start.
    was_listed: bool,
    /// When and why it was marked gone.
    gone: Option<(Duration, String)>,
}

/// One daemon in the status.
#[derive(Clone, Debug, Serialize)]
pub struct DaemonRow {
    /// The daemon.
    pub name: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version it last acknowledged.
    pub version: Version,
    /// Requests it had in flight.
    pub in_flight: u32,
    /// `alive`, `suspect` or `gone`.
    pub state: &'static str,
    /// Why it is not alive, and its state in the platform's list; empty if neither applies.
    pub reason: String,
    /// Time since its last renewal in milliseconds.
    pub renewed_ms_ago: u64,
}

#[derive(Debug)]
struct Daemons {
    members: Members,
    entries: BTreeMap<DaemonName, DaemonEntry>,
    names: HashMap<u64, DaemonName>,
    /// The VMs in the platform's latest list, and whether each is leaving.
    listed: Option<HashMap<String, bool>>,
    last_id: u64,
}

/// The entry daemons that are known here.
#[derive(Debug)]
pub struct Registry {
    started: Clock,
    daemons: Mutex<Daemons>,
}

/// Updates the states in the registry at every tick until the process ends.
pub async fn run_ticks(registry: Arc<Registry>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        registry.tick();
    }
}

impl Default for Registry {
    fn default() -> Self {
        Self::new()
    }
}

impl Registry {
    /// An empty registry.
    pub fn new() -> Self {
        let settings = Settings {
            term: LEASE,
            members: MAX_DAEMONS,
            ..Settings::default()
        };
        let daemons = Daemons {
            members: Members::new(Duration::ZERO, settings),
            entries: BTreeMap::new(),
            names: HashMap::new(),
            listed: None,
            last_id: 0,
        };
        Self {
            started: Clock::start(),
            daemons: Mutex::new(daemons),
        }
    }

    /// Processes a renewal of the start `incarnation` of the daemon `name`. Returns none if the
    /// renewal is late or a duplicate, or if there are too many daemons.
    pub fn renew(
        &self,
        (name, incarnation): (&DaemonName, u64),
        (sequence, heard): (u64, u64),
        report: Report,
    ) -> Option<Answer> {
        let (now, mut daemons) = self.lock();
        daemons.renew(now, (name, incarnation), (sequence, heard), report)
    }

    /// Stores the platform's list: the names of the VMs, and whether each is leaving.
    pub fn set_vm_list(&self, vms: impl Iterator<Item = (String, bool)>) {
        let (_, mut daemons) = self.lock();
        daemons.listed = Some(vms.collect());
        daemons.apply_vm_list();
    }

    /// Updates all states to the current time.
    pub fn tick(&self) {
        let (now, mut daemons) = self.lock();
        daemons.tick(now);
    }

    /// All daemons in the registry.
    pub fn rows(&self) -> Vec<DaemonRow> {
        let (now, daemons) = self.lock();
        let row = |(name, entry): (&DaemonName, &DaemonEntry)| daemons.row(now, name, entry);
        daemons.entries.iter().map(row).collect()
    }

    fn lock(&self) -> (Duration, MutexGuard<'_, Daemons>) {
        let daemons = self.daemons.lock().expect("no holder of the lock panics");
        // Read under the lock, so that time never runs backwards between two events.
        (self.started.elapsed(), daemons)
    }
}

impl Daemons {
    fn renew(
        &mut self,
        now: Duration,
        (name, incarnation): (&DaemonName, u64),
        (sequence, heard): (u64, u64),
        report: Report,
    ) -> Option<Answer> {
        let known = self.entries.get(name);
        if known.is_none() && self.entries.len() >= MAX_DAEMONS {
            return None;
        }
        let id = known.map_or(self.last_id + 1, |entry| entry.id);
        let (start, latest) = match known {
            Some(entry) => match entry.starts.get(&incarnation) {
                Some(start) => (*start, entry.latest),
                None => (entry.latest + 1, entry.latest + 1),
            },
            None => (1, 1),
        };
        let renewal = Renewal {
            member: Identity {
                id,
                incarnation: start,
            },
            sequence,
            heard,
        };
        let mut changes = Vec::new();
        let answer = self.members.renew(now, renewal, &mut changes)?;
        // A new start is always suspect until its first round trip, so this change is not logged.
        changes.retain(|change| change.state != State::Suspect);
        self.last_id = self.last_id.max(id);
        self.names.insert(id, name.clone());
        let listed = self.listed.as_ref();
        let is_listed = listed.is_some_and(|listed| listed.contains_key(&name.0));
        let entry = self
            .entries
            .entry(name.clone())
            .or_insert_with(|| DaemonEntry {
                id,
                starts: HashMap::new(),
                latest,
                report: report.clone(),
                renewed: now,
                last_round_trip: now,
                was_listed: is_listed,
                gone: None,
            });
        let is_new = entry.starts.insert(incarnation, start).is_none();
        if is_new && start == latest {
            entry.was_listed = is_listed;
        }
        entry.latest = latest;
        // A late renewal of an earlier start has no information about the latest one.
        if start == latest {
            entry.report = report;
            entry.renewed = now;
            entry.gone = None;
        }
        self.record_changes(now, &changes);
        if is_new {
            self.apply_vm_list();
        }
        Some(answer)
    }

    /// Passes the platform's list to [`Members`]. The list lags: a daemon that has not been in it
    /// yet may be too new for it, and counts as listed.
    fn apply_vm_list(&mut self) {
        let Some(vms) = &self.listed else {
            return;
        };
        for (name, entry) in &mut self.entries {
            entry.was_listed |= vms.contains_key(&name.0);
        }
        let live = self.entries.iter().filter_map(|(name, entry)| {
            let leaving = vms.get(&name.0).copied();
            let leaving = leaving.or((!entry.was_listed).then_some(false))?;
            Some((entry.id, leaving))
        });
        self.members.set_listed(live);
    }

    fn tick(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            let member = Identity {
                id: entry.id,
                incarnation: entry.latest,
            };
            entry.last_round_trip = self
                .members
                .confirmed_at(member)
                .unwrap_or(entry.last_round_trip);
        }
        let mut changes = Vec::new();
        self.members.tick(now, &mut changes);
        self.record_changes(now, &changes);
        self.forget(now);
    }

    /// Logs changes and stores the reason of each daemon that is gone.
    fn record_changes(&mut self, now: Duration, changes: &[Change]) {
        for change in changes {
            let Some(name) = self.names.get(&change.member.id).cloned() else {
                continue;
            };
            let reason = self.reason(now, &name, change.member);
            let Some(entry) = self.entries.get_mut(&name) else {
                continue;
            };
            if change.state == State::Gone {
                let start = change.member.incarnation;
                if start < entry.latest {
                    entry.starts.retain(|_, known| *known != start);
                    log::info!("members: an earlier start of {name} is gone");
                    continue;
                }
                entry.gone = Some((now, reason.clone()));
            }
            match change.state {
                State::Alive => log::info!("members: {name} is alive"),
                State::Suspect => log::info!("members: {name} is suspect: {reason}"),
                State::Gone => log::warn!("members: {name} is gone: {reason}"),
            }
        }
    }

    /// Removes daemons that have been gone for [`GONE_RETENTION`], unless the platform still lists
    /// them.
    fn forget(&mut self, now: Duration) {
        let (names, listed) = (&mut self.names, self.listed.as_ref());
        self.entries.retain(|name, entry| {
            let is_listed = listed.is_some_and(|listed| listed.contains_key(&name.0));
            let is_old = matches!(entry.gone, Some((since, _)) if now >= since + GONE_RETENTION);
            let is_forgotten = is_old && !is_listed && entry.starts.len() <= 1;
            if is_forgotten {
                names.remove(&entry.id);
            }
            !is_forgotten
        });
    }

    fn row(&self, now: Duration, name: &DaemonName, entry: &DaemonEntry) -> DaemonRow {
        let member = Identity {
            id: entry.id,
            incarnation: entry.latest,
        };
        let (state, reason) = match (&entry.gone, self.members.state(member)) {
            (Some((_, reason)), _) => ("gone", reason.clone()),
            (None, State::Alive) => ("alive", self.listing(name)),
            (None, State::Suspect | State::Gone) => ("suspect", self.reason(now, name, member)),
        };
        let age = now.saturating_sub(entry.renewed);
        DaemonRow {
            name: name.clone(),
            zone: entry.report.zone.clone(),
            version: entry.report.version,
            in_flight: entry.report.in_flight,
            state,
            reason,
            renewed_ms_ago: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Why a member is not alive.
    fn reason(&self, now: Duration, name: &DaemonName, member: Identity) -> String {
        let known = self.entries.get(name).map(|entry| entry.last_round_trip);
        let since = self.members.confirmed_at(member).or(known).unwrap_or(now);
        let silent = now.saturating_sub(since).as_secs_f64();
        let listing = self.listing(name);
        let separator = if listing.is_empty() { "" } else { ", " };
        format!("no round trip for {silent:.1} s{separator}{listing}")
    }

    /// Whether the daemon is leaving or no longer listed, as text; empty if neither applies.
    fn listing(&self, name: &DaemonName) -> String {
        let listed = self.listed.as_ref().map(|listed| listed.get(&name.0));
        let was_listed = self.entries.get(name).is_some_and(|entry| entry.was_listed);
        let text = match listed {
            Some(Some(true)) => "leaving by the platform's list",
            Some(None) if was_listed => "no longer in the platform's list",
            _ => "",
        };
        text.to_owned()
    }
}
