//! The record of a request that its replicas keep: the descriptor, the attempts that may have executed, and the answer.

use crate::identity::Ballot;
use serde::{Deserialize, Serialize};

/// The effect of executing a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EffectKind {
    /// None: the request may be repeated freely.
    Idempotent,
    /// None if the host knows the idempotency key of the request.
    IdempotencyKey,
    /// Harmful: the request must not be executed twice.
    AtMostOnce,
}

impl EffectKind {
    /// Whether a majority of the replicas must record an attempt before it is sent.
    pub fn requires_quorum(self) -> bool {
        self != EffectKind::Idempotent
    }
}

/// What a client asks for. A request with an id that is already in use with another descriptor is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDescriptor {
    /// The effect of a second execution.
    pub kind: EffectKind,
    /// The index of the request class.
    pub class: u16,
    /// The id of the requested object.
    pub object: u64,
    /// The number of the requested part of the object.
    pub part: u32,
    /// The id of the group that the object belongs to.
    pub group: u64,
    /// The size in bytes, or 0 if it is unknown.
    pub size: u64,
}

/// An attempt that may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartedAttempt {
    /// The ballot under which it was sent.
    pub ballot: Ballot,
    /// The number of the attempt among those of the request.
    pub attempt: u16,
    /// The id of the host that it was sent to.
    pub host: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The request was served.
    Succeeded,
    /// The request was rejected, for instance by load shedding, and was not executed.
    Rejected,
    /// The request failed, but may have been executed.
    Failed,
}

/// The final answer of a request, as it is retained for clients that send the request again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// The entity tag (ETag) of the body, if the host gave one.
    pub tag: Option<String>,
    /// The body; `None` if there was none or it was larger than the configured maximum.
    pub body: Option<Vec<u8>>,
}

/// The attempts of a request that may have executed, and its final answer once there is one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestProgress {
    /// Every attempt that may have executed, by any owner of the request.
    pub started_attempts: Vec<StartedAttempt>,
    /// The final answer, with the ballot under which it was recorded.
    pub answer: Option<(Ballot, Answer)>,
}

impl RequestProgress {
    /// Adds the progress that another member has recorded: keeps the attempts of both, and of two answers the one
    /// with the higher ballot.
    pub fn merge(&mut self, other: &RequestProgress) {
        self.started_attempts.extend_from_slice(&other.started_attempts);
        self.started_attempts.sort_unstable();
        self.started_attempts.dedup();
        if let Some((ballot, answer)) = &other.answer {
            if self.answer.as_ref().is_none_or(|(own, _)| own < ballot) {
                self.answer = Some((*ballot, answer.clone()));
            }
        }
    }
}

/// A replica's record of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// What the client asks for; `None` if a takeover without a descriptor arrived before anything else.
    pub descriptor: Option<RequestDescriptor>,
    /// The highest ballot that the replica has promised or accepted a write under. Lower ballots are rejected.
    pub promised: Ballot,
    /// The attempts and the final answer that the replica has recorded.
    pub progress: RequestProgress,
}
