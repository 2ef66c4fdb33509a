//! The messages that members exchange. The transport encodes and sends them. The order of fields and variants is the
//! wire format and must not change.

use crate::identity::{Ballot, Identity, Incarnation, MemberId, RequestId};
use crate::record::{Answer, Record, RequestDescriptor, RequestProgress};
use crate::votes::KnownIncarnations;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies one step of a request: something that its owner asks the replicas to record or promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Step {
    /// The request that the step belongs to.
    pub request: RequestId,
    /// The ballot of the member that asks.
    pub ballot: Ballot,
    /// The sequence number of the step under that ballot, from 1; 0 for a report that needs no vote.
    pub step: u32,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A datagram of the membership protocol, as encoded by its library.
    Swim(Vec<u8>),
    /// From an owner to a replica: record this progress, unless a higher ballot is promised.
    Write {
        /// The step to be recorded.
        at: Step,
        /// What the client asks for.
        descriptor: RequestDescriptor,
        /// The attempts and the final answer to be recorded.
        progress: RequestProgress,
        /// The time until the deadline of the request, measured when the message was sent.
        left: Duration,
    },
    /// To a replica, from a member that takes over a request: promise its ballot, and reply with the record.
    Prepare {
        /// The step that asks for the promise.
        at: Step,
        /// What the client asks for, or `None` if the sender does not know.
        descriptor: Option<RequestDescriptor>,
    },
    /// From a replica: it has recorded the progress of a [`Message::Write`] or promised the ballot of a
    /// [`Message::Prepare`].
    Vote {
        /// The step that is voted for.
        at: Step,
        /// The incarnations of the other replicas that the voter knows of.
        incarnations: KnownIncarnations,
        /// The record of the request, in reply to [`Message::Prepare`] only.
        held: Option<Record>,
    },
    /// From a replica: it does not vote for a step.
    Reject {
        /// The step that is rejected.
        at: Step,
        /// Why the replica does not vote.
        reason: RejectionReason,
    },
    /// To all members: an incarnation that began with empty memory asks for the records that it may have held.
    RequestStateTransfer {
        /// The incarnation that asks.
        identity: Identity,
        /// The number of times that it has asked, this one included.
        number: u32,
    },
    /// Records in reply to [`Message::RequestStateTransfer`].
    StateTransfer(StateTransfer),
    /// To the owner of a request: the sender waits for the final answer.
    AwaitAnswer {
        /// The request whose answer is awaited.
        request: RequestId,
        /// What the client asks for.
        descriptor: RequestDescriptor,
    },
    /// The final answer of a request, to a member that waits for it.
    FinalAnswer {
        /// The request that is answered.
        request: RequestId,
        /// The final answer.
        answer: Answer,
    },
    /// To a replica: an idempotent request has ended, so its record is no longer needed.
    DropRecord {
        /// The request that has ended.
        request: RequestId,
        /// The ballot under which the record was written.
        ballot: Ballot,
    },
    /// To an incarnation that began with its clock set back: a later incarnation of the same member is known.
    IncarnationSuperseded {
        /// The later incarnation.
        incarnation: Incarnation,
    },
    /// At a graceful shutdown: the receiver is to take over a request of the sender.
    HandOver {
        /// The request to take over.
        request: RequestId,
        /// What the client asks for.
        descriptor: RequestDescriptor,
        /// The attempts that may have executed, and the final answer if there is one.
        progress: RequestProgress,
        /// The time until the deadline of the request, measured when the message was sent.
        left: Duration,
    },
}

/// Why a replica does not vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RejectionReason {
    /// It has promised this other ballot.
    Promised(Ballot),
    /// It has recorded the same request id with another descriptor.
    RequestMismatch,
    /// It restarted and has not yet recovered the records that it needs to vote on this request.
    Unsynchronized,
    /// It holds the maximum number of records and has none of this request.
    Full,
}

/// A part of the records that a restarted replica may have held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateTransfer {
    /// The incarnation that asked for the transfer.
    pub identity: Identity,
    /// The `number` of the [`Message::RequestStateTransfer`] that this replies to.
    pub number: u32,
    /// The index of this part, from 0.
    pub part: u16,
    /// The number of parts of the transfer.
    pub parts: u16,
    /// The synchronized members from which the sender has recovered its records, or `None` if it is synchronized
    /// itself.
    pub sources: Option<Vec<MemberId>>,
    /// The records in this part.
    pub records: Vec<TransferredRecord>,
}

/// A record, as one replica sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransferredRecord {
    /// The request that the record is about.
    pub request: RequestId,
    /// The record as the sender holds it.
    pub record: Record,
    /// The time until the deadline of the request.
    pub left: Duration,
    /// The time until the record expires. A transfer does not extend it; otherwise records might never expire.
    pub retained_for: Duration,
}
