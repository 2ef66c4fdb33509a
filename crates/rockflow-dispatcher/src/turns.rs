//! Turns of the actors that always have more to do. The runtime's worker looks at the sockets only once no coroutine is
//! left to run, so an actor that goes on without waiting, because its peer always sends more, would keep all others from
//! noticing what arrived for them.

use may::coroutine::{self, Coroutine};
use may::io::{CoIo, WaitIo};
use nix::sys::eventfd::{EfdFlags, EventFd};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tracing::error;

/// Number of rounds after which an actor that makes progress ends its turn.
pub const ROUNDS_PER_TURN: u32 = 16;

/// The actors that wait for their next turn.
struct Waiting {
    actors: Vec<Coroutine>,
    /// The number of the turn that these actors wait for.
    turn: u64,
    /// The coroutine that begins the turns; `None` until the first actor waits.
    gate: Option<Coroutine>,
}

static WAITING: Mutex<Waiting> = Mutex::new(Waiting { actors: Vec::new(), turn: 1, gate: None });

/// Locks the waiting actors. The caller must not yield its coroutine while it holds the lock.
fn lock() -> MutexGuard<'static, Waiting> {
    WAITING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts the rounds of an actor on a socket that makes progress in each.
#[derive(Default)]
pub struct Turn {
    rounds: u32,
}

impl Turn {
    /// Ends a round that made progress. After [`ROUNDS_PER_TURN`] of them, waits until the worker has looked at the
    /// sockets. The running coroutine must not depend on being unparked meanwhile.
    pub fn end_round(&mut self) {
        self.rounds += 1;
        if self.rounds == ROUNDS_PER_TURN {
            self.rounds = 0;
            await_next();
        }
    }

    /// Begins a new turn: the actor has waited for its socket.
    pub fn restart(&mut self) {
        self.rounds = 0;
    }
}

/// Waits until the worker has looked at the sockets.
fn await_next() {
    let turn = {
        let mut waiting = lock();
        waiting.actors.push(coroutine::current());
        let gate = waiting.gate.get_or_insert_with(|| may::go!(run_gate).coroutine().clone());
        gate.unpark();
        waiting.turn
    };
    while lock().turn == turn {
        coroutine::park();
    }
}

/// Body of the gate: begins a turn whenever actors wait for one. Its own event is delivered only when the worker looks at
/// the sockets, with the events of all others. Never returns.
fn run_gate() {
    let event = EventFd::from_flags(EfdFlags::EFD_NONBLOCK | EfdFlags::EFD_CLOEXEC).map(CoIo::new);
    let event = match event {
        Ok(Ok(event)) => Some(event),
        _ => {
            error!("no event descriptor: a busy connection may hold up others");
            None
        }
    };
    loop {
        if lock().actors.is_empty() {
            coroutine::park();
            continue;
        }
        match &event {
            Some(event) => await_event(event),
            None => coroutine::yield_now(),
        }
        let actors = {
            let mut waiting = lock();
            waiting.turn += 1;
            std::mem::take(&mut waiting.actors)
        };
        for actor in actors {
            actor.unpark();
        }
    }
}

/// Raises the event and waits until the worker has seen it.
fn await_event(event: &CoIo<EventFd>) {
    let counter = event.inner();
    if counter.write(1).is_ok() {
        event.wait_io();
    }
    let _ = counter.read();
}
