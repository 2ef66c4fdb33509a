//! Accepts client connections up to a cap. Further ones wait in the listen backlog until an accepted
//! connection closes; meanwhile connections close after their response.

use crate::client::{self, ClientRegistry};
use crate::connection_pool::ConnectionPool;
use crate::discovery::message::DiscoveryMessage;
use crate::host::message::HostsMessage;
use crate::mailbox::Mailbox;
use crate::memory::{MemoryReservation, MemoryUse, CLIENT_CONNECTION_BYTES};
use crate::timer;
use crate::turns::Turn;
use may::net::TcpListener;
use may::sync::Semphore;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// Delay after a failed accept, for example when the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Delay after which the listener looks again whether there is memory for a connection.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Interval at which connections check whether they should be closed, for example for lack of progress.
const INSPECTION_INTERVAL: Duration = Duration::from_millis(200);

/// Sends all connections a periodic request to check themselves. Never returns.
pub fn inspect_connections(
    clients: &ClientRegistry,
    pool: &ConnectionPool,
    hosts: &Mailbox<HostsMessage>,
    discovery: &Mailbox<DiscoveryMessage>,
) {
    loop {
        timer::sleep(INSPECTION_INTERVAL);
        clients.inspect();
        pool.inspect();
        hosts.send(HostsMessage::Inspect);
        discovery.send(DiscoveryMessage::Inspect);
    }
}

/// Accepts connections; never returns. `permits` counts the connections that may still be accepted.
pub fn run(listener: &TcpListener, clients: &Arc<ClientRegistry>, permits: &Arc<Semphore>) {
    let mut turn = Turn::default();
    loop {
        // Connections may arrive as fast as they are accepted.
        turn.end_round();
        if !permits.try_wait() {
            warn!("the cap on client connections is reached, connections close after their responses");
            clients.crowded.store(true, Ordering::Relaxed);
            permits.wait();
            clients.crowded.store(false, Ordering::Relaxed);
        }
        let memory = await_memory(clients);
        match listener.accept() {
            Ok((stream, _)) => {
                let (clients, permits) = (clients.clone(), permits.clone());
                may::go!(move || {
                    client::run(stream, &clients, memory);
                    permits.post();
                });
            }
            Err(error) => {
                warn!(%error, "accept failed");
                permits.post();
                timer::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

/// Reserves memory for a connection. While there is none, idle connections are closed, and others after their response.
fn await_memory(clients: &ClientRegistry) -> MemoryReservation {
    loop {
        let memory = clients.memory.reserve(MemoryUse::Clients, CLIENT_CONNECTION_BYTES);
        clients.crowded.store(memory.is_none(), Ordering::Relaxed);
        if let Some(memory) = memory {
            return memory;
        }
        clients.evict_idle();
        timer::sleep(MEMORY_RETRY_DELAY);
    }
}
