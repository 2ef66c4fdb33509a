//! The endpoint list that the decision logic currently uses, and the actors of the listed hosts.

use crate::decision::DecisionActor;
use crate::endpoint::Endpoint;
use crate::host::message::HostMessage;
use crate::host::HostActor;
use crate::mailbox::Mailbox;
use rockflow::{EndpointEntry, Event, HostId, ListScope, Readiness};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// A listed host and its actor.
pub(super) struct HostState {
    pub endpoint: Endpoint,
    /// The mailbox of the host's actor. `None` until the first message to the host starts the actor.
    pub mailbox: Option<Arc<Mailbox<HostMessage>>>,
}

impl DecisionActor {
    /// Updates the listed hosts, and withdraws unsent attempts that use a host to which nothing new may be sent.
    pub(super) fn apply_endpoints(&mut self, scope: ListScope, entries: Vec<Endpoint>) {
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

    /// Closes the idle connections to a host, if it is listed and has an actor.
    pub(super) fn close_idle_connections(&self, id: HostId) {
        if let Some(mailbox) = self.hosts.get(&id).and_then(|host| host.mailbox.as_ref()) {
            mailbox.send(HostMessage::CloseIdle);
        }
    }

    /// The mailbox of a host's actor, which is started if necessary. `None` if the host is not listed.
    pub(super) fn host_mailbox(&mut self, id: HostId) -> Option<Arc<Mailbox<HostMessage>>> {
        let host = self.hosts.get_mut(&id)?;
        if host.mailbox.is_none() {
            let mailbox = Mailbox::new();
            let actor = HostActor::new(
                host.endpoint.name.clone(),
                host.endpoint.address,
                self.dependencies.pool.clone(),
                mailbox.clone(),
            );
            may::go!(move || actor.run());
            host.mailbox = Some(mailbox);
        }
        host.mailbox.clone()
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
            let mailbox = self.hosts.remove(&id).and_then(|host| host.mailbox);
            self.hosts.insert(id, HostState { endpoint: endpoint.clone(), mailbox });
        }
        has_moved || endpoint.entry.readiness != Readiness::Ready
    }

    /// Removes a host. Its actor lets attempts in flight finish and sends nothing new.
    fn retire_host(&mut self, id: HostId) {
        if let Some(mailbox) = self.hosts.remove(&id).and_then(|host| host.mailbox) {
            mailbox.send(HostMessage::Retire);
        }
    }
}
