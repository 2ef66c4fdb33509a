//! An actor's mailbox, and how the actor is woken: from a park, or from its wait on a socket.

use may::coroutine::Coroutine;
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How the owner of a mailbox is woken.
pub enum Wake {
    /// It is parked.
    Park(Coroutine),
    /// It waits on a socket.
    Io(WaitIoWaker),
}

struct Queues<T> {
    /// Taken before the others, in their own order.
    urgent: VecDeque<T>,
    normal: VecDeque<T>,
    wake: Option<Wake>,
    /// The actor has ended: messages are dropped.
    closed: bool,
}

#[derive(Clone, Copy)]
enum Priority {
    Normal,
    Urgent,
}

/// Messages to an actor. The queues have no bound of their own: each sender bounds what it sends.
pub struct Mailbox<T> {
    queues: Mutex<Queues<T>>,
}

impl<T> Mailbox<T> {
    /// An empty mailbox that wakes nobody yet.
    pub fn new() -> Arc<Self> {
        let queues = Queues { urgent: VecDeque::new(), normal: VecDeque::new(), wake: None, closed: false };
        Arc::new(Mailbox { queues: Mutex::new(queues) })
    }

    /// Sends a message.
    pub fn send(&self, message: T) {
        self.push(message, Priority::Normal);
    }

    /// Sends a message that is taken before all that are not urgent.
    pub fn send_urgent(&self, message: T) {
        self.push(message, Priority::Urgent);
    }

    /// Takes the next message.
    pub fn take(&self) -> Option<T> {
        let mut queues = self.lock();
        queues.urgent.pop_front().or_else(|| queues.normal.pop_front())
    }

    /// Number of messages that wait.
    pub fn len(&self) -> usize {
        let queues = self.lock();
        queues.urgent.len() + queues.normal.len()
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The actor has ended: drops all messages, and those that are still sent.
    pub fn close(&self) {
        let mut queues = self.lock();
        queues.closed = true;
        queues.urgent.clear();
        queues.normal.clear();
        queues.wake = None;
    }

    /// Whether the actor has ended.
    pub fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// From now on the actor is woken this way.
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

    /// No coroutine gives way while it holds this lock, so it is never waited for long.
    fn lock(&self) -> MutexGuard<'_, Queues<T>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
