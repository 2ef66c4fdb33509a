//! An actor's mailbox, and how the actor is woken: from a park, or from its wait on a socket.

use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

pub enum Wake {
    Park(Coroutine),
    Io(WaitIoWaker),
}

struct Queues<T> {
    /// What goes ahead of the rest, in its own order.
    urgent: VecDeque<T>,
    rest: VecDeque<T>,
    wake: Option<Wake>,
    /// The actor has ended: whatever comes is read by nobody.
    closed: bool,
}

pub struct Mailbox<T>(Mutex<Queues<T>>);

impl<T> Mailbox<T> {
    pub fn new() -> Arc<Self> {
        Arc::new(Mailbox(Mutex::new(Queues {
            urgent: VecDeque::new(),
            rest: VecDeque::new(),
            wake: None,
            closed: false,
        })))
    }

    /// No coroutine gives way while it holds this lock, so it is never waited for long.
    fn letters(&self) -> MutexGuard<'_, Queues<T>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn send(&self, letter: T) {
        self.put(letter, false);
    }

    pub fn send_urgent(&self, letter: T) {
        self.put(letter, true);
    }

    fn put(&self, letter: T, urgent: bool) {
        let mut letters = self.letters();
        if letters.closed {
            return;
        }
        if urgent {
            letters.urgent.push_back(letter);
        } else {
            letters.rest.push_back(letter);
        }
        match &letters.wake {
            Some(Wake::Park(actor)) => actor.unpark(),
            Some(Wake::Io(waker)) => waker.wakeup(),
            None => {}
        }
    }

    pub fn take(&self) -> Option<T> {
        let mut letters = self.letters();
        letters.urgent.pop_front().or_else(|| letters.rest.pop_front())
    }

    pub fn len(&self) -> usize {
        let letters = self.letters();
        letters.urgent.len() + letters.rest.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The actor has ended: what lies here is dropped, and so is what still comes.
    pub fn close(&self) {
        let mut letters = self.letters();
        letters.closed = true;
        letters.urgent.clear();
        letters.rest.clear();
        letters.wake = None;
    }

    pub fn is_closed(&self) -> bool {
        self.letters().closed
    }

    /// From now on the actor is woken this way.
    pub fn wake_by(&self, wake: Wake) {
        self.letters().wake = Some(wake);
    }
}
