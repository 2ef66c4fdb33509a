//! Takes in clients' connections, up to the cap; past it they wait unaccepted till a request has its answer.

use crate::client::{self, ClientRegistry};
use crate::connection_pool::ConnectionPool;
use crate::mailbox::Mailbox;
use crate::messages::DiscoveryMessage;
use crate::timer;
use may::net::TcpListener;
use may::sync::Semphore;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// After a failed accept, for example with no descriptor left.
const PAUSE: Duration = Duration::from_millis(10);

/// How often connections are looked through for such as have outlived their use.
const LOOK: Duration = Duration::from_millis(200);

pub fn look(door: &ClientRegistry, pool: &ConnectionPool, board: &Mailbox<DiscoveryMessage>) {
    loop {
        timer::sleep(LOOK);
        door.look();
        pool.look();
        board.send(DiscoveryMessage::Inspect);
    }
}

pub fn run(listener: &TcpListener, door: &Arc<ClientRegistry>, location_dispatchers: &Arc<Semphore>) {
    loop {
        if !location_dispatchers.try_wait() {
            warn!("a query is open on every seat; connections end with their answers");
            door.crowded.store(true, Ordering::Relaxed);
            location_dispatchers.wait();
            door.crowded.store(false, Ordering::Relaxed);
        }
        match listener.accept() {
            Ok((stream, _)) => {
                let (door, location_dispatchers) = (door.clone(), location_dispatchers.clone());
                may::go!(move || {
                    client::run(stream, &door);
                    location_dispatchers.post();
                });
            }
            Err(what) => {
                warn!(%what, "accept failed");
                location_dispatchers.post();
                timer::sleep(PAUSE);
            }
        }
    }
}
