//! The actor of the endpoint list: reads the endpoints from discovery's events, applies administrative overrides, and
//! sends the changes to the decision actor.

pub mod message;
mod reader;

pub use reader::{EndpointReader, InitialState, InstanceFault, InvalidInstance};

use crate::backpressure::CompletionCallback;
use crate::clock::Clock;
use crate::decision::message::DecisionMessage;
use crate::endpoint::Endpoint;
use crate::endpoint_list::message::{EndpointListMessage, RejectedOverrides};
use crate::mailbox::{Mailbox, Wake};
use crate::status::StatusReport;
use crate::timer;
use may::coroutine;
use rockflow::ListScope;
use rockflow_endpoints::{AdminOverrides, EndpointRegistry};
use rockflow_protocol::discovery::{EndpointUpdate, WatchEvent};
use std::sync::Arc;
use std::time::Duration;
use tracing::info;

/// Owns the endpoint list and its administrative overrides.
pub struct EndpointListActor {
    clock: Clock,
    reader: EndpointReader,
    mailbox: Arc<Mailbox<EndpointListMessage>>,
    decisions: Arc<Mailbox<DecisionMessage>>,
    /// Applies the overrides to discovery's endpoint list. `None` if the dispatcher runs without overrides.
    registry: Option<EndpointRegistry<Endpoint>>,
}

impl EndpointListActor {
    /// Creates an actor that sends changes to `decisions`. Without a registry, overrides are not supported.
    pub fn new(
        clock: Clock,
        reader: EndpointReader,
        mailbox: Arc<Mailbox<EndpointListMessage>>,
        decisions: Arc<Mailbox<DecisionMessage>>,
        registry: Option<EndpointRegistry<Endpoint>>,
    ) -> Self {
        EndpointListActor { clock, reader, mailbox, decisions, registry }
    }

    /// Handles messages and expiring overrides; never returns.
    pub fn run(&mut self) {
        self.mailbox.wake_by(Wake::Park(coroutine::current()));
        loop {
            let now = self.clock.now();
            match self.mailbox.take() {
                Some(message) => self.on_message(message, now),
                None => self.wait_for_expiry(now),
            }
        }
    }

    fn on_message(&mut self, message: EndpointListMessage, now: Duration) {
        match message {
            EndpointListMessage::Event(event) => self.on_event(event, now),
            EndpointListMessage::SetOperatorOverrides { overrides, done } => {
                let registry = self.registry.as_mut();
                let changes = registry.map(|registry| registry.replace_operator_overrides(overrides, now));
                self.send_changes(changes.unwrap_or_default(), Some(done));
            }
            EndpointListMessage::SetControlOverrides(slot) => {
                if let Some((overrides, notify)) = slot.take() {
                    self.set_control_overrides(overrides, Box::new(notify), now);
                }
            }
            EndpointListMessage::ReportStatus(reply) => {
                let report = Box::new(self.start_report());
                self.decisions.send(DecisionMessage::ReportStatus { report, reply });
            }
        }
    }

    /// Waits for a message or until the next override expires, and removes expired overrides.
    fn wait_for_expiry(&mut self, now: Duration) {
        let Some(registry) = &mut self.registry else { return coroutine::park() };
        let Some(expiry) = registry.next_expiry(now) else { return coroutine::park() };
        timer::park(expiry.saturating_sub(now));
        let changes = registry.expire_overrides(self.clock.now());
        self.send_changes(changes, None);
    }

    fn on_event(&mut self, event: WatchEvent, now: Duration) {
        if let Some(update) = &event.endpoints {
            self.apply_update(event.revision, update, now);
        }
        if let Some(purge) = event.purge {
            let purges = vec![purge.into()];
            self.decisions.send_urgent(DecisionMessage::PurgesReceived { purges, done: None });
        }
    }

    fn apply_update(&mut self, revision: u64, update: &EndpointUpdate, now: Duration) {
        let scope = if update.is_full { ListScope::Full } else { ListScope::Changes };
        let entries = self.reader.read_update(update);
        for endpoint in &entries {
            let (role, state) = (endpoint.entry.role, endpoint.entry.readiness);
            info!(revision, endpoint = endpoint.name, ?role, ?state, "endpoint listed");
        }
        match &mut self.registry {
            Some(registry) => {
                let changes = registry.apply_update(scope, entries, now);
                self.send_changes(changes, None);
            }
            None => {
                self.decisions.send_urgent(DecisionMessage::EndpointsChanged { scope, entries, done: None });
            }
        }
    }

    fn set_control_overrides(
        &mut self,
        overrides: AdminOverrides,
        done: CompletionCallback<RejectedOverrides>,
        now: Duration,
    ) {
        let Some(registry) = &mut self.registry else { return };
        let discovered = registry.discovered();
        let listed = discovered.map(|endpoint| (endpoint.name.clone(), endpoint.to_listed())).collect();
        let update = registry.replace_control_overrides(overrides, listed, now);
        let rejected = update.rejected;
        self.send_changes(update.changes, Some(Box::new(move |()| done(rejected))));
    }

    /// Sends the changes to the decision actor in one message, so that it applies all of them or none. A message with
    /// `done` is sent even if nothing changed, so that callers are notified in the order of their messages.
    fn send_changes(&self, entries: Vec<Endpoint>, done: Option<CompletionCallback<()>>) {
        if entries.is_empty() && done.is_none() {
            return;
        }
        for endpoint in &entries {
            info!(endpoint = endpoint.name, state = ?endpoint.entry.readiness, "effective endpoint state");
        }
        let scope = ListScope::Changes;
        self.decisions.send_urgent(DecisionMessage::EndpointsChanged { scope, entries, done });
    }

    fn start_report(&self) -> StatusReport {
        let Some(registry) = &self.registry else { return StatusReport::default() };
        StatusReport {
            discovered: registry.discovered().cloned().collect(),
            operator_overrides: registry.operator_overrides().clone(),
            control_overrides: registry.control_overrides().clone(),
            ..StatusReport::default()
        }
    }
}
