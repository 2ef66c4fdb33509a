//! What the decisions want done.

use crate::ids::{AttemptNumber, HostId, RequestId, TimerId};
use std::time::Duration;

/// How long a cache keeps a copy in favour of others; the lowest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CachePriority {
    /// The copy is not stored.
    NoStore,
    /// Evicted first.
    Low,
    /// Evicted after the low ones.
    Medium,
    /// Evicted last.
    High,
}

/// One try to answer a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The host that it is sent to.
    pub host: HostId,
    /// Where the host fills a miss from. None: it answers from what it holds.
    pub source: Option<HostId>,
    /// How long it may take. None: until the client gives up.
    pub timeout: Option<Duration>,
    /// When it must have been sent, or not at all. None: any time before its timeout.
    pub send_by: Option<Duration>,
    /// The priority of a copy that the host stores.
    pub cache_priority: CachePriority,
    /// The maximum age of an acceptable copy. None: the freshness lifetime of the class, or any age without one.
    pub max_age: Option<Duration>,
    /// Whether a fill may be coalesced with one in progress.
    pub coalesce: bool,
    /// Whether the source answers only from what it holds.
    pub cached_at_source_only: bool,
    /// Whether the parent keeps no copy.
    pub no_store_at_parent: bool,
    /// Whether a stale copy is refreshed in the background.
    pub revalidate: bool,
}

/// Something that the caller of the decisions must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    SendAttempt {
        /// The request that it is for.
        request: RequestId,
        /// The attempt; its number is the count of attempts sent for the request before it.
        attempt: Attempt,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// Shed the request: answer that it had no effect and may be sent again.
    Reject {
        /// The request.
        request: RequestId,
        /// The `Retry-After` of the answer.
        retry_after: Option<Duration>,
    },
    /// Answer that the request failed and may have had its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Start a timer.
    SetTimer {
        /// The timer.
        timer: TimerId,
        /// When it fires, from now.
        delay: Duration,
    },
    /// Check the health of a host.
    CheckHealth {
        /// The host.
        host: HostId,
    },
    /// Close the idle connections to a host.
    CloseIdleConnections {
        /// The host.
        host: HostId,
    },
    /// Send a message to another dispatcher.
    SendMessage {
        /// The index of the receiver.
        to: u16,
        /// The content.
        payload: Vec<u8>,
    },
    /// Start or stop following discovery's changes.
    Subscribe {
        /// Whether changes are followed from now on.
        on: bool,
    },
    /// Ask discovery for the endpoint list.
    RequestEndpointList,
    /// Write a log line.
    Log(String),
}
