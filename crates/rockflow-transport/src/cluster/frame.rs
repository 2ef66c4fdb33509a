//! The codec of a cluster's datagrams. Each has the sender's identity and a sequence of messages. Received messages are
//! validated here, so that the state machine only gets those within all limits.

use crate::datagram::Header;
use rockflow_cluster::replica::MAX_TRANSFERRED_RECORDS;
use rockflow_cluster::{
    Answer, ClusterConfig, Identity, Message, Record, RejectionReason, RequestProgress, StateTransfer, Step,
};
use serde::{Deserialize, Serialize};

pub use crate::datagram::{DatagramError, MAX_DATAGRAM_BYTES, MAX_MESSAGES, MAX_PACKED_BYTES};

/// Version of the datagram format, raised with every change.
pub const VERSION: u8 = 1;
/// The first bytes of every datagram of a cluster.
const MAGIC: [u8; 2] = [0x72, 0x66];
/// Maximum number of started attempts in the progress of one request.
pub const MAX_STARTED_ATTEMPTS: usize = 64;
/// Maximum number of incarnations of other replicas in a vote.
pub const MAX_KNOWN_INCARNATIONS: usize = 16;
/// Maximum size of an answer's entity tag, in bytes.
pub const MAX_TAG_BYTES: usize = 256;

/// The decoded content of a datagram. Its encoding is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Member and incarnation that sent the datagram.
    pub from: Identity,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

/// Packs messages for one member into datagrams, in order. A message that does not fit into a datagram by itself is
/// dropped; the second value is the number of those.
pub fn encode(config: &ClusterConfig, from: Identity, messages: &[Message]) -> (Vec<Vec<u8>>, usize) {
    let from = postcard::to_stdvec(&from).expect("an identity can always be encoded");
    header(config).pack(&from, messages)
}

/// Decodes a datagram and validates all its messages.
///
/// # Errors
/// The datagram is damaged, of another version or cluster, or contains a value outside its limits. It is rejected as a
/// whole.
pub fn decode(config: &ClusterConfig, bytes: &[u8]) -> Result<Frame, DatagramError> {
    let content = header(config).open(bytes)?;
    let (frame, rest) = postcard::take_from_bytes::<Frame>(content).map_err(|_| DatagramError::Unreadable)?;
    if !rest.is_empty() {
        return Err(DatagramError::Unreadable);
    }
    let validator = Validator { config };
    let is_valid = validator.is_member(&frame.from)
        && frame.messages.len() <= MAX_MESSAGES
        && frame.messages.iter().all(|message| validator.accepts(message));
    is_valid.then_some(frame).ok_or(DatagramError::OutOfRange)
}

fn header(config: &ClusterConfig) -> Header {
    Header { magic: MAGIC, version: VERSION, fleet: config.digest() }
}

/// Checks that a message refers only to configured members, and that its lists and values are within their limits.
struct Validator<'a> {
    config: &'a ClusterConfig,
}

impl Validator<'_> {
    fn accepts(&self, message: &Message) -> bool {
        match message {
            Message::Swim(_) => true,
            Message::Write { at, progress, .. } => self.accepts_step(at) && self.accepts_progress(progress),
            Message::Prepare { at, .. } => self.accepts_step(at),
            Message::Vote { at, incarnations, held } => {
                self.accepts_step(at)
                    && incarnations.len() <= MAX_KNOWN_INCARNATIONS
                    && incarnations.iter().all(|identity| self.is_member(identity))
                    && held.as_ref().is_none_or(|record| self.accepts_record(record))
            }
            Message::Reject { at, reason } => self.accepts_step(at) && self.accepts_reason(reason),
            Message::RequestStateTransfer { identity, .. } => self.is_member(identity),
            Message::StateTransfer(transfer) => self.accepts_transfer(transfer),
            Message::FinalAnswer { answer, .. } => self.accepts_answer(answer),
            Message::HandOver { progress, .. } => self.accepts_progress(progress),
            Message::DropRecord { ballot, .. } => self.is_member(&ballot.identity),
            Message::AwaitAnswer { .. } | Message::IncarnationSuperseded { .. } => true,
        }
    }

    fn is_member(&self, identity: &Identity) -> bool {
        usize::from(identity.member.0) < self.config.members.len()
    }

    fn accepts_step(&self, step: &Step) -> bool {
        self.is_member(&step.ballot.identity)
    }

    fn accepts_answer(&self, answer: &Answer) -> bool {
        let body_fits = answer.body.as_ref().is_none_or(|body| body.len() <= self.config.max_body_bytes);
        body_fits && answer.tag.as_ref().is_none_or(|tag| tag.len() <= MAX_TAG_BYTES)
    }

    fn accepts_progress(&self, progress: &RequestProgress) -> bool {
        let answer = progress.answer.as_ref();
        let started = &progress.started_attempts;
        answer.is_none_or(|(ballot, answer)| self.is_member(&ballot.identity) && self.accepts_answer(answer))
            && started.len() <= MAX_STARTED_ATTEMPTS
            && started.iter().all(|attempt| self.is_member(&attempt.ballot.identity))
    }

    fn accepts_record(&self, record: &Record) -> bool {
        self.is_member(&record.promised.identity) && self.accepts_progress(&record.progress)
    }

    fn accepts_reason(&self, reason: &RejectionReason) -> bool {
        match reason {
            RejectionReason::Promised(ballot) => self.is_member(&ballot.identity),
            RejectionReason::RequestMismatch | RejectionReason::Unsynchronized | RejectionReason::Full => {
                true
            }
        }
    }

    fn accepts_transfer(&self, transfer: &StateTransfer) -> bool {
        let members = self.config.members.len();
        self.is_member(&transfer.identity)
            && transfer.sources.as_ref().is_none_or(|sources| sources.len() < members)
            && transfer.part < transfer.parts
            && transfer.records.len() <= MAX_TRANSFERRED_RECORDS
            && transfer.records.iter().all(|transferred| self.accepts_record(&transferred.record))
    }
}
