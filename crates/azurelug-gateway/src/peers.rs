//! The other gateways, and connections to them.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use azurelug_core::gateway::reachability::Reachability;
use azurelug_core::gateway::rendezvous;
use azurelug_core::gateway::roster::Roster;
use azurelug_types::fleet::{Booking, List, Peer, Pieces, PiecesEnd};
use azurelug_types::id::{ServiceName, ZoneName};
use azurelug_wire::handshake::Identity;
use azurelug_wire::{Connection, Error, Frame};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::gateway::Gateway;
use crate::settings::Settings;

/// Time for which a gateway that did not answer gets no requests. The control daemons remove it
/// from the list after about the same time.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// How long before the end of a suspicion the gateway is probed: two polls of the control daemons,
/// because probes are sent together with polls.
const PROBE_AHEAD: Duration = Duration::from_millis(700);

/// Timeout for the confirmation of an order: TCP resends a lost packet after 200 ms and again after
/// twice as long. Two dispatchers for the same targets do more harm than a late start.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// A group of a service's targets: those of one zone, or all if none.
pub type Scope = Option<ZoneName>;

/// Delay for batching the released handles of many requests into one message. It is short because
/// unreleased results occupy memory for seconds.
const RELEASE_BATCH_DELAY: Duration = Duration::from_millis(25);

/// Timeout for a dispatcher to confirm released handles.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the handles sent to a dispatcher are remembered: about two calls, until it has informed
/// the targets. If it fails, they are sent again to its successor.
const RESEND_WINDOW: Duration = Duration::from_millis(800);

/// Gateways that are tried as dispatcher of one order; the third covers two that have just stopped.
const MAX_DISPATCHERS: usize = 3;

struct State {
    roster: Roster,
    /// The gateways of the roster.
    peers: Arc<[Peer]>,
    /// Digest of the last list; 0 if it was not complete.
    digest: u64,
    /// The control daemon that answered last.
    control: Option<SocketAddr>,
    connections: HashMap<SocketAddr, Connection>,
    suspects: HashMap<SocketAddr, Instant>,
    /// Queue delay that each dispatcher reported last, and when.
    delays: HashMap<(ServiceName, Scope), (Duration, Instant)>,
    /// Released handles that are still to be sent to dispatchers.
    pending_releases: Vec<String>,
    /// Released handles that were recently sent to each dispatcher, and when.
    recent_releases: HashMap<SocketAddr, VecDeque<(Instant, Vec<String>)>>,
    /// Released handles that are sent again to the successor of a failed dispatcher.
    resends: Vec<String>,
    /// Reachability of the zones.
    reachability: Reachability,
    /// Services that run pieces of stages, sorted by name.
    staged: Vec<ServiceName>,
    /// Cache of the gateways that may dispatch, by falling preference. Cleared when the gateways or
    /// the services change.
    dispatchers: HashMap<(ServiceName, Scope), Arc<[Peer]>>,
}

impl State {
    fn new(own: &Peer) -> Self {
        Self {
            roster: Roster::new(own.clone()),
            peers: Arc::from([own.clone()]),
            digest: 0,
            control: None,
            connections: HashMap::new(),
            suspects: HashMap::new(),
            delays: HashMap::new(),
            pending_releases: Vec::new(),
            recent_releases: HashMap::new(),
            resends: Vec::new(),
            reachability: Reachability::default(),
            staged: Vec::new(),
            dispatchers: HashMap::new(),
        }
    }

    fn zone(&self, address: SocketAddr) -> Option<ZoneName> {
        let peer = self.peers.iter().find(|peer| peer.address == address);
        peer.map(|peer| peer.zone.clone())
    }

    fn record_answer(&mut self, address: SocketAddr) {
        self.suspects.remove(&address);
        if let Some(zone) = self.zone(address) {
            self.reachability.answered(&zone);
        }
    }

    fn record_release(&mut self, address: SocketAddr, handles: &[String]) {
        let now = Instant::now();
        let releases = self.recent_releases.entry(address).or_default();
        while releases
            .front()
            .is_some_and(|(at, _)| *at + RESEND_WINDOW < now)
        {
            releases.pop_front();
        }
        releases.push_back((now, handles.to_vec()));
    }

    /// Queues the handles that a failed dispatcher may have lost for its successor.
    fn queue_resends(&mut self, address: SocketAddr) {
        let oldest = Instant::now().checked_sub(RESEND_WINDOW);
        let releases = self
            .recent_releases
            .remove(&address)
            .unwrap_or_default()
            .into_iter();
        let recent = releases.filter(|(at, _)| oldest.is_none_or(|oldest| *at >= oldest));
        let handles = recent.flat_map(|(_, handles)| handles);
        self.resends.extend(handles);
    }
}

/// The other gateways and the connections to them.
pub struct Peers {
    own: Peer,
    identity: Arc<Identity>,
    state: Mutex<State>,
}

impl Peers {
    /// Creates a list that contains only this gateway.
    pub fn new(settings: &Settings, identity: Arc<Identity>) -> Self {
        let own = Peer {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.internal,
            capacity: settings.capacity(),
        };
        let state = Mutex::new(State::new(&own));
        Self {
            own,
            identity,
            state,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// This gateway.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Digest of the current list; 0 before the first one, and if gateways may be missing in it.
    pub fn digest(&self) -> u64 {
        self.state().digest
    }

    /// The number by which bounds for all gateways together are divided.
    pub fn count(&self, now: Duration) -> usize {
        self.state().roster.count(now)
    }

    /// Takes over a list of a control daemon that has received polls for `known_for`. Returns
    /// whether the gateways have changed.
    pub fn set_peers(&self, list: &List<Peer>, known_for: Duration, now: Duration) -> bool {
        let mut state = self.state();
        let is_changed = state.roster.replace(&list.entries, known_for, now);
        let is_complete = state.roster.is_complete();
        state.digest = if is_complete { list.digest } else { 0 };
        if !is_changed {
            return false;
        }
        let peers: Arc<[Peer]> = state.roster.peers().cloned().collect();
        let addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
        let gone = |address: &&SocketAddr| !addresses.contains(*address);
        let gone: Vec<SocketAddr> = state.recent_releases.keys().filter(gone).copied().collect();
        for address in gone {
            state.queue_resends(address);
        }
        state
            .connections
            .retain(|address, _| addresses.contains(address));
        state.peers = Arc::clone(&peers);
        let others = peers.iter().map(|peer| &peer.zone);
        state
            .reachability
            .list(others.filter(|zone| **zone != self.own.zone));
        state.dispatchers.clear();
        log::info!(
            "gateway: {} gateways in service, bounds divided by {}; {} listed by a control daemon \
             that has received polls for {} ms",
            peers.len(),
            state.roster.count(now),
            list.entries.len(),
            known_for.as_millis()
        );
        true
    }

    /// Records the control daemon that has answered a poll.
    pub fn set_control(&self, address: SocketAddr) {
        self.state().control = Some(address);
    }

    /// The control daemon that answered last.
    pub fn control(&self) -> Option<SocketAddr> {
        self.state().control
    }

    /// The zones that can't be reached.
    pub fn unreachable_zones(&self) -> BTreeSet<ZoneName> {
        self.state().reachability.unreachable_zones()
    }

    /// Probes the gateways whose suspicion ends soon, so that no request has to find out whether
    /// they answer again. Gateways that don't answer stay suspected.
    pub fn probe_suspects(&self, gateway: &Arc<Gateway>) {
        let now = Instant::now();
        let mut due: Vec<SocketAddr> = Vec::new();
        {
            let mut state = self.state();
            let peers = Arc::clone(&state.peers);
            let is_listed = |address: &SocketAddr| peers.iter().any(|it| it.address == *address);
            state.suspects.retain(|address, _| is_listed(address));
            for (address, until) in &mut state.suspects {
                if *until < now + PROBE_AHEAD {
                    *until = now + SUSPECT_TIME;
                    due.push(*address);
                }
            }
        }
        for address in due {
            let gateway = Arc::clone(gateway);
            tokio::spawn(async move {
                let probed = gateway.peers.call(address, Frame::Probe, CONFIRM_TIMEOUT);
                // An answer ends the suspicion; a failure is logged by the call.
                let _ = probed.await;
                gateway.update_unreachable_zones();
            });
        }
    }

    /// Sets the services that run pieces of stages.
    pub fn set_staged_services(&self, mut services: Vec<ServiceName>) {
        services.sort();
        let mut state = self.state();
        if state.staged != services {
            state.staged = services;
            state.dispatchers.clear();
        }
    }

    /// The gateways that may dispatch a service's calls, by falling preference. For the targets of
    /// one zone the zone's own gateways come first, because they reach the targets even during a
    /// network partition.
    pub fn dispatchers(&self, service: &ServiceName, scope: &Scope) -> Vec<Peer> {
        let mut state = self.state();
        let key = (service.clone(), scope.clone());
        let ranked = match state.dispatchers.get(&key) {
            Some(ranked) => Arc::clone(ranked),
            None => {
                let ranked = rank_dispatchers(&state, service, scope);
                state.dispatchers.insert(key, Arc::clone(&ranked));
                ranked
            }
        };
        let now = Instant::now();
        let is_suspect = |peer: &Peer| {
            let until = state.suspects.get(&peer.address);
            until.is_some_and(|until| now < *until)
        };
        let healthy = ranked.iter().filter(|peer| !is_suspect(peer));
        healthy.take(MAX_DISPATCHERS).cloned().collect()
    }

    /// Expected queue delay at a dispatcher of a service: the last reported delay less the time
    /// since then.
    pub fn delay(&self, service: &ServiceName, scope: &Scope) -> Duration {
        let state = self.state();
        let delay = state.delays.get(&(service.clone(), scope.clone()));
        delay.map_or(Duration::ZERO, |(delay, at)| {
            delay.saturating_sub(at.elapsed())
        })
    }

    /// Records the queue delay that a dispatcher reported.
    pub fn record_delay(&self, service: &ServiceName, scope: &Scope, delay: Duration) {
        let noted = (delay, Instant::now());
        let mut state = self.state();
        state.delays.insert((service.clone(), scope.clone()), noted);
    }

    /// Queues the release of results. The dispatchers of the targets that produced them are
    /// informed in batches.
    pub fn queue_release(&self, gateway: &Arc<Gateway>, handles: Vec<String>) {
        let is_first = {
            let mut state = self.state();
            let is_first = state.pending_releases.is_empty();
            state.pending_releases.extend(handles);
            is_first && !state.pending_releases.is_empty()
        };
        if is_first {
            let gateway = Arc::clone(gateway);
            tokio::spawn(async move {
                tokio::time::sleep(RELEASE_BATCH_DELAY).await;
                gateway.peers.send_releases(&gateway).await;
            });
        }
    }

    /// Sends the queued handles to their dispatchers.
    async fn send_releases(&self, gateway: &Arc<Gateway>) {
        let waiting = {
            let mut state = self.state();
            let mut waiting = std::mem::take(&mut state.pending_releases);
            waiting.append(&mut state.resends);
            waiting
        };
        let mut by_peer: HashMap<SocketAddr, Vec<String>> = HashMap::new();
        for handle in waiting {
            // The results of a target that has left are gone, too.
            let Some((service, zone)) = gateway.producer(&handle) else {
                continue;
            };
            let scope = gateway.scope(&service, &zone);
            if let Some(peer) = self.dispatchers(&service, &scope).into_iter().next() {
                by_peer.entry(peer.address).or_default().push(handle);
            }
        }
        for (address, handles) in by_peer {
            if address == self.own.address {
                gateway.dispatch_workers.release(gateway, &handles);
                continue;
            }
            self.state().record_release(address, &handles);
            // Without an answer the results expire by themselves.
            let frame = Frame::Release { handles };
            let _ = self.call(address, frame, RELEASE_TIMEOUT).await;
        }
    }

    /// Sends a frame to a gateway and waits for its answer. A gateway that does not answer is
    /// suspected for a while.
    ///
    /// # Errors
    /// As [`Connection::call`].
    pub async fn call(
        &self,
        address: SocketAddr,
        frame: Frame,
        limit: Duration,
    ) -> Result<Frame, Error> {
        let called = match self.connection(address).await {
            Ok(connection) => connection.call(frame, limit).await,
            Err(error) => Err(error),
        };
        if called.is_ok() {
            self.state().record_answer(address);
        }
        called.inspect_err(|error| self.suspect(address, error))
    }

    /// Sends a frame to a gateway and waits for its answer. A gateway that does not answer is not
    /// suspected, because the limit is short.
    ///
    /// # Errors
    /// As [`Connection::call`].
    pub async fn ask(
        &self,
        address: SocketAddr,
        frame: Frame,
        limit: Duration,
    ) -> Result<Frame, Error> {
        let connection = timeout(limit, self.connection(address)).await;
        let connection = connection.unwrap_or(Err(Error::Timeout {
            millis: limit.as_millis(),
        }))?;
        connection.call(frame, limit).await
    }

    /// The gateways in service, this one included.
    pub fn list(&self) -> Arc<[Peer]> {
        Arc::clone(&self.state().peers)
    }

    /// Sends an order to a gateway and waits for its result. A gateway that does not confirm the
    /// order quickly is suspected, so that another one gets the order. A confirmed order may wait
    /// for long; the connection's own heartbeat shows whether the gateway still runs.
    ///
    /// # Errors
    /// As [`Connection::call`].
    pub async fn run_order(
        &self,
        address: SocketAddr,
        order: Pieces,
        limit: Duration,
    ) -> Result<PiecesEnd, Error> {
        let sent = timeout(CONFIRM_TIMEOUT, self.send_order(address, order)).await;
        let sent = sent.unwrap_or(Err(Error::Timeout {
            millis: CONFIRM_TIMEOUT.as_millis(),
        }));
        let mut frames = sent.inspect_err(|error| self.suspect(address, error))?;
        self.state().record_answer(address);
        match timeout(limit, frames.recv()).await {
            Ok(Some(Frame::PiecesEnd(end))) => Ok(end),
            Ok(_) => {
                let error = Error::Closed {
                    message: "the order was dropped".to_owned(),
                };
                self.suspect(address, &error);
                Err(error)
            }
            Err(_) => Err(Error::Timeout {
                millis: limit.as_millis(),
            }),
        }
    }

    /// Asks a service's dispatcher to reserve target time for pieces of a later stage.
    ///
    /// # Errors
    /// If there is no time left: the time until a new request is likely to be served. A missing
    /// answer counts as success.
    pub async fn book(&self, gateway: &Arc<Gateway>, booking: Booking) -> Result<(), Duration> {
        let first = self
            .dispatchers(&booking.service, &booking.scope)
            .into_iter()
            .next();
        let Some(peer) = first else {
            return Ok(());
        };
        let answer = if peer.name == self.own.name {
            gateway.dispatch_workers.book(gateway, &booking)
        } else {
            let frame = Frame::Book(Box::new(booking.clone()));
            match self.call(peer.address, frame, CONFIRM_TIMEOUT).await {
                Ok(answer) => answer,
                // Logged by the call.
                Err(_) => return Ok(()),
            }
        };
        let Frame::Booked {
            refused_ms,
            delay_ms,
        } = answer
        else {
            return Ok(());
        };
        let delay = Duration::from_millis(delay_ms);
        self.record_delay(&booking.service, &booking.scope, delay);
        refused_ms.map_or(Ok(()), |millis| Err(Duration::from_millis(millis)))
    }

    /// Cancels a request's bookings.
    pub async fn unbook(&self, gateway: &Arc<Gateway>, bookings: &[Booking]) {
        let mut informed: Vec<SocketAddr> = Vec::new();
        for booking in bookings {
            let first = self
                .dispatchers(&booking.service, &booking.scope)
                .into_iter()
                .next();
            let Some(peer) = first.filter(|peer| !informed.contains(&peer.address)) else {
                continue;
            };
            informed.push(peer.address);
            if peer.name == self.own.name {
                gateway.dispatch_workers.unbook(&booking.request);
                continue;
            }
            let request = booking.request.clone();
            // Without an answer the bookings expire at their due times.
            let _ = self
                .call(peer.address, Frame::Unbook { request }, CONFIRM_TIMEOUT)
                .await;
        }
    }

    async fn send_order(
        &self,
        address: SocketAddr,
        order: Pieces,
    ) -> Result<mpsc::Receiver<Frame>, Error> {
        let connection = self.connection(address).await?;
        let mut frames = connection.subscribe(Frame::Pieces(Box::new(order))).await?;
        match frames.recv().await {
            Some(Frame::PiecesTaken) => Ok(frames),
            _ => Err(Error::Closed {
                message: "the order was not confirmed".to_owned(),
            }),
        }
    }

    fn suspect(&self, address: SocketAddr, error: &Error) {
        if matches!(error, Error::Refused { .. }) {
            return;
        }
        log::warn!("gateway: peer {address}: {error}; not asked for 2 s");
        let mut state = self.state();
        state
            .suspects
            .insert(address, Instant::now() + SUSPECT_TIME);
        if let Some(zone) = state.zone(address) {
            state.reachability.record_no_answer(&zone, address);
        }
        state.queue_resends(address);
        state.connections.remove(&address);
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, Error> {
        let known = self.state().connections.get(&address).cloned();
        if let Some(connection) = known.filter(|connection| !connection.is_closed()) {
            return Ok(connection);
        }
        let connection = Connection::open(address, Arc::clone(&self.identity)).await?;
        let mut state = self.state();
        // Two requests may have opened one each; both connections work.
        state.connections.insert(address, connection.clone());
        Ok(connection)
    }
}

/// The gateways that may dispatch a service's calls, by falling preference.
fn rank_dispatchers(state: &State, service: &ServiceName, scope: &Scope) -> Arc<[Peer]> {
    let is_near = |peer: &&Peer| scope.as_ref().is_none_or(|zone| peer.zone == *zone);
    let near: Vec<&Peer> = state.peers.iter().filter(is_near).collect();
    let far: Vec<&Peer> = state.peers.iter().filter(|peer| !is_near(peer)).collect();
    let position = state.staged.iter().position(|name| name == service);
    let near = match position {
        Some(position) => {
            let share = |peer: &&Peer| f64::from(peer.capacity);
            rendezvous::spread_weighted(&state.staged, position, &near, share)
        }
        None => rendezvous::ranked(service, &near),
    };
    let ranked = near.into_iter().chain(rendezvous::ranked(service, &far));
    ranked.map(|peer| (*peer).clone()).collect()
}
