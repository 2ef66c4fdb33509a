//! A datagram: a head with version, node and sender, messages in the order of their sending, and a checksum over all.
//! What comes from others is judged here, strictly and once.

use crate::datagram::Head;
use rockflow_cluster::replica::MAX_TRANSFERRED_RECORDS;
use rockflow_cluster::{
    Answer, ClusterConfig, Identity, Message, Record, RejectionReason, RequestProgress, StateTransfer,
};
use serde::{Deserialize, Serialize};

pub use crate::datagram::{Fault, MAX_BYTES, MAX_MESSAGES, PACKED};

pub const VERSION: u8 = 1;
const MARK: [u8; 2] = [0x72, 0x66];
/// Attempts of one request that may have started, and incarnations that go with a vote.
pub const MAX_STARTED_ATTEMPTS: usize = 64;
pub const MAX_KNOWN_INCARNATIONS: usize = 16;
pub const MAX_TAG_BYTES: usize = 256;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub from: Identity,
    pub messages: Vec<Message>,
}

fn head(config: &ClusterConfig) -> Head {
    Head { mark: MARK, version: VERSION, node: config.digest() }
}

/// Packs messages to one peer into datagrams, in order. What does not fit even alone is left out, and counted.
pub fn encode(config: &ClusterConfig, from: Identity, messages: &[Message]) -> (Vec<Vec<u8>>, usize) {
    let from = postcard::to_stdvec(&from).expect("a seat is always written");
    head(config).pack(&from, messages)
}

pub fn decode(config: &ClusterConfig, bytes: &[u8]) -> Result<Frame, Fault> {
    let inner = head(config).open(bytes)?;
    let (frame, behind) = postcard::take_from_bytes::<Frame>(inner).map_err(|_| Fault::Unreadable)?;
    if !behind.is_empty() {
        return Err(Fault::Unreadable);
    }
    let members = config.members.len();
    let known = |identity: &Identity| usize::from(identity.member.0) < members;
    let within = known(&frame.from)
        && frame.messages.len() <= MAX_MESSAGES
        && frame.messages.iter().all(|message| fits(config, message, &known));
    within.then_some(frame).ok_or(Fault::OutOfRange)
}

fn fits(config: &ClusterConfig, message: &Message, known: &impl Fn(&Identity) -> bool) -> bool {
    let members = config.members.len();
    let answer = |answer: &Answer| {
        let body = answer.body.as_ref().is_none_or(|body| body.len() <= config.max_body_bytes);
        body && answer.tag.as_ref().is_none_or(|tag| tag.len() <= MAX_TAG_BYTES)
    };
    let progress = |progress: &RequestProgress| {
        let ended =
            progress.answer.as_ref().is_none_or(|(ballot, ended)| known(&ballot.identity) && answer(ended));
        let started = progress.started_attempts.iter().all(|started| known(&started.ballot.identity));
        ended && started && progress.started_attempts.len() <= MAX_STARTED_ATTEMPTS
    };
    let kept = |kept: &Record| known(&kept.promised.identity) && progress(&kept.progress);
    match message {
        Message::Swim(_) => true,
        Message::Write { at, progress: held, .. } => known(&at.ballot.identity) && progress(held),
        Message::Prepare { at, .. } => known(&at.ballot.identity),
        Message::Vote { at, incarnations, held } => {
            known(&at.ballot.identity)
                && incarnations.len() <= MAX_KNOWN_INCARNATIONS
                && incarnations.iter().all(known)
                && held.as_ref().is_none_or(kept)
        }
        Message::Reject { at, reason } => {
            let promised = match reason {
                RejectionReason::Promised(ballot) => known(&ballot.identity),
                RejectionReason::RequestMismatch
                | RejectionReason::Unsynchronized
                | RejectionReason::Full => true,
            };
            known(&at.ballot.identity) && promised
        }
        Message::RequestStateTransfer { identity, .. } => known(identity),
        Message::StateTransfer(StateTransfer { identity, part, parts, by, records, .. }) => {
            let by = by.as_ref().is_none_or(|by| by.len() < members);
            let each = records.iter().all(|transferred| kept(&transferred.kept));
            known(identity) && by && part < parts && records.len() <= MAX_TRANSFERRED_RECORDS && each
        }
        Message::FinalAnswer { answer: held, .. } => answer(held),
        Message::HandOver { progress: held, .. } => progress(held),
        Message::DropRecord { ballot, .. } => known(&ballot.identity),
        Message::AwaitAnswer { .. } | Message::IncarnationSuperseded { .. } => true,
    }
}
