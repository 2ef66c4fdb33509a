//! A datagram: a head with version, fleet and sender, messages in the order of their sending, and a checksum over all.
//! What comes from others is judged here, strictly and once.

use rockflow_fleet::keeper::MOST_TAUGHT;
use rockflow_fleet::{Answer, Content, Kept, Lesson, Message, Refusal, Seat, Told};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Grows with every change of what a datagram means. A peer of another one is counted and left alone.
pub const VERSION: u8 = 1;
const MARK: [u8; 2] = [0x72, 0x66];
const HEAD: usize = 2 + 1 + 4;
const CHECKSUM: usize = 4;
/// Messages are packed up to this, so that the ordinary datagram is not cut on its way.
pub const PACKED: usize = 1400;
/// The largest datagram, for one message that is larger alone.
pub const MOST_BYTES: usize = 16 * 1024;
pub const MOST_MESSAGES: usize = 64;
/// Legs of one call that may have begun, and lives that go with a vote.
pub const MOST_BEGUN: usize = 64;
pub const MOST_LIVES: usize = 16;
pub const MOST_TAG: usize = 256;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub from: Seat,
    pub messages: Vec<Message>,
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No datagram of a link at all, or one that was cut.
    Foreign,
    Checksum,
    /// Of a program that speaks another version.
    Version(u8),
    /// Of a fleet that was told other members or another number of keepers.
    OtherFleet,
    /// It can't be read, or has more behind it.
    Unreadable,
    /// Something in it is longer than it may be, or names a member that there is not.
    OutOfRange,
    TooLarge,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Foreign => write!(f, "no datagram of a fleet"),
            Fault::Checksum => write!(f, "a checksum that does not fit"),
            Fault::Version(version) => write!(f, "version {version}, where {VERSION} is spoken"),
            Fault::OtherFleet => write!(f, "other members or keepers were told there"),
            Fault::Unreadable => write!(f, "not to be read"),
            Fault::OutOfRange => write!(f, "out of range"),
            Fault::TooLarge => write!(f, "larger than a datagram may be"),
        }
    }
}

/// Packs messages to one peer into datagrams, in order. What does not fit even alone is left out, and counted.
pub fn encode(told: &Told, from: Seat, messages: &[Message]) -> (Vec<Vec<u8>>, usize) {
    let (mut frames, mut left_out) = (Vec::new(), 0);
    let mut pack: Vec<Vec<u8>> = Vec::new();
    let mut size = 0;
    let head = from_bytes(from);
    for message in messages {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            left_out += 1;
            continue;
        };
        if bytes.len() + head.len() + HEAD + CHECKSUM + 4 > MOST_BYTES {
            left_out += 1;
            continue;
        }
        let full = size + bytes.len() + head.len() + HEAD + CHECKSUM + 4 > PACKED;
        if !pack.is_empty() && (full || pack.len() == MOST_MESSAGES) {
            frames.push(seal(told, &head, &pack));
            (pack, size) = (Vec::new(), 0);
        }
        size += bytes.len();
        pack.push(bytes);
    }
    if !pack.is_empty() {
        frames.push(seal(told, &head, &pack));
    }
    (frames, left_out)
}

fn from_bytes(from: Seat) -> Vec<u8> {
    postcard::to_stdvec(&from).expect("a seat is always written")
}

fn seal(told: &Told, from: &[u8], pack: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = MARK.to_vec();
    bytes.push(VERSION);
    bytes.extend(told.digest().to_le_bytes());
    bytes.extend(from);
    bytes.extend(postcard::to_stdvec(&pack.len()).expect("a number is always written"));
    pack.iter().for_each(|message| bytes.extend(message));
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

pub fn decode(told: &Told, bytes: &[u8]) -> Result<Frame, Fault> {
    if bytes.len() > MOST_BYTES {
        return Err(Fault::TooLarge);
    }
    if bytes.len() < HEAD + CHECKSUM || bytes[..2] != MARK {
        return Err(Fault::Foreign);
    }
    // Of another version nothing else is known, not even where its checksum is.
    if bytes[2] != VERSION {
        return Err(Fault::Version(bytes[2]));
    }
    let (rest, sum) = bytes.split_at(bytes.len() - CHECKSUM);
    if crc32fast::hash(rest).to_le_bytes() != sum {
        return Err(Fault::Checksum);
    }
    if rest[3..HEAD] != told.digest().to_le_bytes() {
        return Err(Fault::OtherFleet);
    }
    let (frame, behind) = postcard::take_from_bytes::<Frame>(&rest[HEAD..]).map_err(|_| Fault::Unreadable)?;
    if !behind.is_empty() {
        return Err(Fault::Unreadable);
    }
    let members = told.members.len();
    let known = |seat: &Seat| usize::from(seat.member.0) < members;
    let within = known(&frame.from)
        && frame.messages.len() <= MOST_MESSAGES
        && frame.messages.iter().all(|message| fits(told, message, &known));
    within.then_some(frame).ok_or(Fault::OutOfRange)
}

fn fits(told: &Told, message: &Message, known: &impl Fn(&Seat) -> bool) -> bool {
    let members = told.members.len();
    let answer = |answer: &Answer| {
        let body = answer.body.as_ref().is_none_or(|body| body.len() <= told.most_body);
        body && answer.tag.as_ref().is_none_or(|tag| tag.len() <= MOST_TAG)
    };
    let content = |content: &Content| {
        let ended =
            content.answer.as_ref().is_none_or(|(ballot, ended)| known(&ballot.seat) && answer(ended));
        let begun = content.begun.iter().all(|begun| known(&begun.ballot.seat));
        ended && begun && content.begun.len() <= MOST_BEGUN
    };
    let kept = |kept: &Kept| known(&kept.promised.seat) && content(&kept.content);
    match message {
        Message::Swim(_) => true,
        Message::Write { at, content: held, .. } => known(&at.ballot.seat) && content(held),
        Message::Claim { at, .. } => known(&at.ballot.seat),
        Message::Vote { at, lives, held } => {
            known(&at.ballot.seat)
                && lives.len() <= MOST_LIVES
                && lives.iter().all(known)
                && held.as_ref().is_none_or(kept)
        }
        Message::Refuse { at, why } => {
            let promised = match why {
                Refusal::Promised(ballot) => known(&ballot.seat),
                Refusal::Other | Refusal::Unsure | Refusal::Full => true,
            };
            known(&at.ballot.seat) && promised
        }
        Message::Learn { seat, .. } => known(seat),
        Message::Lesson(Lesson { seat, part, parts, by, records, .. }) => {
            let by = by.as_ref().is_none_or(|by| by.len() < members);
            let each = records.iter().all(|taught| kept(&taught.kept));
            known(seat) && by && part < parts && records.len() <= MOST_TAUGHT && each
        }
        Message::Final { answer: held, .. } => answer(held),
        Message::HandOver { content: held, .. } => content(held),
        Message::Drop { ballot, .. } => known(&ballot.seat),
        Message::Wait { .. } | Message::Outlived { .. } => true,
    }
}
