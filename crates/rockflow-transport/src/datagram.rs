//! The envelope that all datagrams share: a header with magic bytes, format version and fleet hash, then the sender and
//! the messages, then a CRC-32 checksum over everything before it. This module checks header and checksum; the codecs in
//! `cluster` and `dissemination` check the content between them.

use serde::Serialize;

/// Messages are packed into datagrams of up to this many bytes, so that an ordinary datagram is not fragmented.
pub const MAX_PACKED_BYTES: usize = 1400;
/// Maximum size of a datagram in bytes. Only a datagram with a single large message exceeds [`MAX_PACKED_BYTES`].
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Maximum number of messages in one datagram.
pub const MAX_MESSAGES: usize = 64;

const MAGIC_BYTES: usize = 2;
const VERSION_BYTES: usize = 1;
const FLEET_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC_BYTES + VERSION_BYTES + FLEET_BYTES;
const CHECKSUM_BYTES: usize = 4;
/// Space reserved for the encoded number of messages.
const MESSAGE_COUNT_BYTES: usize = 4;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// It is shorter than a header and a checksum, or starts with other magic bytes.
    #[error("too short, or not a datagram of this protocol")]
    Foreign,
    /// The checksum does not match the content.
    #[error("checksum mismatch")]
    Checksum,
    /// The sender uses this other version of the format.
    #[error("unsupported format version {0}")]
    Version(u8),
    /// The sender belongs to a fleet of another name, or is configured with other members or another number of replicas.
    #[error("sent by another fleet, or configured with other members or another number of replicas")]
    OtherFleet,
    /// The content can't be decoded, or bytes are left after the last message.
    #[error("content can't be decoded")]
    Unreadable,
    /// A value is out of its range, or a member or control node does not exist.
    #[error("value out of range")]
    OutOfRange,
    /// Larger than [`MAX_DATAGRAM_BYTES`].
    #[error("larger than {} bytes", MAX_DATAGRAM_BYTES)]
    TooLarge,
    /// There are too many messages, or a list in a message has too many items, or none where one is required.
    #[error("too many messages or list items, or an empty list")]
    WrongCount,
    /// A host name is empty or too long.
    #[error("host name empty or too long")]
    InvalidName,
    /// A purge in a stream of configuration, or a setting in a stream of purges.
    #[error("entry of a kind that its stream does not carry")]
    WrongKind,
    /// An address is unspecified, multicast or without a port, or it is not a loopback address where only those are
    /// allowed.
    #[error("address unusable, or outside the allowed network")]
    InvalidAddress,
    /// The sender has this node's name: a datagram was reflected, or another process runs under the same name.
    #[error("sender uses this node's name")]
    OwnName,
}

/// The header that one kind of datagrams starts with in one fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Distinguishes datagrams of the cluster from those of dissemination, and both from foreign traffic.
    pub magic: [u8; MAGIC_BYTES],
    /// Version of the format, raised with every change. Datagrams of another version are counted and ignored.
    pub version: u8,
    /// Hash of the fleet's name and of the configuration that all its processes must share.
    pub fleet: u32,
}

impl Header {
    /// Checks header and checksum, and returns the content between them.
    ///
    /// # Errors
    /// The datagram is too large, foreign, damaged, or of another version or fleet.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge);
        }
        if bytes.len() < HEADER_BYTES + CHECKSUM_BYTES || bytes[..MAGIC_BYTES] != self.magic {
            return Err(DatagramError::Foreign);
        }
        // Checked before the checksum, because another version may have its checksum elsewhere.
        let version = bytes[MAGIC_BYTES];
        if version != self.version {
            return Err(DatagramError::Version(version));
        }
        let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if crc32fast::hash(content).to_le_bytes() != checksum {
            return Err(DatagramError::Checksum);
        }
        if content[MAGIC_BYTES + VERSION_BYTES..HEADER_BYTES] != self.fleet.to_le_bytes() {
            return Err(DatagramError::OtherFleet);
        }
        Ok(&content[HEADER_BYTES..])
    }

    /// Packs messages for one receiver into datagrams, in order, each with the encoded `sender` before its messages. A
    /// message that does not fit into a datagram by itself is dropped; the second value is the number of those.
    pub fn pack<M: Serialize>(&self, sender: &[u8], messages: &[M]) -> (Vec<Vec<u8>>, usize) {
        let overhead = sender.len() + HEADER_BYTES + CHECKSUM_BYTES + MESSAGE_COUNT_BYTES;
        let mut datagrams = Vec::new();
        let mut oversized = 0;
        let mut packed: Vec<Vec<u8>> = Vec::new();
        let mut packed_bytes = 0;
        for message in messages {
            let encoded = postcard::to_stdvec(message).ok();
            let Some(bytes) = encoded.filter(|bytes| bytes.len() + overhead <= MAX_DATAGRAM_BYTES) else {
                oversized += 1;
                continue;
            };
            let is_full =
                packed_bytes + bytes.len() + overhead > MAX_PACKED_BYTES || packed.len() == MAX_MESSAGES;
            if !packed.is_empty() && is_full {
                datagrams.push(self.seal(sender, &std::mem::take(&mut packed)));
                packed_bytes = 0;
            }
            packed_bytes += bytes.len();
            packed.push(bytes);
        }
        if !packed.is_empty() {
            datagrams.push(self.seal(sender, &packed));
        }
        (datagrams, oversized)
    }

    /// Encodes one datagram: header, sender, number of messages, messages and checksum.
    fn seal(&self, sender: &[u8], messages: &[Vec<u8>]) -> Vec<u8> {
        let mut bytes = self.magic.to_vec();
        bytes.push(self.version);
        bytes.extend(self.fleet.to_le_bytes());
        bytes.extend(sender);
        bytes.extend(postcard::to_stdvec(&messages.len()).expect("a number can always be encoded"));
        for message in messages {
            bytes.extend(message);
        }
        let checksum = crc32fast::hash(&bytes);
        bytes.extend(checksum.to_le_bytes());
        bytes
    }
}
