//! What the decisions are informed of.

use crate::endpoints::{EndpointEntry, ListScope};
use crate::ids::{AttemptNumber, ClassId, GroupId, HostId, ObjectId, RequestId, TimerId};
use std::time::Duration;

/// A client's request for a part of an object.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The requested object.
    pub object: ObjectId,
    /// The part of the object.
    pub part: u32,
    /// The group of the object.
    pub group: GroupId,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// Size of the part in kB. Zero: unknown.
    pub size_kb: f64,
    /// Attempts that a lost dispatcher may have made for the same request; usually none.
    pub previous_attempts: Vec<PreviousAttempt>,
}

/// An attempt that may have executed under a previous owner of its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreviousAttempt {
    /// The host that it was sent to.
    pub host: HostId,
    /// The earliest time at which it can have been sent.
    pub sent: Duration,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The host answered with the response.
    Succeeded,
    /// The host answered with an error.
    HostError,
    /// The host shed the load.
    Rejected,
    /// The timeout passed.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection was lost, and no other shows that the host lives.
    ConnectionLost,
    /// The response was unusable or incomplete, from a host that lives; the attempt may have executed.
    MalformedResponse,
    /// The dispatcher cancelled it.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The host has no acceptable copy and filled none.
    Miss,
}

/// What a response reports of the copy or of the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Nothing is reported.
    Unknown,
    /// The host held an acceptable copy.
    Hit,
    /// It was filled from its source.
    Filled,
    /// It was filled from its source, which was filled from the origin.
    FilledByOrigin,
    /// It waited for a fill that was already in progress.
    Coalesced,
    /// The copy is past its freshness lifetime.
    Stale,
    /// The source shed the load.
    SourceRejected,
    /// The source could not be reached.
    SourceUnreachable,
    /// The source has no acceptable copy.
    SourceMiss,
    /// The host has no capacity for another fill.
    NoFillCapacity,
    /// The origin behind the source failed.
    OriginFailed,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request of the attempt.
    pub request: RequestId,
    /// Which of its attempts ended.
    pub attempt: AttemptNumber,
    /// The host that it was sent to.
    pub host: HostId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from the action to its end.
    pub duration: Duration,
    /// Whether the request has its final answer, by this outcome or before it.
    pub request_finished: bool,
    /// What the response reports of the copy or the fill.
    pub cache_status: CacheStatus,
    /// Time to the source's first byte or to its failure. Zero: unknown.
    pub fill_wait: Duration,
    /// Whether a byte of it was sent. False: it surely never executed, whatever the outcome.
    pub first_byte_sent: bool,
}

/// Something that happened outside the decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery sent the endpoint list or changes of it.
    EndpointsListed {
        /// Which hosts the entries cover.
        scope: ListScope,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request.
    RequestArrived(Request),
    /// The response of an attempt has begun to stream to the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// Which of its attempts is answered.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client closed its connection or cancelled the request.
    ClientDisconnected(RequestId),
    /// The program shuts down: every open request needs its final answer by then.
    ShutdownStarted {
        /// When the last answer is due.
        deadline: Duration,
    },
    /// A timer fired.
    TimerFired(TimerId),
    /// A health check ended.
    HealthChecked {
        /// The host that was checked.
        host: HostId,
        /// How the check ended.
        outcome: Outcome,
        /// How long it took.
        duration: Duration,
        /// The values of the host's load report, in the configured order.
        load_report: Vec<f32>,
    },
    /// Copies were declared invalid. Without an object: the whole group. The group of an object may be unknown.
    Purged {
        /// The object whose copies are invalid.
        object: Option<ObjectId>,
        /// Its group, or the group whose copies are invalid.
        group: Option<GroupId>,
        /// How long ago the purge was issued.
        age: Duration,
    },
    /// Another dispatcher sent a message.
    MessageReceived {
        /// The index of the sender.
        from: u16,
        /// The content.
        payload: Vec<u8>,
    },
}
