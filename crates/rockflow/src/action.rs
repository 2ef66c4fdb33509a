//! Actions: the output of the decisions, which the caller carries out.

use crate::ids::{AttemptNumber, HostId, RequestId, TimerId};
use std::time::Duration;

/// The eviction priority of a copy: copies of the lowest priority are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CachePriority {
    /// The copy is not stored.
    NoStore,
    /// Evicted first.
    Low,
    /// Evicted after all copies of low priority.
    Medium,
    /// Evicted after all other copies.
    High,
}

/// A request to one host, made in order to answer a client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The host that the attempt is sent to.
    pub host: HostId,
    /// The host that a miss is filled from. None: the host answers only from its own cache.
    pub source: Option<HostId>,
    /// Time from this action until the attempt is abandoned. None: it lasts until the client gives up.
    pub timeout: Option<Duration>,
    /// The latest time to send the attempt; after it the attempt must not be sent. None: any time before its timeout.
    pub send_by: Option<Duration>,
    /// The eviction priority of the copy that the host stores.
    pub cache_priority: CachePriority,
    /// The maximum age of an acceptable copy. None: the freshness lifetime of the class, or any age without one.
    pub max_age: Option<Duration>,
    /// Whether the host may coalesce a fill with one already in progress.
    pub coalesce: bool,
    /// Whether the source answers only from its own cache and fetches nothing.
    pub cached_at_source_only: bool,
    /// Whether the parent must not store a copy.
    pub no_store_at_parent: bool,
    /// Whether the host revalidates a stale copy in the background.
    pub revalidate: bool,
}

/// Something that the caller of the decisions must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    SendAttempt {
        /// The request to be answered.
        request: RequestId,
        /// The attempt. Attempts of a request are numbered from 0 in the order of these actions.
        attempt: Attempt,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the attempt within the request.
        attempt: AttemptNumber,
    },
    /// Shed the request: answer that it had no effect and may be sent again.
    Reject {
        /// The request that is rejected.
        request: RequestId,
        /// The `Retry-After` of the answer. None: the answer carries none.
        retry_after: Option<Duration>,
    },
    /// Answer that the request failed and may have had its effect.
    Fail {
        /// The request that failed.
        request: RequestId,
    },
    /// Start a timer.
    SetTimer {
        /// The identifier that [`Event::TimerFired`](crate::Event::TimerFired) reports when the timer fires.
        timer: TimerId,
        /// Time from now until the timer fires.
        delay: Duration,
    },
    /// Check the health of a host.
    CheckHealth {
        /// The host to check.
        host: HostId,
    },
    /// Close the idle connections to a host.
    CloseIdleConnections {
        /// The host at the other end of the connections.
        host: HostId,
    },
    /// Send a message to another dispatcher.
    SendMessage {
        /// The index of the receiving dispatcher, as in its `dispatcher_index`.
        to: u16,
        /// The message body, opaque to the caller.
        payload: Vec<u8>,
    },
    /// Subscribe to discovery's endpoint list and its changes, or unsubscribe.
    Subscribe {
        /// True to subscribe, false to unsubscribe.
        on: bool,
    },
    /// Request the full endpoint list from discovery.
    RequestEndpointList,
    /// Write a log line.
    Log(String),
}
