//! Takes in clients' connections, up to the cap; past it they wait unaccepted till a query has its answer.

use crate::client::{self, Door};
use crate::mailbox::Mailbox;
use crate::messages::BoardWord;
use crate::pool::ConnectionPool;
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

pub fn look(door: &Door, pool: &ConnectionPool, board: &Mailbox<BoardWord>) {
    loop {
        timer::sleep(LOOK);
        door.look();
        pool.look();
        board.send(BoardWord::Look);
    }
}

pub fn run(listener: &TcpListener, door: &Arc<Door>, seats: &Arc<Semphore>) {
    loop {
        if !seats.try_wait() {
            warn!("a query is open on every seat; connections end with their answers");
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
                timer::sleep(PAUSE);
            }
        }
    }
}
