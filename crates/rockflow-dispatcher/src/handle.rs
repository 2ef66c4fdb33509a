//! The interface for managing a running dispatcher from any thread. A call sends a message to an actor and
//! returns; the actor reports the result through a callback, which must not block.

use crate::backpressure::{CoalescingSlot, PurgeQuota};
use crate::caps::Caps;
use crate::client::ClientRegistry;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::decision::message::DecisionMessage;
use crate::discovery::{DiscoveryStatus, SharedDiscoveryStatus};
use crate::endpoint_list::message::{EndpointListMessage, RejectedOverrides};
use crate::mailbox::Mailbox;
use crate::memory::MemoryUse;
use crate::phase::Phase;
use crate::purge::{Purge, PurgeTimestamp};
use crate::status::{FillLevel, StatusReport};
use rockflow::Class;
use rockflow_endpoints::AdminOverrides;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// While this many messages are queued at the endpoint list, operators' overrides and requests for a status
/// report are rejected.
const MAX_QUEUED_MESSAGES: usize = 256;

/// A handle for managing a running dispatcher.
#[derive(Clone)]
pub struct ServiceHandle {
    /// The dispatcher's clock, which all its local times refer to.
    pub clock: Clock,
    /// Name of the dispatcher.
    pub name: String,
    /// Caps on the dispatcher's resources.
    pub caps: Caps,
    /// The request classes with their names in requests, by class index.
    pub classes: Vec<(String, Class)>,
    /// Names of the locations, by location index.
    pub locations: Vec<String>,
    pub(crate) endpoint_list: Arc<Mailbox<EndpointListMessage>>,
    pub(crate) clients: Arc<ClientRegistry>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) discovery: Arc<SharedDiscoveryStatus>,
    pub(crate) phase: Arc<AtomicU8>,
    pub(crate) purge_quota: Arc<PurgeQuota>,
    /// Pending purge of everything that replaces purges beyond the quota; holds the local time at which it
    /// was made.
    pub(crate) purge_overflow: Arc<CoalescingSlot<Duration, ()>>,
    /// Overrides of the control nodes that are not applied yet.
    pub(crate) control_overrides: Arc<CoalescingSlot<AdminOverrides, RejectedOverrides>>,
}

impl ServiceHandle {
    /// Replaces all administrative overrides set by operators. `done` is called once they are in effect.
    /// Returns false, without any change, if too many messages are queued.
    pub fn set_operator_overrides(
        &self,
        overrides: AdminOverrides,
        done: impl FnOnce() + Send + 'static,
    ) -> bool {
        if self.endpoint_list.len() >= MAX_QUEUED_MESSAGES {
            return false;
        }
        let done = Box::new(|()| done());
        self.endpoint_list.send_urgent(EndpointListMessage::SetOperatorOverrides { overrides, done });
        true
    }

    /// Replaces all administrative overrides set by the control nodes. `done` is called with the rejected
    /// ones once the others are in effect. Returns false if too many callers are waiting, so that the
    /// callback of the earliest was dropped.
    pub fn set_control_overrides(
        &self,
        overrides: AdminOverrides,
        done: impl FnOnce(RejectedOverrides) + Send + 'static,
    ) -> bool {
        let outcome = self.control_overrides.put(|_| overrides, Box::new(done));
        if outcome.was_empty {
            let slot = self.control_overrides.clone();
            self.endpoint_list.send_urgent(EndpointListMessage::SetControlOverrides(slot));
        }
        !outcome.dropped_caller
    }

    /// Applies purges; beyond the quota of queued purges, a purge of everything replaces them. `done` is
    /// called once the purges are in effect. Returns false if too many callers wait for the purge of
    /// everything, so that the callback of the earliest was dropped.
    pub fn purge(&self, purges: Vec<Purge>, done: impl FnOnce() + Send + 'static) -> bool {
        if let Some(reservation) = self.purge_quota.reserve(purges.len()) {
            let done = Box::new(move |()| {
                drop(reservation);
                done();
            });
            let message = DecisionMessage::PurgesReceived { purges, done: Some(done) };
            self.clients.decisions.send_urgent(message);
            return true;
        }
        let ages = purges.iter().map(|purge| purge.purged_at.age(self.clock));
        let youngest = ages.min().unwrap_or_default();
        let purged_at = self.clock.now().saturating_sub(youngest);
        let latest = |pending: Option<Duration>| pending.map_or(purged_at, |pending| pending.max(purged_at));
        let outcome = self.purge_overflow.put(latest, Box::new(move |()| done()));
        if outcome.was_empty {
            let slot = self.purge_overflow.clone();
            self.clients.decisions.send_urgent(DecisionMessage::PurgeEverything(slot));
        }
        !outcome.dropped_caller
    }

    /// Returns the timestamp of a purge made `age` ago, on this dispatcher's clock.
    pub fn timestamp_before_now(&self, age: Duration) -> PurgeTimestamp {
        PurgeTimestamp::Local(self.clock.now().saturating_sub(age))
    }

    /// Requests a status report, which is passed to `reply`. Returns false, without a reply, if too many
    /// messages are queued.
    pub fn request_status(&self, reply: impl FnOnce(Box<StatusReport>) + Send + 'static) -> bool {
        if self.endpoint_list.len() >= MAX_QUEUED_MESSAGES {
            return false;
        }
        self.endpoint_list.send(EndpointListMessage::ReportStatus(Box::new(reply)));
        true
    }

    /// Returns the phase of the dispatcher.
    pub fn phase(&self) -> Phase {
        let phase = self.phase.load(Ordering::Relaxed);
        Phase::ALL.into_iter().find(|known| *known as u8 == phase).unwrap_or(Phase::Stopped)
    }

    /// Returns the status of the connection to the discovery service.
    pub fn discovery_status(&self) -> DiscoveryStatus {
        self.discovery.read()
    }

    /// Returns how much of each capped resource is in use, under the names of the management model.
    pub fn fill_levels(&self) -> Vec<FillLevel> {
        let level = |name, cap, fill| FillLevel { name, cap, fill };
        let memory = &self.pool.memory;
        vec![
            level("clients", self.caps.clients, self.clients.connections()),
            level("hosts", self.caps.upstream_connections, self.pool.connections().len()),
            level("held", memory.cap(MemoryUse::Responses), memory.used(MemoryUse::Responses)),
            level("module-words", self.caps.queued_requests, self.clients.decisions.len()),
        ]
    }
}
