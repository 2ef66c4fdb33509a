//! The mailbox of an actor. A message wakes the actor if it is parked or waits on a socket.

use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How a message wakes the actor that owns a mailbox.
pub enum Wake {
    /// Unpark the coroutine of the actor.
    Park(Coroutine),
    /// End the actor's wait on its socket.
    Io(WaitIoWaker),
}

struct Queues<T> {
    /// Messages that are taken before the normal ones, in the order in which they were sent.
    urgent: VecDeque<T>,
    normal: VecDeque<T>,
    /// `None` until the actor has started, and after it has ended.
    wake: Option<Wake>,
    /// The actor has ended; further messages are dropped.
    closed: bool,
}

#[derive(Clone, Copy)]
enum Priority {
    Normal,
    Urgent,
}

/// Holds the messages that an actor has not handled yet. The queues are unbounded: each sender limits its own messages.
pub struct Mailbox<T> {
    queues: Mutex<Queues<T>>,
}

impl<T> Mailbox<T> {
    /// Creates an empty mailbox whose messages wake no actor until [`Mailbox::wake_by`] is called.
    pub fn new() -> Arc<Self> {
        let queues = Queues { urgent: VecDeque::new(), normal: VecDeque::new(), wake: None, closed: false };
        Arc::new(Mailbox { queues: Mutex::new(queues) })
    }

    /// Appends a message and wakes the actor.
    pub fn send(&self, message: T) {
        self.push(message, Priority::Normal);
    }

    /// Like [`Mailbox::send`], but the message is taken before all normal ones.
    pub fn send_urgent(&self, message: T) {
        self.push(message, Priority::Urgent);
    }

    /// Removes the next message and returns it, or `None` if the mailbox is empty. Doesn't wait.
    pub fn take(&self) -> Option<T> {
        let mut queues = self.lock();
        queues.urgent.pop_front().or_else(|| queues.normal.pop_front())
    }

    /// Number of messages in the mailbox.
    pub fn len(&self) -> usize {
        let queues = self.lock();
        queues.urgent.len() + queues.normal.len()
    }

    /// Whether the mailbox contains no message.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Called when the actor ends: drops all messages, including those sent later.
    pub fn close(&self) {
        let mut queues = self.lock();
        queues.closed = true;
        queues.urgent.clear();
        queues.normal.clear();
        queues.wake = None;
    }

    /// Whether the mailbox was closed because its actor has ended.
    pub fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Sets how further messages wake the actor.
    pub fn wake_by(&self, wake: Wake) {
        self.lock().wake = Some(wake);
    }

    fn push(&self, message: T, priority: Priority) {
        let mut queues = self.lock();
        if queues.closed {
            return;
        }
        match priority {
            Priority::Urgent => queues.urgent.push_back(message),
            Priority::Normal => queues.normal.push_back(message),
        }
        match &queues.wake {
            Some(Wake::Park(actor)) => actor.unpark(),
            Some(Wake::Io(waker)) => waker.wakeup(),
            None => {}
        }
    }

    /// Locks the queues. The caller must not yield its coroutine while it holds the lock, so the wait for it is short.
    fn lock(&self) -> MutexGuard<'_, Queues<T>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
