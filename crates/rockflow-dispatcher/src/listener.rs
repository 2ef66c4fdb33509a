//! Takes in clients' connections, up to the cap; past it they wait unaccepted.

use crate::client::{self, Door};
use may::net::TcpListener;
use may::sync::Semphore;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// After a failed accept, for example with no descriptor left.
const PAUSE: Duration = Duration::from_millis(10);

/// How often connections are looked through for such as have outlived their use.
const LOOK: Duration = Duration::from_secs(1);

pub fn look(door: &Door) {
    loop {
        may::coroutine::sleep(LOOK);
        door.look();
    }
}

pub fn run(listener: &TcpListener, door: &Arc<Door>, seats: &Arc<Semphore>) {
    loop {
        if !seats.try_wait() {
            warn!("all seats for clients are taken; idle ones are closed sooner");
            door.crowded.store(true, Ordering::Relaxed);
            seats.wait();
            door.crowded.store(false, Ordering::Relaxed);
        }
        match listener.accept() {
            Ok((stream, _)) => {
                let (door, seats) = (door.clone(), seats.clone());
                may::go!(move || {
                    client::run(stream, &door);
                    seats.post();
                });
            }
            Err(what) => {
                warn!(%what, "accept failed");
                seats.post();
                may::coroutine::sleep(PAUSE);
            }
        }
    }
}
