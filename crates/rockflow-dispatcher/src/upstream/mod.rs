//! Starts the actor of an upstream connection (a connection to a host), and collects the attempts left when it ends.

mod connection;
pub mod message;

use crate::attempt::{EndedAttempts, OutgoingAttempt};
use crate::connection_pool::{lock, AttemptQueue, ConnectionPool, UpstreamConnection};
use crate::decision::message::DecisionMessage;
use crate::host::message::HostMessage;
use crate::host::HostHandle;
use crate::mailbox::Wake;
use crate::memory::MemoryReservation;
use crate::upstream::connection::{ConnectionActor, EndedConnection};
use crate::upstream::message::UpstreamMessage;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::Outcome;
use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, error, info};

/// Starts the actor of a new connection for which `memory` is reserved. It sends [`HostMessage::ConnectionEnded`] to `host` when it ends.
pub fn start(
    host: HostHandle,
    pool: Arc<ConnectionPool>,
    queue: Arc<AttemptQueue>,
    memory: MemoryReservation,
) -> Arc<UpstreamConnection> {
    let connection = Arc::new(UpstreamConnection::new(pool.clock.now(), memory));
    let number = pool.next_connection.fetch_add(1, Ordering::Relaxed);
    pool.connections().insert(number, connection.clone());
    let shared = connection.clone();
    may::go!(move || {
        let unfinished = run(&host, &pool, &shared, &queue);
        shared.release_memory();
        pool.remove(number);
        host.send(HostMessage::ConnectionEnded {
            ended: unfinished.ended,
            resend: unfinished.resend,
            never_established: !shared.established.load(Ordering::Relaxed),
        });
    });
    connection
}

/// The attempts that are left when a connection ends or can't be established.
struct UnfinishedAttempts {
    /// Attempts that ended with the connection: first those that may have executed, last those that were never sent.
    ended: Vec<EndedAttempts>,
    /// Attempts that were not sent and may be sent on another connection. Empty if this connection never received
    /// anything, so that a host that accepts connections and closes them at once is not retried without end.
    resend: Vec<OutgoingAttempt>,
}

fn run(
    host: &HostHandle,
    pool: &ConnectionPool,
    shared: &UpstreamConnection,
    queue: &AttemptQueue,
) -> UnfinishedAttempts {
    let mut ended = Vec::new();
    let mut unsent = Vec::new();
    let mut alive_if_received_since = None;
    let connect_started = pool.clock.now();
    let endpoint = host.endpoint();
    match TcpStream::connect_timeout(&host.address(), pool.connect_timeout) {
        Ok(stream) => {
            debug!(endpoint, "connected");
            let connection = serve(endpoint, stream, pool, shared, queue);
            ended.push(connection.in_flight);
            unsent = connection.unsent;
        }
        Err(error) => {
            info!(endpoint, %error, "connect failed");
            shared.ended.store(true, Ordering::Relaxed);
            alive_if_received_since = required_receive_time(&error, connect_started);
        }
    }
    unsent.extend(drain_mailbox(pool, shared));
    let has_received = *lock(&shared.last_received) > Duration::ZERO;
    let resend = if has_received { std::mem::take(&mut unsent) } else { Vec::new() };
    ended.push(EndedAttempts {
        attempts: unsent.into_iter().map(|attempt| attempt.key).collect(),
        alive_if_received_since,
        outcome_if_gone: Outcome::ConnectFailed,
        outcome_if_alive: Outcome::NotSent,
    });
    UnfinishedAttempts { ended, resend }
}

/// The time since which another connection must have received data for the host to count as alive, after a connect that
/// timed out. A machine that vanished leaves its old connections open, so an open connection is no evidence; a host
/// that responds on other connections is alive even if one connect is slow. `None` for errors other than a timeout.
fn required_receive_time(error: &std::io::Error, connect_started: Duration) -> Option<Duration> {
    (error.kind() == ErrorKind::TimedOut).then_some(connect_started)
}

/// Serves an established connection until it ends.
fn serve(
    endpoint: &str,
    stream: TcpStream,
    pool: &ConnectionPool,
    shared: &UpstreamConnection,
    queue: &AttemptQueue,
) -> EndedConnection {
    let _ = stream.set_nodelay(true);
    shared.mailbox.wake_by(Wake::Io(stream.waker()));
    shared.established.store(true, Ordering::Relaxed);
    let mut actor = ConnectionActor::new(endpoint, stream, pool, shared, queue);
    if catch_unwind(AssertUnwindSafe(|| actor.serve())).is_err() {
        error!(endpoint, "upstream connection actor panicked");
    }
    shared.ended.store(true, Ordering::Relaxed);
    actor.finish()
}

/// Returns the attempts that are left in the connection's mailbox, and fails the health checks there.
fn drain_mailbox(pool: &ConnectionPool, shared: &UpstreamConnection) -> Vec<OutgoingAttempt> {
    let mut attempts = Vec::new();
    while let Some(message) = shared.mailbox.take() {
        match message {
            UpstreamMessage::Send(attempt) => attempts.push(attempt),
            UpstreamMessage::CheckHealth { tag, .. } => {
                let outcome = Outcome::ConnectFailed;
                pool.decisions.send(DecisionMessage::HealthCheckFailed { tag, outcome });
            }
            UpstreamMessage::Cancel { .. } | UpstreamMessage::Retire | UpstreamMessage::Inspect => {}
        }
    }
    attempts
}
