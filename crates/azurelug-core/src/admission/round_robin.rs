//! Deficit round robin across accounts, for one lane.
//!
//! Owns the order in which accounts with waiting requests are served. Choosing a request takes the
//! same time for any number of accounts, because a quantum covers at least one request.

use std::collections::VecDeque;

use azurelug_types::id::AccountKey;

use super::Account;
use crate::slab::Handle;

/// Cost of the requests that an account of weight 1 may start in one round; also the maximum cost
/// of a request.
pub(super) const QUANTUM: u32 = 4096;

/// The waiting requests of one account, with their costs.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountQueue {
    requests: VecDeque<(Handle, u32)>,
    deficit: u64,
    /// The weight that the account has in the active list; none if it is not in the list.
    active_weight: Option<u32>,
}

/// The active list: accounts with waiting requests, in the order in which they are served. An
/// account that has reached its limit of running requests is removed until one of its requests
/// ends.
#[derive(Clone, Debug)]
pub(super) struct ActiveList {
    lane: usize,
    order: VecDeque<AccountKey>,
    /// Whether the front account has received its quantum in this round.
    has_quantum: bool,
    weight: u64,
    waiting: usize,
}

impl AccountQueue {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}

impl ActiveList {
    pub(super) fn new(lane: usize) -> Self {
        Self {
            lane,
            order: VecDeque::new(),
            has_quantum: false,
            weight: 0,
            waiting: 0,
        }
    }

    /// Whether no account is in the active list.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The number of waiting requests, including those of accounts that are not in the active list.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// The total weight of the accounts in the active list, without this account.
    pub(super) fn weight_without(&self, account: &Account) -> u64 {
        self.weight - u64::from(account.queues[self.lane].active_weight.unwrap_or(0))
    }

    /// Adds a waiting request.
    pub(super) fn push(
        &mut self,
        accounts: &mut [Account],
        key: AccountKey,
        handle: Handle,
        cost: u32,
    ) {
        let queue = &mut accounts[key.0 as usize].queues[self.lane];
        queue.requests.push_back((handle, cost));
        self.waiting += 1;
        self.activate(accounts, key);
    }

    /// Adds the account to the active list if one of its requests may start.
    pub(super) fn activate(&mut self, accounts: &mut [Account], key: AccountKey) {
        let account = &mut accounts[key.0 as usize];
        let queue = &mut account.queues[self.lane];
        if queue.active_weight.is_none()
            && !queue.requests.is_empty()
            && account.in_flight < account.limit
        {
            queue.active_weight = Some(account.weight);
            self.weight += u64::from(account.weight);
            self.order.push_back(key);
        }
    }

    /// Removes the next request to start and returns it.
    pub(super) fn pop(&mut self, accounts: &mut [Account]) -> Option<(AccountKey, Handle)> {
        while let Some(key) = self.order.front().copied() {
            let account = &mut accounts[key.0 as usize];
            let blocked = account.in_flight >= account.limit;
            let queue = &mut account.queues[self.lane];
            let Some((handle, cost)) = queue.requests.front().copied().filter(|_| !blocked) else {
                self.deactivate_front(accounts, key);
                continue;
            };
            if !self.has_quantum {
                self.has_quantum = true;
                queue.deficit += u64::from(QUANTUM) * u64::from(account.weight);
            }
            if queue.deficit < u64::from(cost) {
                self.has_quantum = false;
                self.order.rotate_left(1);
                continue;
            }
            queue.requests.pop_front();
            self.waiting -= 1;
            return Some((key, handle));
        }
        None
    }

    /// Deducts the cost of a started request from the account's deficit counter.
    pub(super) fn charge(&self, accounts: &mut [Account], key: AccountKey, cost: u32) {
        let queue = &mut accounts[key.0 as usize].queues[self.lane];
        queue.deficit = queue.deficit.saturating_sub(u64::from(cost));
    }

    /// Removes a waiting request. The search is linear, because the queue of an account is short.
    pub(super) fn remove(&mut self, accounts: &mut [Account], key: AccountKey, handle: Handle) {
        let queue = &mut accounts[key.0 as usize].queues[self.lane];
        if let Some(position) = queue.requests.iter().position(|(it, _)| *it == handle) {
            queue.requests.remove(position);
            self.waiting -= 1;
        }
    }

    /// Removes the front account from the active list and resets its deficit counter.
    fn deactivate_front(&mut self, accounts: &mut [Account], key: AccountKey) {
        self.order.pop_front();
        self.has_quantum = false;
        let queue = &mut accounts[key.0 as usize].queues[self.lane];
        queue.deficit = 0;
        self.weight -= u64::from(queue.active_weight.take().unwrap_or(0));
    }
}
