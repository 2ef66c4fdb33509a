//! The words that the dispatcher's actors exchange. Every actor uses them, and they use none of the actors.

use crate::backpressure::CoalescingSlot;
use crate::endpoint::Endpoint;
use crate::mailbox::Mailbox;
use crate::purge::Purge;
use crate::send_permit::SendPermit;
use crate::status::StatusReport;
use rockflow::{AttemptNumber, ListScope, Outcome, RequestId};
use rockflow_endpoints::{AdminOverrides, RejectedOverride};
use rockflow_protocol::client::{ClientRequest, Response};
use rockflow_protocol::discovery::WatchEvent;
use rockflow_protocol::upstream;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An attempt as the module knows it.
pub type AttemptKey = (RequestId, AttemptNumber);

/// Called once, in the actor that has done what was asked; it must not wait.
pub type CompletionCallback<T> = Box<dyn FnOnce(T) + Send>;

/// To a client's connection.
pub enum ClientMessage {
    Answer(RequestId, Response),
    /// Look whether the connection has outlived its use.
    Inspect,
    /// Another needs the seat: leave it, unless a request has come by now.
    Yield,
}

/// What a line is asked to carry out to its host.
#[derive(Clone)]
pub struct OutgoingAttempt {
    pub key: AttemptKey,
    pub id: String,
    pub line: Vec<u8>,
    /// It names the client's copy, so that the answer may be that this one holds.
    pub seen: bool,
    pub pass: Arc<SendPermit>,
}

/// To a host's actor.
#[derive(Clone)]
pub enum HostMessage {
    Send(OutgoingAttempt),
    /// `unheard`: its time was up, so that a line which has brought nothing since may be dead.
    Cancel {
        key: AttemptKey,
        unheard: bool,
    },
    CheckHealth {
        tag: u64,
        load: bool,
    },
    /// A want that was kept back may go out now.
    Release(AttemptKey),
    CloseIdle,
    /// The host is gone: what is out may end, nothing new comes.
    Retire,
    /// A line ended, with what was given to it.
    ConnectionEnded {
        fallen: Vec<EndedAttempts>,
        /// What was given to it and may go on another.
        again: Vec<OutgoingAttempt>,
        /// It never came up.
        failed: bool,
    },
}

/// Attempts that ended with their line: what that means if the host is gone, and if it lives.
#[derive(Clone, Debug)]
pub struct EndedAttempts {
    pub attempts: Vec<AttemptKey>,
    /// Only what another connection brought since then shows that the host lives; none: one that stands does.
    pub unless_heard: Option<Duration>,
    pub if_gone: Outcome,
    pub if_it_lives: Outcome,
}

/// To a connection to a host.
pub enum UpstreamMessage {
    Send(OutgoingAttempt),
    Cancel {
        key: AttemptKey,
        unheard: bool,
    },
    CheckHealth {
        tag: u64,
        load: bool,
    },
    CloseIdle,
    Retire,
    /// Look whether an answer that has begun goes on.
    Inspect,
}

/// To the module.
pub enum DecisionMessage {
    RequestReceived {
        request: RequestId,
        ask: Box<ClientRequest>,
        client: Arc<Mailbox<ClientMessage>>,
        arrived: Duration,
    },
    ClientDisconnected(RequestId),
    /// The program ends; whatever is unanswered by then would be lost.
    ShutdownStarted {
        until: Duration,
    },
    ResponseReceived {
        key: AttemptKey,
        answer: upstream::HostResponse,
    },
    /// An attempt ended with no answer.
    AttemptFailed {
        key: AttemptKey,
        outcome: Outcome,
    },
    HealthCheckAnswered {
        tag: u64,
        answer: upstream::HostResponse,
    },
    HealthCheckFailed {
        tag: u64,
        outcome: Outcome,
    },
    EndpointsChanged {
        scope: ListScope,
        entries: Vec<Endpoint>,
        /// Whoever waits till the decisions have heard of it.
        done: Option<CompletionCallback<()>>,
    },
    PurgesReceived {
        purges: Vec<Purge>,
        /// Whoever waits till the decisions have heard of them.
        done: Option<CompletionCallback<()>>,
    },
    /// Purges of which more waited than may: one of everything stands for them.
    PurgeEverything(Arc<CoalescingSlot<Duration, ()>>),
    /// Tell what is known of the hosts and counted of the requests, beside what the list already told.
    ReportStatus {
        survey: Box<StatusReport>,
        reply: CompletionCallback<Box<StatusReport>>,
    },
}

/// To the list.
pub enum EndpointListMessage {
    Event(WatchEvent),
    /// These marks hold from now on, in place of those before; the reply comes once the decisions go by them.
    SetOperatorOverrides {
        marks: AdminOverrides,
        done: CompletionCallback<()>,
    },
    /// These marks of the fleet are wanted from now on, in place of those before; the reply comes once the decisions go
    /// by them, with those that are kept apart.
    SetControlOverrides(Arc<CoalescingSlot<AdminOverrides, BTreeMap<String, RejectedOverride>>>),
    ReportStatus(CompletionCallback<Box<StatusReport>>),
}

/// To the board's actor.
pub enum DiscoveryMessage {
    /// The board is at another address from now on; its numbers go on.
    SetAddress(SocketAddr),
    /// Look whether the board has fallen silent.
    Inspect,
}
