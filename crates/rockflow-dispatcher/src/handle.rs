//! The way in for whoever manages a running dispatcher, from a thread of its own. Each call leaves a word in a
//! mailbox and returns; the reply comes by a callback that must not wait.

use crate::backpressure::{CoalescingSlot, PurgeQuota};
use crate::caps::Caps;
use crate::client::ClientRegistry;
use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::discovery::{DiscoveryStatus, SharedDiscoveryStatus};
use crate::mailbox::Mailbox;
use crate::messages::{DecisionMessage, EndpointListMessage};
use crate::phase::Phase;
use crate::purge::{Purge, PurgeTimestamp};
use crate::status::{FillLevel, StatusReport};
use rockflow::Class;
use rockflow_endpoints::{AdminOverrides, RejectedOverride};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Words from managers that may wait at the list; more are turned away.
const MAX_WAITING: usize = 256;

#[derive(Clone)]
pub struct ServiceHandle {
    pub clock: Clock,
    pub name: String,
    pub caps: Caps,
    /// By place, with their names on the wire.
    pub classes: Vec<(String, Class)>,
    pub locations: Vec<String>,
    pub(crate) list: Arc<Mailbox<EndpointListMessage>>,
    pub(crate) door: Arc<ClientRegistry>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) board: Arc<SharedDiscoveryStatus>,
    pub(crate) phase: Arc<AtomicU8>,
    pub(crate) waiting: Arc<PurgeQuota>,
    pub(crate) floor: Arc<CoalescingSlot<Duration, ()>>,
    pub(crate) wanted: Arc<CoalescingSlot<AdminOverrides, BTreeMap<String, RejectedOverride>>>,
}

impl ServiceHandle {
    /// These marks hold in place of those before. `done` is called once the decisions go by them; false: too
    /// much waits, and it is not.
    pub fn set_operator_overrides(
        &self,
        marks: AdminOverrides,
        done: impl FnOnce() + Send + 'static,
    ) -> bool {
        if self.list.len() >= MAX_WAITING {
            return false;
        }
        self.list
            .send_urgent(EndpointListMessage::SetOperatorOverrides { marks, done: Box::new(|()| done()) });
        true
    }

    /// The fleet wants these marks from now on, in place of those before. `done` is called once the decisions go by
    /// them, with those that are not in force; false: in place of the earliest `done` of too many that wait.
    pub fn set_control_overrides(
        &self,
        wanted: AdminOverrides,
        done: impl FnOnce(BTreeMap<String, RejectedOverride>) + Send + 'static,
    ) -> bool {
        let (new, whole) = self.wanted.put(|_| wanted, Box::new(done));
        if new {
            self.list.send_urgent(EndpointListMessage::SetControlOverrides(self.wanted.clone()));
        }
        whole
    }

    /// Has these purges heeded, or a stricter one of everything where too many wait. `done` is called once the decisions
    /// have heard of it; false: in place of the earliest `done` of too many that wait for that one.
    pub fn purge(&self, purges: Vec<Purge>, done: impl FnOnce() + Send + 'static) -> bool {
        if let Some(places) = self.waiting.places(purges.len()) {
            let done = Box::new(move |()| {
                drop(places);
                done();
            });
            self.door.module.send_urgent(DecisionMessage::PurgesReceived { purges, done: Some(done) });
            return true;
        }
        let youngest = purges.iter().map(|purge| purge.purged_at.age(self.clock)).min().unwrap_or_default();
        let made = self.clock.now().saturating_sub(youngest);
        let join = |before: Option<Duration>| before.map_or(made, |before| before.max(made));
        let (new, whole) = self.floor.put(join, Box::new(move |()| done()));
        if new {
            self.door.module.send_urgent(DecisionMessage::PurgeEverything(self.floor.clone()));
        }
        whole
    }

    /// A purge that was made so long ago, on the clock of this dispatcher.
    pub fn timestamp_before_now(&self, ago: Duration) -> PurgeTimestamp {
        PurgeTimestamp::Local(self.clock.now().saturating_sub(ago))
    }

    /// Asks for a picture; false: too much waits, and none comes.
    pub fn request_status(&self, reply: impl FnOnce(Box<StatusReport>) + Send + 'static) -> bool {
        if self.list.len() >= MAX_WAITING {
            return false;
        }
        self.list.send(EndpointListMessage::ReportStatus(Box::new(reply)));
        true
    }

    pub fn phase(&self) -> Phase {
        let phase = self.phase.load(Ordering::Relaxed);
        let all = [Phase::Starting, Phase::Serving, Phase::Draining, Phase::Closing, Phase::Stopped];
        all.into_iter().find(|known| *known as u8 == phase).unwrap_or(Phase::Stopped)
    }

    /// The board's address, the number of its last notice, and when it was last heard.
    pub fn discovery_status(&self) -> DiscoveryStatus {
        self.board.read()
    }

    /// What is held now, beside each cap: its name, the cap, the fill.
    pub fn fill_levels(&self) -> Vec<FillLevel> {
        let held = self.pool.held.load(Ordering::Relaxed);
        vec![
            FillLevel { name: "clients", cap: self.caps.clients, fill: self.door.connections() },
            FillLevel { name: "hosts", cap: self.caps.hosts, fill: self.pool.lines().len() },
            FillLevel { name: "held", cap: self.caps.held, fill: held },
            FillLevel { name: "module-words", cap: self.caps.module_words, fill: self.door.module.len() },
        ]
    }
}
