//! The simulator's wire protocol: frames of records, big-endian and without padding. Only this module maps the codes of
//! the protocol to the types of the decision logic.
//!
//! [`decode`] reads records, [`encode`] writes them, [`reader`] reads fields.

pub mod decode;
pub mod encode;
pub mod reader;

/// The codes of the records that the simulator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum EventCode {
    /// The named instance gets an endpoint list or changes of its list.
    EndpointsListed = 256,
    /// Names the instance that the following records are for.
    InstanceNamed = 257,
    /// A client sent a request.
    RequestArrived = 258,
    /// The client of a request disconnected.
    ClientDisconnected = 259,
    /// Defines the entries of a numbered endpoint list, which events of all instances can refer to.
    EndpointList = 260,
    /// A timer fired.
    TimerFired = 261,
    /// A health check ended.
    HealthChecked = 262,
    /// An attempt ended.
    AttemptEnded = 263,
    /// The named instance is created with its seed and settings, and starts.
    InstanceCreated = 264,
    /// The first bytes of a response have arrived.
    ResponseStarted = 265,
    /// The named instance is removed.
    InstanceRetired = 266,
    /// An object or a group was purged.
    Purged = 267,
    /// Another instance sent a message.
    MessageReceived = 268,
}

impl EventCode {
    const ALL: [EventCode; 13] = [
        EventCode::EndpointsListed,
        EventCode::InstanceNamed,
        EventCode::RequestArrived,
        EventCode::ClientDisconnected,
        EventCode::EndpointList,
        EventCode::TimerFired,
        EventCode::HealthChecked,
        EventCode::AttemptEnded,
        EventCode::InstanceCreated,
        EventCode::ResponseStarted,
        EventCode::InstanceRetired,
        EventCode::Purged,
        EventCode::MessageReceived,
    ];

    /// The event with a code; `None` if the code is unknown.
    pub fn from_code(code: u16) -> Option<Self> {
        EventCode::ALL.into_iter().find(|event| event.code() == code)
    }

    /// The code on the wire.
    pub fn code(self) -> u16 {
        self as u16
    }
}

/// The codes of the records that the adapter sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum ActionCode {
    /// Send an attempt that the host responds to from its cache only.
    SendCachedOnlyAttempt = 320,
    /// Reject a request to shed load.
    Reject = 321,
    /// Respond that a request failed.
    Fail = 322,
    /// Cancel an attempt.
    CancelAttempt = 323,
    /// Start a timer.
    SetTimer = 324,
    /// Check the health of a host.
    CheckHealth = 325,
    /// Close the idle connections to a host.
    CloseIdleConnections = 326,
    /// Send a message to another instance.
    SendMessage = 327,
    /// Write a log line.
    Log = 328,
    /// The settings of the instance are invalid; the error text follows.
    SettingsRejected = 329,
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe = 330,
    /// Request the endpoint list from discovery.
    RequestEndpointList = 331,
    /// Send an attempt with a source or other fields that [`ActionCode::SendCachedOnlyAttempt`] doesn't have.
    SendAttempt = 332,
    /// Names the instance that the following records come from.
    InstanceNamed = 333,
}

impl ActionCode {
    /// The code on the wire.
    pub fn code(self) -> u16 {
        self as u16
    }
}
