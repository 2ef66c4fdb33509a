//! The simulator's wire: frames of records, big-endian and without padding. Here alone its codes meet the decisions' types.
//!
//! [`decode`] reads records, [`encode`] writes them, [`reader`] reads fields.

pub mod decode;
pub mod encode;
pub mod reader;

/// The codes of the records that the simulator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum EventCode {
    /// An instance's endpoint list or changes of it.
    EndpointsListed = 256,
    /// Names the instance that the following records are for.
    InstanceNamed = 257,
    /// A client sent a request.
    RequestArrived = 258,
    /// A client went away.
    ClientDisconnected = 259,
    /// The entries of a numbered endpoint list, for all instances.
    EndpointList = 260,
    /// A timer fired.
    TimerFired = 261,
    /// A health check ended.
    HealthChecked = 262,
    /// An attempt ended.
    AttemptEnded = 263,
    /// The named instance starts, with its seed and settings.
    InstanceCreated = 264,
    /// A response has begun to stream.
    ResponseStarted = 265,
    /// The named instance ends.
    InstanceRetired = 266,
    /// Copies were declared invalid.
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

    /// The event of a code.
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
    /// Send an attempt that only asks for what is cached.
    SendCachedOnlyAttempt = 320,
    /// Shed a request.
    Reject = 321,
    /// Answer that a request failed.
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
    /// The settings of the instance were not read.
    SettingsRejected = 329,
    /// Start or stop following discovery's changes.
    Subscribe = 330,
    /// Ask discovery for the endpoint list.
    RequestEndpointList = 331,
    /// Send an attempt.
    SendAttempt = 332,
    /// Names the instance that the following records are of.
    InstanceNamed = 333,
}

impl ActionCode {
    /// The code on the wire.
    pub fn code(self) -> u16 {
        self as u16
    }
}
