//! The endpoint list that the decision logic currently uses, and the handles of the listed hosts.

use crate::decision::DecisionActor;
use crate::endpoint::Endpoint;
use crate::host::message::HostMessage;
use crate::host::HostHandle;
use rockflow::{EndpointEntry, Event, HostId, ListScope, Readiness};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

/// A listed host and the handle to it.
pub(super) struct HostState {
    pub endpoint: Endpoint,
    /// Sends messages to the host. `None` until the first one.
    pub handle: Option<HostHandle>,
}

impl DecisionActor {
    /// Updates the listed hosts, and withdraws unsent attempts that use a host to which nothing new may be sent.
    pub(super) fn apply_endpoints(&mut self, scope: ListScope, entries: Vec<Endpoint>) {
        let entries = self.remove_superseded(scope, entries);
        // Hosts that unsent attempts may no longer use, neither as host nor as source.
        let mut unavailable = BTreeSet::new();
        if scope != ListScope::Changes {
            unavailable = self.retire_unlisted(&entries);
        }
        for endpoint in &entries {
            if self.apply_endpoint(endpoint) {
                unavailable.insert(endpoint.entry.host);
            }
        }
        self.dependencies.pool.memory.set_endpoints(self.hosts.len());
        if !self.hosts.is_empty() {
            self.dependencies.ready.store(true, Ordering::Relaxed);
        }
        let entries = entries.into_iter().map(|endpoint| endpoint.entry).collect();
        self.events.push_back(Event::EndpointsListed { scope, entries });
        if !unavailable.is_empty() {
            self.withdraw_unsent(|_, _, attempt| {
                unavailable.contains(&attempt.host)
                    || attempt.source.is_some_and(|source| unavailable.contains(&source))
            });
        }
    }

    /// The entries of all listed hosts, in the order of their ids.
    pub(super) fn listed_entries(&self) -> Vec<EndpointEntry> {
        self.hosts.values().map(|host| host.endpoint.entry.clone()).collect()
    }

    /// Closes the idle connections to a host, if it is listed and was sent anything.
    pub(super) fn close_idle_connections(&self, id: HostId) {
        if let Some(handle) = self.hosts.get(&id).and_then(|host| host.handle.as_ref()) {
            handle.send(HostMessage::CloseIdle);
        }
    }

    /// The handle of a host. `None` if the host is not listed.
    pub(super) fn host_handle(&mut self, id: HostId) -> Option<HostHandle> {
        let HostState { endpoint, handle } = self.hosts.get_mut(&id)?;
        let hosts = &self.dependencies.hosts;
        let handle = handle
            .get_or_insert_with(|| HostHandle::new(endpoint.name.clone(), endpoint.address, hosts.clone()));
        Some(handle.clone())
    }

    /// Retires the hosts that a full list does not contain, and returns their ids.
    fn retire_unlisted(&mut self, entries: &[Endpoint]) -> BTreeSet<HostId> {
        let is_listed = |id: &HostId| entries.iter().any(|endpoint| endpoint.entry.host == *id);
        let unlisted: BTreeSet<_> = self.hosts.keys().copied().filter(|id| !is_listed(id)).collect();
        for id in &unlisted {
            self.retire_host(*id);
        }
        unlisted
    }

    /// Applies one entry. Returns whether unsent attempts must be withdrawn from the host: it drains, is gone, or has
    /// a new address.
    fn apply_endpoint(&mut self, endpoint: &Endpoint) -> bool {
        let id = endpoint.entry.host;
        let is_gone = endpoint.entry.readiness == Readiness::Gone;
        let has_moved = self.hosts.get(&id).is_some_and(|host| host.endpoint.address != endpoint.address);
        if is_gone || has_moved {
            self.retire_host(id);
        }
        if !is_gone {
            let handle = self.hosts.remove(&id).and_then(|host| host.handle);
            self.hosts.insert(id, HostState { endpoint: endpoint.clone(), handle });
        }
        has_moved || endpoint.entry.readiness != Readiness::Ready
    }

    /// Removes a host. Attempts in flight may finish, and nothing new is sent to it.
    fn retire_host(&mut self, id: HostId) {
        if let Some(handle) = self.hosts.remove(&id).and_then(|host| host.handle) {
            handle.send(HostMessage::Retire);
        }
    }
}
