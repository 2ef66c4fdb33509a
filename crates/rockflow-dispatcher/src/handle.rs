//! The way in for whoever manages a running dispatcher, from a thread of its own. Each call leaves a message in a mailbox
//! and returns; the reply comes by a callback that must not wait.

use crate::backpressure::{CoalescingSlot, PurgeQuota};
use crate::caps::Caps;
use crate::client::ClientRegistry;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::decision::message::DecisionMessage;
use crate::discovery::{DiscoveryStatus, SharedDiscoveryStatus};
use crate::endpoint_list::message::{EndpointListMessage, RejectedOverrides};
use crate::mailbox::Mailbox;
use crate::phase::Phase;
use crate::purge::{Purge, PurgeTimestamp};
use crate::status::{FillLevel, StatusReport};
use rockflow::Class;
use rockflow_endpoints::AdminOverrides;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Messages that may wait at the endpoint list; further ones of managers are rejected.
const MAX_QUEUED_MESSAGES: usize = 256;

/// A handle of a running dispatcher.
#[derive(Clone)]
pub struct ServiceHandle {
    /// The clock.
    pub clock: Clock,
    /// Name of the dispatcher.
    pub name: String,
    /// Caps on what it holds.
    pub caps: Caps,
    /// The request classes with their names on the wire, by index.
    pub classes: Vec<(String, Class)>,
    /// Names of the locations, by index.
    pub locations: Vec<String>,
    pub(crate) endpoint_list: Arc<Mailbox<EndpointListMessage>>,
    pub(crate) clients: Arc<ClientRegistry>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) discovery: Arc<SharedDiscoveryStatus>,
    pub(crate) phase: Arc<AtomicU8>,
    pub(crate) purge_quota: Arc<PurgeQuota>,
    /// The time of the purge of everything that replaces those beyond the quota.
    pub(crate) purge_overflow: Arc<CoalescingSlot<Duration, ()>>,
    pub(crate) control_overrides: Arc<CoalescingSlot<AdminOverrides, RejectedOverrides>>,
}

impl ServiceHandle {
    /// Replaces all overrides of operators. `done` is called once the decisions go by them; false: too many messages wait,
    /// and nothing was done.
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

    /// Replaces all overrides of control. `done` is called once the decisions go by them, with those that are not applied;
    /// false: too many callers wait, and the earliest will not be called.
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

    /// Applies purges, or one of everything where too many wait. `done` is called once the decisions go by it; false: too
    /// many callers wait for that one, and the earliest will not be called.
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
        let join = |before: Option<Duration>| before.map_or(purged_at, |before| before.max(purged_at));
        let outcome = self.purge_overflow.put(join, Box::new(move |()| done()));
        if outcome.was_empty {
            let slot = self.purge_overflow.clone();
            self.clients.decisions.send_urgent(DecisionMessage::PurgeEverything(slot));
        }
        !outcome.dropped_caller
    }

    /// The timestamp of a purge that was made `age` ago, on the clock of this dispatcher.
    pub fn timestamp_before_now(&self, age: Duration) -> PurgeTimestamp {
        PurgeTimestamp::Local(self.clock.now().saturating_sub(age))
    }

    /// Requests a status report; false: too many messages wait, and none will come.
    pub fn request_status(&self, reply: impl FnOnce(Box<StatusReport>) + Send + 'static) -> bool {
        if self.endpoint_list.len() >= MAX_QUEUED_MESSAGES {
            return false;
        }
        self.endpoint_list.send(EndpointListMessage::ReportStatus(Box::new(reply)));
        true
    }

    /// The phase of the dispatcher.
    pub fn phase(&self) -> Phase {
        let phase = self.phase.load(Ordering::Relaxed);
        Phase::ALL.into_iter().find(|known| *known as u8 == phase).unwrap_or(Phase::Stopped)
    }

    /// The connection to the discovery service.
    pub fn discovery_status(&self) -> DiscoveryStatus {
        self.discovery.read()
    }

    /// How much of each capped resource is in use. The names are those of the management model.
    pub fn fill_levels(&self) -> Vec<FillLevel> {
        let level = |name, cap, fill| FillLevel { name, cap, fill };
        let buffered_bytes = self.pool.buffered_bytes.load(Ordering::Relaxed);
        vec![
            level("clients", self.caps.clients, self.clients.connections()),
            level("hosts", self.caps.upstream_connections, self.pool.connections().len()),
            level("held", self.caps.buffered_bytes, buffered_bytes),
            level("module-words", self.caps.queued_requests, self.clients.decisions.len()),
        ]
    }
}
