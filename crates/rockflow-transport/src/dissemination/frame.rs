//! What a datagram of dissemination holds: who sends it, and messages in the order of their sending.

use crate::datagram::{DatagramError, Header, MAX_MESSAGES};
use crate::dissemination::validate::{self, Limits};
use rockflow_dissemination::{Identity, Message};
use serde::de::DeserializeOwned;

/// Version of the format.
pub const VERSION: u8 = 2;
const MAGIC: [u8; 2] = [0x72, 0x64];
/// The greatest incarnation that is accepted: Unix milliseconds in the year 2248. No node could continue above a greater
/// one.
pub const MAX_INCARNATION: u64 = 1 << 43;
/// The greatest sequence number that is accepted: more than any incarnation gives out.
pub const MAX_NUMBER: u64 = 1 << 53;
/// Parts of a table of settings.
pub const MAX_TABLE_PARTS: u16 = 4096;

/// Which addresses a message may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressScope {
    /// Only addresses of the loopback interface.
    LoopbackOnly,
    /// Any; for a trusted network.
    Any,
}

/// Encodes and decodes datagrams, and checks all that is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameCodec {
    /// Hash of the fleet's name.
    fleet: u32,
    limits: Limits,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender.
    pub from: Identity,
    /// Its messages, in order.
    pub messages: Vec<Message>,
}

impl FrameCodec {
    /// The codec of a fleet with this name and this many control nodes.
    pub fn new(fleet: &str, control_count: usize, addresses: AddressScope) -> FrameCodec {
        let fleet = crc32fast::hash(fleet.as_bytes());
        FrameCodec { fleet, limits: Limits { control_count, addresses } }
    }

    /// Packs messages to one receiver into datagrams, in order. Also returns how many were left out because they don't
    /// fit into a datagram by themselves.
    ///
    /// # Panics
    /// Never: an identity can always be encoded.
    pub fn encode(&self, from: Identity, messages: &[Message]) -> (Vec<Vec<u8>>, usize) {
        let sender = postcard::to_stdvec(&from).expect("an identity can always be encoded");
        self.header().pack(&sender, messages)
    }

    /// Reads a datagram and checks all of it.
    ///
    /// # Errors
    /// The first fault found; nothing of the datagram is used then.
    pub fn decode(&self, bytes: &[u8]) -> Result<Frame, DatagramError> {
        let content = self.header().open(bytes)?;
        let (from, rest) = take::<Identity>(content)?;
        validate::incarnation(from.incarnation)?;
        let (count, mut rest) = take::<usize>(rest)?;
        if count > MAX_MESSAGES {
            return Err(DatagramError::WrongCount);
        }
        let mut messages = Vec::with_capacity(count);
        for _ in 0..count {
            let (message, after) = take::<Message>(rest)?;
            self.limits.check(&message)?;
            messages.push(message);
            rest = after;
        }
        if !rest.is_empty() {
            return Err(DatagramError::Unreadable);
        }
        Ok(Frame { from, messages })
    }

    fn header(&self) -> Header {
        Header { magic: MAGIC, version: VERSION, fleet: self.fleet }
    }
}

fn take<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DatagramError> {
    postcard::take_from_bytes(bytes).map_err(|_| DatagramError::Unreadable)
}
