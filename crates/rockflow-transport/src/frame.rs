//! A datagram: a head with version, fleet and sender, messages in the order of their sending, and a checksum over all.
//! What comes from others is judged here, strictly and once.

use crate::datagram::Header;
use rockflow_cluster::keeper::MAX_TAUGHT;
use rockflow_cluster::{Answer, Content, Kept, Lesson, Message, Refusal, Seat, Told};
use serde::{Deserialize, Serialize};

pub use crate::datagram::{DatagramError, MAX_DATAGRAM_BYTES, MAX_MESSAGES, MAX_PACKED_BYTES};

pub const VERSION: u8 = 1;
const MARK: [u8; 2] = [0x72, 0x66];
/// Attempts of one call that may have begun, and lives that go with a vote.
pub const MAX_BEGUN: usize = 64;
pub const MAX_LIVES: usize = 16;
pub const MAX_TAG: usize = 256;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub from: Seat,
    pub messages: Vec<Message>,
}

fn head(told: &Told) -> Header {
    Header { magic: MARK, version: VERSION, fleet: told.digest() }
}

/// Packs messages to one peer into datagrams, in order. What does not fit even alone is left out, and counted.
pub fn encode(told: &Told, from: Seat, messages: &[Message]) -> (Vec<Vec<u8>>, usize) {
    let from = postcard::to_stdvec(&from).expect("a seat is always written");
    head(told).pack(&from, messages)
}

pub fn decode(told: &Told, bytes: &[u8]) -> Result<Frame, DatagramError> {
    let inner = head(told).open(bytes)?;
    let (frame, behind) = postcard::take_from_bytes::<Frame>(inner).map_err(|_| DatagramError::Unreadable)?;
    if !behind.is_empty() {
        return Err(DatagramError::Unreadable);
    }
    let members = told.members.len();
    let known = |seat: &Seat| usize::from(seat.member.0) < members;
    let within = known(&frame.from)
        && frame.messages.len() <= MAX_MESSAGES
        && frame.messages.iter().all(|message| fits(told, message, &known));
    within.then_some(frame).ok_or(DatagramError::OutOfRange)
}

fn fits(told: &Told, message: &Message, known: &impl Fn(&Seat) -> bool) -> bool {
    let members = told.members.len();
    let answer = |answer: &Answer| {
        let body = answer.body.as_ref().is_none_or(|body| body.len() <= told.max_body);
        body && answer.tag.as_ref().is_none_or(|tag| tag.len() <= MAX_TAG)
    };
    let content = |content: &Content| {
        let ended =
            content.answer.as_ref().is_none_or(|(ballot, ended)| known(&ballot.seat) && answer(ended));
        let begun = content.begun.iter().all(|begun| known(&begun.ballot.seat));
        ended && begun && content.begun.len() <= MAX_BEGUN
    };
    let kept = |kept: &Kept| known(&kept.promised.seat) && content(&kept.content);
    match message {
        Message::Swim(_) => true,
        Message::Write { at, content: held, .. } => known(&at.ballot.seat) && content(held),
        Message::Claim { at, .. } => known(&at.ballot.seat),
        Message::Vote { at, lives, held } => {
            known(&at.ballot.seat)
                && lives.len() <= MAX_LIVES
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
            known(seat) && by && part < parts && records.len() <= MAX_TAUGHT && each
        }
        Message::Final { answer: held, .. } => answer(held),
        Message::HandOver { content: held, .. } => content(held),
        Message::Drop { ballot, .. } => known(&ballot.seat),
        Message::Wait { .. } | Message::Outlived { .. } => true,
    }
}
