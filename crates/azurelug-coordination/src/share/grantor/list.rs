//! The durable list of holders, which shortens the wait of a restarted grantor.
//!
//! Tracks which holders are on the caller's durable list, and which holders of an
//! earlier start have not reported yet. No holder may get a slot before it is
//! listed.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Grantor;
use crate::lease::Identity;
use crate::share::Request;

#[derive(Debug, Default)]
pub(super) struct List {
    listed: BTreeSet<Identity>,
    /// Holders of an earlier start that have not reported to this one; `None` if
    /// they are unknown.
    awaited: Option<BTreeSet<Identity>>,
}

impl Grantor {
    /// Grants only to holders that the caller has put on a durable list, see
    /// [`Grantor::add_to_list`]. `earlier` is the list of the earlier start, or `None` if
    /// it is lost. With it, the grantor opens as soon as each listed holder has
    /// reported its use to this start. For a holder that has restarted or does not
    /// answer, it waits as long as without a list.
    #[must_use]
    pub fn with_list(mut self, earlier: Option<BTreeSet<Identity>>) -> Self {
        self.list = Some(List {
            listed: earlier.clone().unwrap_or_default(),
            awaited: earlier,
        });
        self
    }

    /// Whether the holder requests slots that it can get only after
    /// [`Grantor::add_to_list`]. While the holders of the earlier start are unknown, no
    /// list is complete and none may be written.
    pub fn needs_listing(&mut self, now: Duration, request: &Request) -> bool {
        // Advancing the time may remove holders from the list, including this one.
        self.advance(now);
        let Some(list) = &self.list else {
            return false;
        };
        let can_be_listed = list.awaited.is_some() && list.listed.len() < self.limits.holders;
        let known = self.members.get(&request.holder);
        let mut entries = known.into_iter().flat_map(|member| member.entries.values());
        let is_requesting = request.needs.iter().any(|need| need.wanted > 0)
            || entries.any(|entry| entry.wanted > 0);
        is_requesting && can_be_listed && !list.listed.contains(&request.holder)
    }

    /// Allows a holder to get slots. The caller must have written and synced the
    /// list with this holder: a restart must find each holder that may have slots.
    pub fn add_to_list(&mut self, holder: Identity) {
        if let Some(list) = &mut self.list {
            list.listed.insert(holder);
        }
    }

    /// The holders that must be on the durable list. Others may be removed from it
    /// at any time.
    pub fn listed(&self) -> impl Iterator<Item = Identity> + '_ {
        self.list
            .iter()
            .flat_map(|list| list.listed.iter().copied())
    }

    /// Number of holders of the earlier start that have not reported yet; `None`
    /// if they are unknown.
    pub fn unreported_holders(&self) -> Option<usize> {
        let awaited = self.list.as_ref()?.awaited.as_ref()?;
        Some(awaited.len())
    }

    /// Whether the grantor may grant slots: no slot or call of an earlier start can
    /// be uncounted.
    pub fn is_open(&self, now: Duration) -> bool {
        now >= self.opens_at || self.unreported_holders() == Some(0)
    }

    pub(super) fn is_listed(&self, holder: Identity) -> bool {
        self.list
            .as_ref()
            .is_none_or(|list| list.listed.contains(&holder))
    }

    /// Records that this start counts all slots that a holder uses.
    pub(super) fn mark_reported(&mut self, holder: Identity) {
        let awaited = self.list.as_mut().and_then(|list| list.awaited.as_mut());
        if let Some(awaited) = awaited {
            awaited.remove(&holder);
        }
    }

    /// Removes a holder, none of whose calls can still run.
    pub(super) fn unlist(&mut self, holder: Identity) {
        if let Some(list) = &mut self.list {
            list.listed.remove(&holder);
        }
    }

    /// Stops waiting for holders of the earlier start.
    pub(super) fn stop_waiting(&mut self) {
        let Some(list) = &mut self.list else {
            return;
        };
        for holder in list.awaited.replace(BTreeSet::new()).into_iter().flatten() {
            if !self.members.contains_key(&holder) {
                list.listed.remove(&holder);
            }
        }
    }
}
