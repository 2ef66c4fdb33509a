//! The messages that members exchange. How they travel is the transport's matter; the order of fields and variants is
//! their wire format.

use crate::identity::{Ballot, Identity, Incarnation, MemberId, RequestId};
use crate::record::{Answer, Record, RequestDescriptor, RequestProgress};
use crate::votes::KnownIncarnations;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A step of a request under one ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Step {
    /// The request.
    pub request: RequestId,
    /// The ballot of its owner.
    pub ballot: Ballot,
    /// The number of the step under that ballot.
    pub step: u32,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A datagram of the membership protocol, in the form of its library.
    Swim(Vec<u8>),
    /// To a replica: record this, unless a later ballot is promised.
    Write {
        /// The step that is to be recorded.
        at: Step,
        /// What was asked for.
        descriptor: RequestDescriptor,
        /// How far the request has come.
        progress: RequestProgress,
        /// The time that the request has left, from when this was sent.
        left: Duration,
    },
    /// To a replica: promise this ballot, and reply with what is recorded.
    Prepare {
        /// The step that asks for the promise.
        at: Step,
        /// What was asked for, where it is known.
        descriptor: Option<RequestDescriptor>,
    },
    /// From a replica: recorded, or promised with what was recorded before.
    Vote {
        /// The step that is voted for.
        at: Step,
        /// The incarnations of the other replicas that the voter knows of.
        incarnations: KnownIncarnations,
        /// What was recorded, in reply to [`Message::Prepare`].
        held: Option<Record>,
    },
    /// From a replica: it does not vote.
    Reject {
        /// The step that is rejected.
        at: Step,
        /// Why.
        reason: RejectionReason,
    },
    /// To all: an incarnation that began with empty memory asks for the records that it may have held.
    RequestStateTransfer {
        /// Who asks.
        identity: Identity,
        /// How many times it has asked.
        number: u32,
    },
    /// Records in reply to [`Message::RequestStateTransfer`].
    StateTransfer(StateTransfer),
    /// To the owner of a request: send its final answer, somebody waits for it.
    AwaitAnswer {
        /// The request.
        request: RequestId,
        /// What was asked for.
        descriptor: RequestDescriptor,
    },
    /// The final answer of a request, to who waits for it.
    FinalAnswer {
        /// The request.
        request: RequestId,
        /// Its answer.
        answer: Answer,
    },
    /// To a replica: nobody will ask for this request any more.
    DropRecord {
        /// The request.
        request: RequestId,
        /// The ballot of its owner.
        ballot: Ballot,
    },
    /// To an incarnation that began with its clock set back: a later one of the same member is known.
    IncarnationSuperseded {
        /// The later incarnation.
        incarnation: Incarnation,
    },
    /// To the member that takes over a request at a graceful shutdown.
    HandOver {
        /// The request.
        request: RequestId,
        /// What was asked for.
        descriptor: RequestDescriptor,
        /// How far the request has come.
        progress: RequestProgress,
        /// The time that the request has left, from when this was sent.
        left: Duration,
    },
}

/// Why a replica does not vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectionReason {
    /// This ballot is promised.
    Promised(Ballot),
    /// The id is in use for another object.
    RequestMismatch,
    /// It restarted and has not recovered its records yet.
    Unsynchronized,
    /// It holds the maximum number of records.
    Full,
}

/// A part of the records that a restarted replica may have held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateTransfer {
    /// Who asked.
    pub identity: Identity,
    /// Which of its requests this replies to.
    pub number: u32,
    /// The index of this part.
    pub part: u16,
    /// The number of parts.
    pub parts: u16,
    /// The synchronized members from which the sender recovered its own records. None: it is synchronized itself.
    pub sources: Option<Vec<MemberId>>,
    /// The records.
    pub records: Vec<TransferredRecord>,
}

/// A record, as one replica sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransferredRecord {
    /// The request.
    pub request: RequestId,
    /// What is recorded of it.
    pub record: Record,
    /// The time that the request has left.
    pub left: Duration,
    /// The time until the record expires: a transfer does not renew it, else records would never expire.
    pub retained_for: Duration,
}
