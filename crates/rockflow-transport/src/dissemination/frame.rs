//! The codec of dissemination's datagrams. Each has the sender's identity and a sequence of messages.

use crate::datagram::{DatagramError, Header, MAX_MESSAGES};
use crate::dissemination::validate::{self, Limits};
use rockflow_dissemination::{Identity, Message};
use serde::de::DeserializeOwned;

/// Version of the datagram format, raised with every change.
pub const VERSION: u8 = 2;
/// The first bytes of every datagram of dissemination.
const MAGIC: [u8; 2] = [0x72, 0x64];
/// Maximum incarnation of a received message: Unix milliseconds in the year 2248. A node whose incarnation is superseded
/// continues under a greater one, which must be possible for every incarnation that is accepted.
pub const MAX_INCARNATION: u64 = 1 << 43;
/// Maximum sequence number of a received message: more than one incarnation can assign.
pub const MAX_SEQUENCE_NUMBER: u64 = 1 << 53;
/// Maximum number of parts in which a table of settings is sent.
pub const MAX_SETTINGS_PARTS: u16 = 4096;

/// The addresses of nodes that a received message may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressScope {
    /// Only addresses of the loopback interface.
    LoopbackOnly,
    /// All unicast addresses, for a trusted network.
    Any,
}

/// Encodes datagrams, and decodes and validates received ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameCodec {
    /// CRC-32 of the fleet's name, written into each header.
    fleet: u32,
    limits: Limits,
}

/// The decoded content of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Node and incarnation that sent the datagram.
    pub from: Identity,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

impl FrameCodec {
    /// Creates the codec of a fleet. Messages that name a control node with an id of `control_count` or more, or an
    /// address outside `addresses`, are rejected.
    pub fn new(fleet: &str, control_count: usize, addresses: AddressScope) -> FrameCodec {
        let fleet = crc32fast::hash(fleet.as_bytes());
        FrameCodec { fleet, limits: Limits { control_count, addresses } }
    }

    /// Packs messages for one receiver into datagrams, in order. A message that does not fit into a datagram by itself is
    /// dropped; the second value is the number of those.
    ///
    /// # Panics
    /// Never: an identity can always be encoded.
    pub fn encode(&self, from: Identity, messages: &[Message]) -> (Vec<Vec<u8>>, usize) {
        let sender = postcard::to_stdvec(&from).expect("an identity can always be encoded");
        self.header().pack(&sender, messages)
    }

    /// Decodes a datagram and validates all its messages.
    ///
    /// # Errors
    /// The first error found. A datagram with an error is rejected as a whole.
    pub fn decode(&self, bytes: &[u8]) -> Result<Frame, DatagramError> {
        let content = self.header().open(bytes)?;
        let (from, rest) = take::<Identity>(content)?;
        validate::check_incarnation(from.incarnation)?;
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

/// Decodes a value, and returns it with the bytes after it.
fn take<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DatagramError> {
    postcard::take_from_bytes(bytes).map_err(|_| DatagramError::Unreadable)
}
