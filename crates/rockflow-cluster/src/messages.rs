//! What members say to each other. Values only; how they travel is the link's matter.

use crate::votes::Lives;
use crate::words::{Answer, Ballot, CallId, Content, Kept, Life, MemberId, Seat, Subject};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Under which ballot, and for which step of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Step {
    pub call: CallId,
    pub ballot: Ballot,
    pub step: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Of membership, in the form of its own library.
    Swim(Vec<u8>),
    /// To a keeper: this is what becomes of the call, unless you have promised a later ballot.
    Write {
        at: Step,
        subject: Subject,
        content: Content,
        /// The time that the request has left, from when this was sent.
        left: Duration,
    },
    /// To a keeper: promise me this ballot, and tell me what you hold.
    Claim {
        at: Step,
        subject: Option<Subject>,
    },
    /// From a keeper: taken, or promised with what was held.
    Vote {
        at: Step,
        lives: Lives,
        held: Option<Kept>,
    },
    /// From a keeper: a later ballot is promised, or another has the call; or it may have forgotten, or is full.
    Refuse {
        at: Step,
        why: Refusal,
    },
    /// To all: a life that has begun with nothing asks, for the so-manieth time, for what it may have kept.
    Learn {
        seat: Seat,
        no: u32,
    },
    Lesson(Lesson),
    /// To the owner's successor: who waits for the answer of a call asks to be told.
    Wait {
        call: CallId,
        subject: Subject,
    },
    /// The final answer of a call, to who waits for it.
    Final {
        call: CallId,
        answer: Answer,
    },
    /// To a keeper: nobody will ask for this call any more.
    Drop {
        call: CallId,
        ballot: Ballot,
    },
    /// To a life that began with a clock set back: a later one of the same name is known.
    Outlived {
        life: Life,
    },
    /// To whom a planned stop hands its calls.
    HandOver {
        call: CallId,
        subject: Subject,
        content: Content,
        left: Duration,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// This ballot is promised.
    Promised(Ballot),
    /// The id is in use for something else.
    Other,
    /// Started anew and not yet sure of what it kept.
    Unsure,
    Full,
}

/// Records that the asker keeps, in parts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lesson {
    pub seat: Seat,
    pub no: u32,
    pub part: u16,
    pub parts: u16,
    /// Who, sure of everything, has taught the teller; none: it is sure of everything itself.
    pub by: Option<Vec<MemberId>>,
    pub records: Vec<Taught>,
}

/// A record, as one keeper tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Taught {
    pub call: CallId,
    pub kept: Kept,
    /// The time that its request has left, and that until the record runs out: to be told of one is not to hear of it
    /// anew, else it would go from life to life for ever.
    pub left: Duration,
    pub keeps: Duration,
}
