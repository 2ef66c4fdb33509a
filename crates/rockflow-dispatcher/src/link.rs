//! The way in for whoever manages a running dispatcher, from a thread of its own. Each call leaves a word in a
//! mailbox and returns; the reply comes by a callback that must not wait.

use crate::board::Seen;
use crate::caps::Caps;
use crate::client::Door;
use crate::clock::Clock;
use crate::mailbox::Mailbox;
use crate::messages::{ListWord, Made, Phase, Purge, Survey, Word};
use crate::pool::ConnectionPool;
use crate::waiting::{Slot, Waiting};
use rockflow::Class;
use rockflow_endpoints::{Marks, Refused};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Words from managers that may wait at the list; more are turned away.
const MAX_WAITING: usize = 256;

#[derive(Clone)]
pub struct Link {
    pub clock: Clock,
    pub name: String,
    pub caps: Caps,
    /// By place, with their names on the wire.
    pub classes: Vec<(String, Class)>,
    pub locations: Vec<String>,
    pub(crate) list: Arc<Mailbox<ListWord>>,
    pub(crate) door: Arc<Door>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) board: Arc<Seen>,
    pub(crate) phase: Arc<AtomicU8>,
    pub(crate) waiting: Arc<Waiting>,
    pub(crate) floor: Arc<Slot<Duration, ()>>,
    pub(crate) wanted: Arc<Slot<Marks, BTreeMap<String, Refused>>>,
}

impl Link {
    /// These marks hold in place of those before. `done` is called once the decisions go by them; false: too
    /// much waits, and it is not.
    pub fn mark(&self, marks: Marks, done: impl FnOnce() + Send + 'static) -> bool {
        if self.list.len() >= MAX_WAITING {
            return false;
        }
        self.list.send_urgent(ListWord::Marks { marks, done: Box::new(|()| done()) });
        true
    }

    /// The fleet wants these marks from now on, in place of those before. `done` is called once the decisions go by
    /// them, with those that are not in force; false: in place of the earliest `done` of too many that wait.
    pub fn configure(
        &self,
        wanted: Marks,
        done: impl FnOnce(BTreeMap<String, Refused>) + Send + 'static,
    ) -> bool {
        let (new, whole) = self.wanted.put(|_| wanted, Box::new(done));
        if new {
            self.list.send_urgent(ListWord::Configure(self.wanted.clone()));
        }
        whole
    }

    /// Has these purges heeded, or a stricter one of everything where too many wait. `done` is called once the decisions
    /// have heard of it; false: in place of the earliest `done` of too many that wait for that one.
    pub fn purge(&self, purges: Vec<Purge>, done: impl FnOnce() + Send + 'static) -> bool {
        if let Some(places) = self.waiting.places(purges.len()) {
            let done = Box::new(move |()| {
                drop(places);
                done();
            });
            self.door.module.send_urgent(Word::Purged { purges, done: Some(done) });
            return true;
        }
        let youngest = purges.iter().map(|purge| purge.made.ago(self.clock)).min().unwrap_or_default();
        let made = self.clock.now().saturating_sub(youngest);
        let join = |before: Option<Duration>| before.map_or(made, |before| before.max(made));
        let (new, whole) = self.floor.put(join, Box::new(move |()| done()));
        if new {
            self.door.module.send_urgent(Word::PurgedAll(self.floor.clone()));
        }
        whole
    }

    /// A purge that was made so long ago, on the clock of this dispatcher.
    pub fn made(&self, ago: Duration) -> Made {
        Made::Here(self.clock.now().saturating_sub(ago))
    }

    /// Asks for a picture; false: too much waits, and none comes.
    pub fn survey(&self, reply: impl FnOnce(Box<Survey>) + Send + 'static) -> bool {
        if self.list.len() >= MAX_WAITING {
            return false;
        }
        self.list.send(ListWord::Survey(Box::new(reply)));
        true
    }

    pub fn phase(&self) -> Phase {
        let phase = self.phase.load(Ordering::Relaxed);
        let all = [Phase::Starting, Phase::Serving, Phase::Leaving, Phase::Finishing, Phase::Over];
        all.into_iter().find(|known| *known as u8 == phase).unwrap_or(Phase::Over)
    }

    /// The board's address, the number of its last notice, and when it was last heard.
    pub fn board(&self) -> (SocketAddr, u64, Option<Duration>) {
        self.board.read()
    }

    /// What is held now, beside each cap: its name, the cap, the fill.
    pub fn fills(&self) -> Vec<(&'static str, usize, usize)> {
        let held = self.pool.held.load(Ordering::Relaxed);
        vec![
            ("clients", self.caps.clients, self.door.connections()),
            ("hosts", self.caps.hosts, self.pool.lines().len()),
            ("held", self.caps.held, held),
            ("module-words", self.caps.module_words, self.door.module.len()),
        ]
    }
}
