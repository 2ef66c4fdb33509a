//! Events: the input of the decisions.

use crate::endpoints::{EndpointEntry, ListScope};
use crate::ids::{AttemptNumber, ClassId, GroupId, HostId, ObjectId, RequestId, TimerId};
use std::time::Duration;

/// A client's request for a part of an object.
#[derive(Clone, Debug)]
pub struct Request {
    /// The identifier that later events and actions of this request carry.
    pub id: RequestId,
    /// The request class, which sets effect, latency objective and freshness lifetime.
    pub class: ClassId,
    /// The requested object.
    pub object: ObjectId,
    /// The index of the requested part of the object.
    pub part: u32,
    /// The group of the object, for purges of whole groups.
    pub group: GroupId,
    /// Time from the arrival until the client gives up.
    pub time_left: Duration,
    /// Size of the part in kB. Zero: unknown.
    pub size_kb: f64,
    /// Attempts that another dispatcher may have sent before it failed and its request was taken over; usually empty.
    pub previous_attempts: Vec<PreviousAttempt>,
}

/// An attempt that may have executed while another dispatcher owned the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreviousAttempt {
    /// The host that the attempt was sent to.
    pub host: HostId,
    /// The earliest time at which the attempt can have been sent.
    pub sent: Duration,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The host answered with the response.
    Succeeded,
    /// The host answered with an error.
    HostError,
    /// The host shed the attempt because of its load.
    Rejected,
    /// The timeout of the attempt expired.
    TimedOut,
    /// No connection to the host could be opened.
    ConnectFailed,
    /// The connection was lost, and no other connection shows that the host is up.
    ConnectionLost,
    /// The host is up, but its response was unusable or incomplete; the attempt may have executed.
    MalformedResponse,
    /// The dispatcher cancelled the attempt.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The host has no acceptable copy and did not fill one.
    Miss,
}

/// What a response reports about the served copy or about the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// The response reports nothing.
    Unknown,
    /// The host had an acceptable copy in its cache.
    Hit,
    /// The host filled the copy from its source.
    Filled,
    /// The host filled the copy from its source, which in turn filled it from the origin.
    FilledByOrigin,
    /// The host waited for a fill that was already in progress.
    Coalesced,
    /// The served copy is past its freshness lifetime.
    Stale,
    /// The source shed the fill because of its load.
    SourceRejected,
    /// The source could not be reached.
    SourceUnreachable,
    /// The source has no acceptable copy.
    SourceMiss,
    /// The host has no capacity for another fill.
    NoFillCapacity,
    /// The origin that the source fetches from failed.
    OriginFailed,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request of the attempt.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNumber,
    /// The host that the attempt was sent to.
    pub host: HostId,
    /// Whether the attempt succeeded, or why it failed.
    pub outcome: Outcome,
    /// Time from the [`SendAttempt`](crate::Action::SendAttempt) action to the end of the attempt.
    pub duration: Duration,
    /// Whether the client has the final answer to the request, from this attempt or from an earlier one.
    pub request_finished: bool,
    /// What the response reports about the copy or the fill.
    pub cache_status: CacheStatus,
    /// Time until the first byte or the failure of the source. Zero: unknown.
    pub fill_wait: Duration,
    /// Whether any byte of the attempt was sent. False: it certainly did not execute, whatever the outcome.
    pub first_byte_sent: bool,
}

/// Something that happened outside the decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery sent the endpoint list or changes to it, or failed to answer.
    EndpointsListed {
        /// Which hosts the entries cover.
        scope: ListScope,
        /// The covered hosts. Ignored if discovery did not answer.
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request.
    RequestArrived(Request),
    /// The response of an attempt has begun to stream to the client.
    ResponseStarted {
        /// The request that is being answered.
        request: RequestId,
        /// The number of the attempt whose response is streamed.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client closed its connection or cancelled the request.
    ClientDisconnected(RequestId),
    /// A graceful shutdown began: every open request needs its final answer by the deadline.
    ShutdownStarted {
        /// The latest time for the final answer of any open request.
        deadline: Duration,
    },
    /// A timer fired.
    TimerFired(TimerId),
    /// A health check ended.
    HealthChecked {
        /// The host that was checked.
        host: HostId,
        /// Whether the check succeeded, or why it failed.
        outcome: Outcome,
        /// Time from the [`CheckHealth`](crate::Action::CheckHealth) action to the end of the check.
        duration: Duration,
        /// The values of the host's load report, in the configured order.
        load_report: Vec<f32>,
    },
    /// All copies of an object, or of the objects of a group, that are older than the purge are invalid.
    Purged {
        /// The purged object. None: the whole group is purged.
        object: Option<ObjectId>,
        /// The group of the purged object, or the purged group. None: unknown; without an object, everything is purged.
        group: Option<GroupId>,
        /// Time since the purge was issued.
        age: Duration,
    },
    /// Another dispatcher sent a message.
    MessageReceived {
        /// The index of the sending dispatcher, as in its `dispatcher_index`.
        from: u16,
        /// The message body as the sender passed it in.
        payload: Vec<u8>,
    },
}
