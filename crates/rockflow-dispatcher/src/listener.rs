//! Accepts clients' connections, up to the cap; past it they wait unaccepted until a request has its response.

use crate::client::{self, ClientRegistry};
use crate::connection_pool::ConnectionPool;
use crate::discovery::message::DiscoveryMessage;
use crate::mailbox::Mailbox;
use crate::timer;
use may::net::TcpListener;
use may::sync::Semphore;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// The wait after a failed accept, for example with no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How often connections are checked for those that are of no use any more.
const INSPECTION_INTERVAL: Duration = Duration::from_millis(200);

/// Has all connections check themselves, again and again.
pub fn inspect_connections(
    clients: &ClientRegistry,
    pool: &ConnectionPool,
    discovery: &Mailbox<DiscoveryMessage>,
) {
    loop {
        timer::sleep(INSPECTION_INTERVAL);
        clients.inspect();
        pool.inspect();
        discovery.send(DiscoveryMessage::Inspect);
    }
}

/// Accepts connections for ever. `permits` holds one for each connection that may still be accepted.
pub fn run(listener: &TcpListener, clients: &Arc<ClientRegistry>, permits: &Arc<Semphore>) {
    loop {
        if !permits.try_wait() {
            warn!("all client connections are busy, they close with their responses");
            clients.crowded.store(true, Ordering::Relaxed);
            permits.wait();
            clients.crowded.store(false, Ordering::Relaxed);
        }
        match listener.accept() {
            Ok((stream, _)) => {
                let (clients, permits) = (clients.clone(), permits.clone());
                may::go!(move || {
                    client::run(stream, &clients);
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
