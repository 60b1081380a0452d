//! Deficit round robin across accounts, for one lane.
//!
//! Owns the order in which accounts with waiting requests are served. Each turn costs the same for
//! any number of accounts, because a quantum covers at least one request.

use std::collections::VecDeque;

use azurelug_types::id::AccountKey;

use super::Account;
use crate::slab::Handle;

/// Cost that an account of weight 1 may start in one round; also the largest cost of a request.
pub(super) const QUANTUM: u32 = 4096;

/// The waiting requests of one account, with their costs.
#[derive(Clone, Debug, Default)]
pub(super) struct Lane {
    queue: VecDeque<(Handle, u32)>,
    deficit: u64,
    /// The weight with which the account is in the ring; none if it is not.
    listed: Option<u32>,
}

/// Accounts with waiting requests, in the order in which they are served. Accounts that have
/// reached their limit of running requests are left out until one of them ends.
#[derive(Clone, Debug)]
pub(super) struct Ring {
    lane: usize,
    order: VecDeque<AccountKey>,
    /// Whether the front account got its quantum for this visit.
    visited: bool,
    weight: u64,
    waiting: usize,
}

impl Lane {
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }
}

impl Ring {
    pub(super) fn new(lane: usize) -> Self {
        Self {
            lane,
            order: VecDeque::new(),
            visited: false,
            weight: 0,
            waiting: 0,
        }
    }

    /// Whether no account is listed.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Waiting requests, including those of accounts that are not listed.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// The weight of all listed accounts but this one.
    pub(super) fn weight_without(&self, account: &Account) -> u64 {
        self.weight - u64::from(account.lanes[self.lane].listed.unwrap_or(0))
    }

    /// Adds a waiting request.
    pub(super) fn push(
        &mut self,
        accounts: &mut [Account],
        key: AccountKey,
        handle: Handle,
        cost: u32,
    ) {
        let lane = &mut accounts[key.0 as usize].lanes[self.lane];
        lane.queue.push_back((handle, cost));
        self.waiting += 1;
        self.list(accounts, key);
    }

    /// Lists the account if it has something to start.
    pub(super) fn list(&mut self, accounts: &mut [Account], key: AccountKey) {
        let account = &mut accounts[key.0 as usize];
        let lane = &mut account.lanes[self.lane];
        if lane.listed.is_none() && !lane.queue.is_empty() && account.in_flight < account.limit {
            lane.listed = Some(account.weight);
            self.weight += u64::from(account.weight);
            self.order.push_back(key);
        }
    }

    /// Takes the next request to start.
    pub(super) fn pop(&mut self, accounts: &mut [Account]) -> Option<(AccountKey, Handle)> {
        while let Some(key) = self.order.front().copied() {
            let account = &mut accounts[key.0 as usize];
            let blocked = account.in_flight >= account.limit;
            let lane = &mut account.lanes[self.lane];
            let Some((handle, cost)) = lane.queue.front().copied().filter(|_| !blocked) else {
                self.unlist(accounts, key);
                continue;
            };
            if !self.visited {
                self.visited = true;
                lane.deficit += u64::from(QUANTUM) * u64::from(account.weight);
            }
            if lane.deficit < u64::from(cost) {
                self.visited = false;
                self.order.rotate_left(1);
                continue;
            }
            lane.queue.pop_front();
            self.waiting -= 1;
            return Some((key, handle));
        }
        None
    }

    /// Charges a request that was started.
    pub(super) fn pay(&self, accounts: &mut [Account], key: AccountKey, cost: u32) {
        let lane = &mut accounts[key.0 as usize].lanes[self.lane];
        lane.deficit = lane.deficit.saturating_sub(u64::from(cost));
    }

    /// Removes a waiting request; its account's queue is short.
    pub(super) fn remove(&mut self, accounts: &mut [Account], key: AccountKey, handle: Handle) {
        let lane = &mut accounts[key.0 as usize].lanes[self.lane];
        if let Some(position) = lane.queue.iter().position(|(it, _)| *it == handle) {
            lane.queue.remove(position);
            self.waiting -= 1;
        }
    }

    /// Takes the front account out. An account that leaves does not keep what it has saved up.
    fn unlist(&mut self, accounts: &mut [Account], key: AccountKey) {
        self.order.pop_front();
        self.visited = false;
        let lane = &mut accounts[key.0 as usize].lanes[self.lane];
        lane.deficit = 0;
        self.weight -= u64::from(lane.listed.take().unwrap_or(0));
    }
}
