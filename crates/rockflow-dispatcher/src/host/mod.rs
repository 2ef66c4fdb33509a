//! The actor of a host: chooses the connection for each message, and opens another where none will do.

pub mod message;

use crate::attempt::{AttemptKey, CancelReason, EndedAttempts, OutgoingAttempt};
use crate::connection_pool::{AttemptQueue, ConnectionPool, UpstreamConnection};
use crate::decision::message::DecisionMessage;
use crate::host::message::HostMessage;
use crate::mailbox::{Mailbox, Wake};
use crate::timer;
use crate::upstream;
use crate::upstream::message::UpstreamMessage;
use may::coroutine;
use rockflow::{Outcome, RequestId};
use rockflow_protocol::upstream::HealthCheckKind;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// How often the host's other connections are checked after one broke, and how many times while none is open.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(4);
const MAX_LIVENESS_CHECKS: usize = 25;
/// Guards against a cancellation that arrives behind the next attempt of its request, which goes on another connection
/// under the same id: the host would drop that one. The next attempt is delayed by this time.
const CANCEL_PROPAGATION: Duration = Duration::from_millis(5);
/// Share of the cap on connections up to which an attempt gets one to itself.
const EXCLUSIVE_SHARE: f64 = 0.75;

/// Owns the connections to one host, and the attempts that wait for one.
pub struct HostActor {
    endpoint: String,
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
    mailbox: Arc<Mailbox<HostMessage>>,
    connections: Vec<Arc<UpstreamConnection>>,
    /// Shared with the connections, which take from it when they are free.
    queue: Arc<AttemptQueue>,
    /// When an attempt of a request was last cancelled.
    cancelled_at: BTreeMap<RequestId, Duration>,
    /// Attempts that wait until a cancellation has arrived.
    delayed: BTreeMap<AttemptKey, OutgoingAttempt>,
    retired: bool,
}

impl HostActor {
    /// The actor of a host that has no connection yet.
    pub fn new(
        endpoint: String,
        address: SocketAddr,
        pool: Arc<ConnectionPool>,
        mailbox: Arc<Mailbox<HostMessage>>,
    ) -> Self {
        HostActor {
            endpoint,
            address,
            pool,
            mailbox,
            connections: Vec::new(),
            queue: Arc::default(),
            cancelled_at: BTreeMap::new(),
            delayed: BTreeMap::new(),
            retired: false,
        }
    }

    /// Runs until the host is retired and its last connection has ended.
    pub fn run(mut self) {
        self.mailbox.wake_by(Wake::Park(coroutine::current()));
        while !self.retired || !self.connections.is_empty() {
            let Some(message) = self.mailbox.take() else {
                coroutine::park();
                continue;
            };
            self.connections.retain(|connection| !connection.is_ended());
            self.on_message(message);
        }
    }

    fn on_message(&mut self, message: HostMessage) {
        match message {
            HostMessage::Send(attempt) => self.send_or_delay(attempt),
            HostMessage::Release(key) => {
                if let Some(attempt) = self.delayed.remove(&key) {
                    self.send(attempt);
                }
            }
            HostMessage::CheckHealth { tag, kind } => self.check_health(tag, kind),
            HostMessage::Cancel { key, reason } => self.cancel(key, reason),
            // A connection closes once nothing is in flight on it.
            HostMessage::CloseIdle => self.retire_connections(),
            HostMessage::Retire => self.retire(),
            HostMessage::ConnectionEnded { ended, resend, never_established } => {
                self.on_connection_ended(ended, resend, never_established);
            }
        }
    }

    fn send_or_delay(&mut self, attempt: OutgoingAttempt) {
        let now = self.pool.clock.now();
        let cancelled_at = self.cancelled_at.get(&attempt.key.request);
        let delay = cancelled_at.map_or(Duration::ZERO, |at| (*at + CANCEL_PROPAGATION).saturating_sub(now));
        if delay.is_zero() {
            return self.send(attempt);
        }
        let mailbox = self.mailbox.clone();
        let key = attempt.key;
        self.delayed.insert(key, attempt);
        may::go!(move || {
            timer::sleep(delay);
            mailbox.send(HostMessage::Release(key));
        });
    }

    fn send(&mut self, attempt: OutgoingAttempt) {
        // No connection is opened for what may not be sent any more.
        if !attempt.permit.is_valid(self.pool.clock.now()) {
            return self.fail(attempt.key, Outcome::NotSent);
        }
        match self.connection_for(&attempt.id) {
            Some(connection) => connection.send_attempt(attempt, &self.pool),
            None => {
                self.queue.push(attempt);
                self.serve_queue();
            }
        }
    }

    fn check_health(&mut self, tag: u64, kind: HealthCheckKind) {
        match self.connection_for("").or_else(|| self.open_connection()) {
            Some(connection) => connection.send(UpstreamMessage::CheckHealth { tag, kind }),
            None => {
                let outcome = Outcome::ConnectFailed;
                self.pool.decisions.send(DecisionMessage::HealthCheckFailed { tag, outcome });
            }
        }
    }

    fn cancel(&mut self, key: AttemptKey, reason: CancelReason) {
        let now = self.pool.clock.now();
        self.cancelled_at.retain(|_, at| now < *at + CANCEL_PROPAGATION);
        self.cancelled_at.insert(key.request, now);
        self.delayed.remove(&key);
        self.queue.remove(key);
        for connection in &self.connections {
            connection.send(UpstreamMessage::Cancel { key, reason });
        }
    }

    fn retire(&mut self) {
        self.retired = true;
        // None of these is sent any more.
        while let Some(attempt) = self.queue.pop() {
            self.fail(attempt.key, Outcome::NotSent);
        }
        for attempt in std::mem::take(&mut self.delayed).into_values() {
            self.fail(attempt.key, Outcome::NotSent);
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
            // The attempt that has waited longest for a connection did so for this one.
            if self.queue.len() > self.connecting() {
                unsent.attempts.extend(self.queue.pop().map(|attempt| attempt.key));
            }
        }
        for attempts in ended {
            self.report_ended(attempts);
        }
        self.serve_queue();
    }

    fn fail(&self, key: AttemptKey, outcome: Outcome) {
        self.pool.decisions.send(DecisionMessage::AttemptFailed { key, outcome });
    }

    fn connecting(&self) -> usize {
        self.connections.iter().filter(|connection| connection.is_connecting()).count()
    }

    /// Opens as many connections as attempts wait; if none can be opened, no attempt waits in vain.
    fn serve_queue(&mut self) {
        while self.connecting() < self.queue.len() && self.open_connection().is_some() {}
        if self.connections.iter().all(|connection| connection.is_ended()) {
            while let Some(attempt) = self.queue.pop() {
                self.fail(attempt.key, Outcome::ConnectFailed);
            }
        }
    }

    /// Reports attempts that ended with their connection. Guards against taking a reset of one connection for the death of
    /// the process, which resets all and accepts no new one for a while: a connection that is open by then, old or new,
    /// shows that the host is alive.
    fn report_ended(&mut self, ended: EndedAttempts) {
        if ended.attempts.is_empty() {
            return;
        }
        let decisions = self.pool.decisions.clone();
        if let Some(since) = ended.alive_if_received_since {
            let is_alive = self.connections.iter().any(|connection| connection.has_received_since(since));
            return report(&decisions, ended, is_alive);
        }
        if ended.outcome_if_alive == ended.outcome_if_gone {
            return report(&decisions, ended, false);
        }
        if !self.connections.iter().any(|connection| connection.is_open()) {
            self.open_connection();
        }
        let others = self.connections.clone();
        may::go!(move || {
            let is_alive = await_open(&others);
            report(&decisions, ended, is_alive);
        });
    }

    /// A connection for an attempt, if one is free. What a host spoils or leaves unanswered affects the whole connection,
    /// so an attempt gets one to itself as long as there are plenty; the one used last, so that surplus ones age.
    fn connection_for(&self, id: &str) -> Option<Arc<UpstreamConnection>> {
        let usable = self.connections.iter().filter(|connection| connection.accepts(id, &self.pool));
        let best = usable.min_by_key(|connection| (connection.in_flight(), Reverse(connection.last_used())));
        let open = self.pool.connections().len() as f64;
        let is_scarce = open >= EXCLUSIVE_SHARE * self.pool.max_connections as f64;
        best.filter(|connection| connection.in_flight() == 0 || is_scarce).cloned()
    }

    /// Opens another connection; none past the cap. Those that are exhausted close when their attempts have ended.
    fn open_connection(&mut self) -> Option<Arc<UpstreamConnection>> {
        let cap = self.pool.max_connections;
        if self.pool.connections().len() >= cap {
            debug!(endpoint = self.endpoint, cap, "connection cap reached");
            return None;
        }
        for connection in self.connections.iter().filter(|connection| connection.is_exhausted(&self.pool)) {
            connection.send(UpstreamMessage::Retire);
        }
        let connection = upstream::start(
            self.endpoint.clone(),
            self.address,
            self.pool.clone(),
            self.mailbox.clone(),
            self.queue.clone(),
        );
        self.connections.push(connection.clone());
        Some(connection)
    }
}

/// Waits until one of the connections is open or all have ended, for a bounded time; returns whether one is open.
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

fn report(decisions: &Mailbox<DecisionMessage>, ended: EndedAttempts, is_alive: bool) {
    let outcome = if is_alive { ended.outcome_if_alive } else { ended.outcome_if_gone };
    for key in ended.attempts {
        decisions.send(DecisionMessage::AttemptFailed { key, outcome });
    }
}
