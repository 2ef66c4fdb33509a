//! What replicas record of a request.

use crate::identity::Ballot;
use serde::{Deserialize, Serialize};

/// What a second execution of a request would do, as far as it matters to the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EffectKind {
    /// Nothing: it may be repeated freely.
    Idempotent,
    /// Nothing, where the idempotency key is known.
    IdempotencyKey,
    /// Harm: it must not be executed twice.
    AtMostOnce,
}

impl EffectKind {
    /// Whether a majority of the replicas must know of an attempt before it is sent.
    pub fn requires_quorum(self) -> bool {
        self != EffectKind::Idempotent
    }
}

/// What a client asks for. It never changes under one id: the same id for another object is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDescriptor {
    /// What a second execution would do.
    pub kind: EffectKind,
    /// The index of its request class.
    pub class: u16,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The group of the object.
    pub group: u64,
    /// Size in bytes. Zero: unknown.
    pub size: u64,
}

/// An attempt that may have executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartedAttempt {
    /// The ballot under which it was sent.
    pub ballot: Ballot,
    /// Its number among the attempts of the request.
    pub attempt: u16,
    /// The host that it was sent to.
    pub host: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It was served.
    Succeeded,
    /// It was shed, without effect.
    Rejected,
    /// It failed, and may have had its effect.
    Failed,
}

/// The final answer of a request, as it is retained for clients that ask again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// The entity tag of the body.
    pub tag: Option<String>,
    /// The body. None: there was none, or it was larger than what is retained.
    pub body: Option<Vec<u8>>,
}

/// How far a request has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestProgress {
    /// Every attempt that may have executed.
    pub started_attempts: Vec<StartedAttempt>,
    /// The final answer, with the ballot under which it was written.
    pub answer: Option<(Ballot, Answer)>,
}

impl RequestProgress {
    /// Takes in what another knows: every attempt that may have executed, and of two answers the one of the later ballot.
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

/// What a replica records of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    /// What was asked for. None: a takeover arrived before anything else.
    pub descriptor: Option<RequestDescriptor>,
    /// The highest ballot that was promised or written here; nothing under a lower one is accepted any more.
    pub promised: Ballot,
    /// How far the request has come.
    pub progress: RequestProgress,
}
