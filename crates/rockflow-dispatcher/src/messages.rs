//! The words that the dispatcher's actors exchange. Every actor uses them, and they use none of the actors.

use crate::clock::Clock;
use crate::mailbox::Mailbox;
use crate::pass::Pass;
use crate::waiting::Slot;
use rockflow::{
    AttemptNumber, EndpointEntry, GroupId, HostStatus, ListScope, ObjectId, Outcome, Readiness, RequestId,
};
use rockflow_endpoints::{Listed, Marks, Member, Refused};
use rockflow_protocol::board::{Flush, Notice};
use rockflow_protocol::front::{Answer, Ask};
use rockflow_protocol::hostline;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An attempt as the module knows it.
pub type AttemptKey = (RequestId, AttemptNumber);

/// Where a dispatcher is between its start and its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Actors are started; requests can't be decided yet.
    Starting,
    Serving,
    /// A stop was asked for; what still comes is taken.
    Leaving,
    /// Nothing more comes; what was taken is answered.
    Finishing,
    Over,
}

/// Names on the sockets as ids of the decisions; the same at every dispatcher.
pub fn id_of(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// When a purge was made: by the board's Unix milliseconds, or on this dispatcher's own clock, so that no other is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Made {
    Unix(u64),
    Here(Duration),
}

impl Made {
    pub fn ago(self, clock: Clock) -> Duration {
        match self {
            Made::Unix(ms) => clock.ago(ms),
            Made::Here(at) => clock.now().saturating_sub(at),
        }
    }
}

/// What is purged, by ids; neither an object nor a group: everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    pub object: Option<ObjectId>,
    pub group: Option<GroupId>,
    pub made: Made,
}

impl Purge {
    pub fn everything(made: Made) -> Purge {
        Purge { object: None, group: None, made }
    }

    /// Whether what was decided of such an object knew too little.
    pub fn concerns(&self, object: ObjectId, group: GroupId) -> bool {
        match (self.object, self.group) {
            (Some(purged), _) => purged == object,
            (None, Some(purged)) => purged == group,
            (None, None) => true,
        }
    }
}

impl From<Flush> for Purge {
    fn from(flush: Flush) -> Purge {
        Purge {
            object: flush.asset.as_deref().map(|asset| ObjectId(id_of(asset))),
            group: flush.collection.map(GroupId),
            made: Made::Unix(flush.ms),
        }
    }
}

/// A host as the list has it, with what only the sockets need.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub listing: EndpointEntry,
}

impl Entry {
    /// What is judged of it.
    pub fn listed(&self) -> Listed {
        let EndpointEntry { role, location, readiness, .. } = &self.listing;
        Listed { role: *role, location: location.0, told: *readiness }
    }
}

impl Member for Entry {
    fn name(&self) -> &str {
        &self.name
    }

    fn told(&self) -> Readiness {
        self.listing.readiness
    }

    fn with(&self, readiness: Readiness) -> Self {
        let listing = EndpointEntry { readiness, ..self.listing.clone() };
        Entry { listing, ..self.clone() }
    }
}

/// Called once, in the actor that has done what was asked; it must not wait.
pub type Done<T> = Box<dyn FnOnce(T) + Send>;

/// To a client's connection.
pub enum ClientWord {
    Answer(RequestId, Answer),
    /// Look whether the connection has outlived its use.
    Look,
    /// Another needs the seat: leave it, unless a request has come by now.
    GiveWay,
}

/// What a line is asked to carry out to its host.
#[derive(Clone)]
pub struct Wanted {
    pub key: AttemptKey,
    pub id: String,
    pub line: Vec<u8>,
    /// It names the client's copy, so that the answer may be that this one holds.
    pub seen: bool,
    pub pass: Arc<Pass>,
}

/// To a host's actor.
#[derive(Clone)]
pub enum Order {
    Want(Wanted),
    /// `unheard`: its time was up, so that a line which has brought nothing since may be dead.
    NeverMind {
        key: AttemptKey,
        unheard: bool,
    },
    Probe {
        tag: u64,
        load: bool,
    },
    /// A want that was kept back may go out now.
    Release(AttemptKey),
    CloseIdle,
    /// The host is gone: what is out may end, nothing new comes.
    Retire,
    /// A line ended, with what was given to it.
    LineOver {
        fallen: Vec<Fallen>,
        /// What was given to it and may go on another.
        again: Vec<Wanted>,
        /// It never came up.
        failed: bool,
    },
}

/// Attempts that ended with their line: what that means if the host is gone, and if it lives.
#[derive(Clone, Debug)]
pub struct Fallen {
    pub attempts: Vec<AttemptKey>,
    /// Only what another connection brought since then shows that the host lives; none: one that stands does.
    pub unless_heard: Option<Duration>,
    pub if_gone: Outcome,
    pub if_it_lives: Outcome,
}

/// To a connection to a host.
pub enum LineWord {
    Want(Wanted),
    NeverMind {
        key: AttemptKey,
        unheard: bool,
    },
    Probe {
        tag: u64,
        load: bool,
    },
    CloseIdle,
    Retire,
    /// Look whether an answer that has begun goes on.
    Look,
}

/// To the module.
pub enum Word {
    Asked {
        request: RequestId,
        ask: Box<Ask>,
        client: Arc<Mailbox<ClientWord>>,
        arrived: Duration,
    },
    Left(RequestId),
    /// The program ends; whatever is unanswered by then would be lost.
    Leaving {
        until: Duration,
    },
    Answered {
        key: AttemptKey,
        answer: hostline::Answer,
    },
    /// An attempt ended with no answer.
    Fell {
        key: AttemptKey,
        outcome: Outcome,
    },
    Probed {
        tag: u64,
        answer: hostline::Answer,
    },
    ProbeFell {
        tag: u64,
        outcome: Outcome,
    },
    Listed {
        scope: ListScope,
        entries: Vec<Entry>,
        /// Whoever waits till the decisions have heard of it.
        done: Option<Done<()>>,
    },
    Purged {
        purges: Vec<Purge>,
        /// Whoever waits till the decisions have heard of them.
        done: Option<Done<()>>,
    },
    /// Purges of which more waited than may: one of everything stands for them.
    PurgedAll(Arc<Slot<Duration, ()>>),
    /// Tell what is known of the hosts and counted of the requests, beside what the list already told.
    Survey {
        survey: Box<Survey>,
        reply: Done<Box<Survey>>,
    },
}

/// To the list.
pub enum ListWord {
    Notice(Notice),
    /// These marks hold from now on, in place of those before; the reply comes once the decisions go by them.
    Marks {
        marks: Marks,
        done: Done<()>,
    },
    /// These marks of the fleet are wanted from now on, in place of those before; the reply comes once the decisions go
    /// by them, with those that are kept apart.
    Configure(Arc<Slot<Marks, BTreeMap<String, Refused>>>),
    Survey(Done<Box<Survey>>),
}

/// To the board's actor.
pub enum BoardWord {
    /// The board is at another address from now on; its numbers go on.
    MoveTo(SocketAddr),
    /// Look whether the board has fallen silent.
    Look,
}

/// How requests of one class have ended since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    pub succeeded: u64,
    pub dismissed: u64,
    pub terminated: u64,
    pub left: u64,
}

/// A picture of the dispatcher, for whoever looks on.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    /// The board's list, as told, before any mark.
    pub told: Vec<Entry>,
    /// The marks that the list goes by.
    pub marks: Marks,
    /// And the fleet's.
    pub fleet: Marks,
    pub views: Vec<HostStatus>,
    /// By place of the class.
    pub ended: Vec<Ended>,
    /// Requests open, words waiting at the module.
    pub open: usize,
    pub words: usize,
    /// Requests that the decisions left unanswered till their time was up; none, unless something is wrong.
    pub overdue: u64,
}
