//! The connections to one host: assigns each attempt and health check to one, and opens a new one when none is free.

use crate::attempt::{AttemptKey, CancelReason, EndedAttempts, OutgoingAttempt};
use crate::connection_pool::{AttemptQueue, ConnectionPool, UpstreamConnection};
use crate::decision::message::DecisionMessage;
use crate::host::message::HostMessage;
use crate::host::HostHandle;
use crate::mailbox::Mailbox;
use crate::memory::{MemoryUse, UPSTREAM_CONNECTION_BYTES};
use crate::timer;
use crate::upstream;
use crate::upstream::message::UpstreamMessage;
use rockflow::{Outcome, RequestId};
use rockflow_protocol::upstream::HealthCheckKind;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// Interval at which the host's other connections are checked after one of them failed.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(4);
/// Number of these checks that find no open connection before the host counts as gone.
const MAX_LIVENESS_CHECKS: usize = 25;
/// Delay between the cancellation of an attempt and the next attempt of the same request. Both attempts have the same
/// id but may use different connections: without the delay, the cancellation could arrive after the next attempt, and
/// the host would drop that attempt instead.
const CANCEL_PROPAGATION: Duration = Duration::from_millis(5);
/// Share of the connection cap, and of the memory for connections, that may be in use before attempts have to share connections.
const EXCLUSIVE_USE_LIMIT: f64 = 0.75;

/// A health check that has not been sent.
struct WaitingHealthCheck {
    tag: u64,
    kind: HealthCheckKind,
}

/// Owns the connections to one host, and the attempts that wait for a free one.
pub(super) struct HostConnections {
    /// The host; messages to it come back to this state.
    handle: HostHandle,
    pool: Arc<ConnectionPool>,
    connections: Vec<Arc<UpstreamConnection>>,
    /// Number of connections whose [`HostMessage::ConnectionEnded`] has not been handled.
    running: usize,
    /// Attempts that wait for a connection. Shared with the connections, which take attempts from it when free.
    queue: Arc<AttemptQueue>,
    /// When an attempt of each request was last cancelled; entries older than [`CANCEL_PROPAGATION`] are removed.
    cancelled_at: BTreeMap<RequestId, Duration>,
    /// Attempts held back for [`CANCEL_PROPAGATION`].
    delayed: BTreeMap<AttemptKey, OutgoingAttempt>,
    /// Health checks that wait for room for a connection.
    waiting_health_checks: Vec<WaitingHealthCheck>,
    /// Number of idle connections of other hosts that were evicted for this one and may not have ended yet.
    evictions: usize,
    /// The host was removed from the endpoint list or its address changed.
    retired: bool,
}

impl HostConnections {
    /// Creates the state of a host without any connections.
    pub(super) fn new(handle: HostHandle, pool: Arc<ConnectionPool>) -> Self {
        HostConnections {
            handle,
            pool,
            connections: Vec::new(),
            running: 0,
            queue: Arc::default(),
            cancelled_at: BTreeMap::new(),
            delayed: BTreeMap::new(),
            waiting_health_checks: Vec::new(),
            evictions: 0,
            retired: false,
        }
    }

    /// Whether the host has neither connections nor attempts, and no attempt has to be held back any more.
    pub(super) fn is_unused(&self) -> bool {
        let now = self.pool.clock.now();
        self.running == 0
            && self.queue.is_empty()
            && self.waiting_health_checks.is_empty()
            && self.delayed.is_empty()
            && self.cancelled_at.values().all(|cancelled_at| *cancelled_at + CANCEL_PROPAGATION <= now)
    }

    /// Handles a message to the host.
    pub(super) fn on_message(&mut self, message: HostMessage) {
        self.connections.retain(|connection| !connection.is_ended());
        match message {
            HostMessage::Send(attempt) => self.send_or_delay(attempt),
            HostMessage::Release(key) => {
                if let Some(attempt) = self.delayed.remove(&key) {
                    self.send(attempt);
                }
            }
            HostMessage::CheckHealth { tag, kind } => self.check_health(tag, kind),
            HostMessage::Cancel { key, reason } => self.cancel(key, reason),
            // A retired connection closes once nothing is in flight on it, so idle ones close at once.
            HostMessage::CloseIdle => self.retire_connections(),
            HostMessage::Retire => self.retire(),
            HostMessage::RoomFreed => self.on_room_freed(),
            HostMessage::ConnectionEnded { ended, resend, never_established } => {
                self.running -= 1;
                self.on_connection_ended(ended, resend, never_established);
            }
        }
    }

    fn send_or_delay(&mut self, attempt: OutgoingAttempt) {
        let now = self.pool.clock.now();
        let cancelled_at = self.cancelled_at.get(&attempt.key.request);
        let delay = cancelled_at
            .map_or(Duration::ZERO, |cancelled_at| (*cancelled_at + CANCEL_PROPAGATION).saturating_sub(now));
        if delay.is_zero() {
            return self.send(attempt);
        }
        let handle = self.handle.clone();
        let key = attempt.key;
        self.delayed.insert(key, attempt);
        may::go!(move || {
            timer::sleep(delay);
            handle.send(HostMessage::Release(key));
        });
    }

    fn send(&mut self, attempt: OutgoingAttempt) {
        // Doesn't open a connection for an attempt that may no longer be sent.
        if !attempt.permit.is_valid(self.pool.clock.now()) {
            return self.report_failure(attempt.key, Outcome::NotSent);
        }
        match self.connection_for(&attempt.id) {
            Some(connection) => connection.send_attempt(attempt, &self.pool),
            None => {
                self.queue.push(attempt);
                self.open_connections_for_queue();
            }
        }
    }

    fn check_health(&mut self, tag: u64, kind: HealthCheckKind) {
        // Health checks have no request id, so no connection is ruled out because it has carried the id before.
        match self.connection_for("").or_else(|| self.open_connection()) {
            Some(connection) => connection.send(UpstreamMessage::CheckHealth { tag, kind }),
            None if self.evict_for_connection() => {
                self.waiting_health_checks.push(WaitingHealthCheck { tag, kind });
            }
            None => self.fail_health_check(tag),
        }
    }

    fn fail_health_check(&self, tag: u64) {
        let outcome = Outcome::ConnectFailed;
        self.pool.decisions.send(DecisionMessage::HealthCheckFailed { tag, outcome });
    }

    /// Uses the room that an evicted connection has left, or passes it on.
    fn on_room_freed(&mut self) {
        self.evictions = self.evictions.saturating_sub(1);
        let opened_before = self.running;
        for WaitingHealthCheck { tag, kind } in std::mem::take(&mut self.waiting_health_checks) {
            self.check_health(tag, kind);
        }
        self.open_connections_for_queue();
        if self.running == opened_before {
            self.pool.pass_room_on();
        }
    }

    /// Evicts an idle connection of any host, to open one to this host in its place. Returns false if none is idle, or
    /// if the host may open no connection any more.
    fn evict_for_connection(&mut self) -> bool {
        let is_evicting = !self.retired && self.pool.evict_idle_for(&self.handle);
        self.evictions += usize::from(is_evicting);
        is_evicting
    }

    /// Closes the connections that accept no further attempts, once nothing is in flight on them.
    pub(super) fn retire_exhausted(&self) {
        for connection in self.connections.iter().filter(|connection| connection.is_exhausted(&self.pool)) {
            connection.retire();
        }
    }

    fn cancel(&mut self, key: AttemptKey, reason: CancelReason) {
        let now = self.pool.clock.now();
        self.cancelled_at.retain(|_, cancelled_at| now < *cancelled_at + CANCEL_PROPAGATION);
        self.cancelled_at.insert(key.request, now);
        self.delayed.remove(&key);
        self.queue.remove(key);
        for connection in &self.connections {
            connection.send(UpstreamMessage::Cancel { key, reason });
        }
    }

    fn retire(&mut self) {
        self.retired = true;
        // Queued and delayed attempts were not sent, and must not be sent any more.
        while let Some(attempt) = self.queue.pop() {
            self.report_failure(attempt.key, Outcome::NotSent);
        }
        for attempt in std::mem::take(&mut self.delayed).into_values() {
            self.report_failure(attempt.key, Outcome::NotSent);
        }
        for health_check in std::mem::take(&mut self.waiting_health_checks) {
            self.fail_health_check(health_check.tag);
        }
        self.retire_connections();
    }

    fn retire_connections(&self) {
        for connection in &self.connections {
            connection.send(UpstreamMessage::Retire);
        }
    }

    fn on_connection_ended(
        &mut self,
        mut ended: Vec<EndedAttempts>,
        resend: Vec<OutgoingAttempt>,
        never_established: bool,
    ) {
        for attempt in resend {
            self.send(attempt);
        }
        if let Some(unsent) = ended.last_mut().filter(|_| never_established) {
            // A connection is opened for each queued attempt. If fewer are being established than attempts are queued,
            // the oldest queued attempt fails with the connection that was opened for it.
            if self.queue.len() > self.connecting() {
                unsent.attempts.extend(self.queue.pop().map(|attempt| attempt.key));
            }
        }
        for attempts in ended {
            self.report_ended(attempts);
        }
        self.open_connections_for_queue();
    }

    fn report_failure(&self, key: AttemptKey, outcome: Outcome) {
        self.pool.decisions.send(DecisionMessage::AttemptFailed { key, outcome });
    }

    fn connecting(&self) -> usize {
        self.connections.iter().filter(|connection| connection.is_connecting()).count()
    }

    /// Opens connections until each queued attempt has one that is being established, or waits for an idle connection of
    /// another host to make room for it. Fails all queued attempts if the host has no connection that may take them
    /// and none could be opened.
    fn open_connections_for_queue(&mut self) {
        while self.connecting() + self.evictions < self.queue.len() {
            if self.open_connection().is_none() && !self.evict_for_connection() {
                break;
            }
        }
        let takes_attempts = |connection: &Arc<UpstreamConnection>| {
            !connection.is_ended() && (connection.is_connecting() || !connection.is_exhausted(&self.pool))
        };
        if self.evictions == 0 && !self.connections.iter().any(takes_attempts) {
            while let Some(attempt) = self.queue.pop() {
                self.report_failure(attempt.key, Outcome::ConnectFailed);
            }
        }
    }

    /// Reports attempts that ended with their connection. A reset of one connection doesn't mean that the host's
    /// process has died. A dead process resets all its connections and accepts no new ones for a while, so any
    /// connection, old or new, that is open after a short wait shows that the host is alive.
    fn report_ended(&mut self, ended: EndedAttempts) {
        if ended.attempts.is_empty() {
            return;
        }
        let decisions = self.pool.decisions.clone();
        if let Some(since) = ended.alive_if_received_since {
            let is_alive = self.connections.iter().any(|connection| connection.has_received_since(since));
            return send_outcomes(&decisions, ended, is_alive);
        }
        if ended.outcome_if_alive == ended.outcome_if_gone {
            return send_outcomes(&decisions, ended, false);
        }
        if !self.connections.iter().any(|connection| connection.is_open()) {
            self.open_connection();
        }
        let connections = self.connections.clone();
        may::go!(move || {
            let is_alive = await_open(&connections);
            send_outcomes(&decisions, ended, is_alive);
        });
    }

    /// Chooses a free connection for an attempt. A malformed or missing response affects all attempts on a connection,
    /// so attempts share one only when connections are scarce. Among equally loaded connections the most recently used
    /// one is chosen, so that surplus connections reach their idle timeout.
    fn connection_for(&self, id: &str) -> Option<Arc<UpstreamConnection>> {
        let usable = self.connections.iter().filter(|connection| connection.accepts(id, &self.pool));
        let least_loaded =
            usable.min_by_key(|connection| (connection.in_flight(), Reverse(connection.last_used())));
        let open_connections = self.pool.connections().len() as f64;
        let is_scarce = open_connections >= EXCLUSIVE_USE_LIMIT * self.pool.max_connections as f64
            || self.pool.memory.is_filled(MemoryUse::Upstream, EXCLUSIVE_USE_LIMIT);
        least_loaded.filter(|connection| connection.in_flight() == 0 || is_scarce).cloned()
    }

    /// Opens another connection and returns it, or `None` if the connection cap or that on memory is reached. Retires the host's
    /// exhausted connections.
    fn open_connection(&mut self) -> Option<Arc<UpstreamConnection>> {
        let cap = self.pool.max_connections;
        if self.pool.connections().len() >= cap {
            debug!(endpoint = self.handle.endpoint(), cap, "connection cap reached");
            return None;
        }
        let Some(memory) = self.pool.memory.reserve(MemoryUse::Upstream, UPSTREAM_CONNECTION_BYTES) else {
            debug!(endpoint = self.handle.endpoint(), "no memory for another connection");
            return None;
        };
        self.retire_exhausted();
        let connection = upstream::start(self.handle.clone(), self.pool.clone(), self.queue.clone(), memory);
        self.connections.push(connection.clone());
        self.running += 1;
        Some(connection)
    }
}

/// Waits until one of the connections is open or all have ended, at most [`MAX_LIVENESS_CHECKS`] intervals. Returns
/// whether one is open.
fn await_open(connections: &[Arc<UpstreamConnection>]) -> bool {
    for _ in 0..MAX_LIVENESS_CHECKS {
        timer::sleep(LIVENESS_CHECK_INTERVAL);
        if connections.iter().any(|connection| connection.is_open()) {
            return true;
        }
        if connections.iter().all(|connection| connection.is_ended()) {
            return false;
        }
    }
    false
}

fn send_outcomes(decisions: &Mailbox<DecisionMessage>, ended: EndedAttempts, is_alive: bool) {
    let outcome = if is_alive { ended.outcome_if_alive } else { ended.outcome_if_gone };
    for key in ended.attempts {
        decisions.send(DecisionMessage::AttemptFailed { key, outcome });
    }
}
