//! What all datagrams have in common: a header with magic bytes, version and fleet, a number of messages, and a checksum
//! over all. What is between header and checksum is checked by the reader of the messages.

use serde::Serialize;

/// Messages are packed into datagrams up to this size, so that an ordinary datagram is not fragmented.
pub const MAX_PACKED_BYTES: usize = 1400;
/// The largest datagram, for one message that is larger by itself.
pub const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Messages in one datagram.
pub const MAX_MESSAGES: usize = 64;

const MAGIC_BYTES: usize = 2;
const VERSION_BYTES: usize = 1;
const FLEET_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC_BYTES + VERSION_BYTES + FLEET_BYTES;
const CHECKSUM_BYTES: usize = 4;
/// Bytes of the number of messages, at most.
const MESSAGE_COUNT_BYTES: usize = 4;

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// Without the header's magic bytes, or too short.
    #[error("no datagram of a fleet")]
    Foreign,
    /// The checksum does not match.
    #[error("a checksum that does not fit")]
    Checksum,
    /// From a program that uses another version of the format.
    #[error("version {0}, which is not spoken here")]
    Version(u8),
    /// From a fleet of another name, or configured with other members or another number of replicas.
    #[error("another fleet, or other members or keepers were told there")]
    OtherFleet,
    /// It can't be decoded, or has bytes left over.
    #[error("not to be read")]
    Unreadable,
    /// A value is out of its range, or names a member that does not exist.
    #[error("out of range")]
    OutOfRange,
    /// Larger than [`MAX_DATAGRAM_BYTES`].
    #[error("larger than a datagram may be")]
    TooLarge,
    /// A message has more of something than it may, or none where one is needed.
    #[error("too many or too few of something")]
    WrongCount,
    /// A name is empty or too long.
    #[error("a name that is empty or too long")]
    InvalidName,
    /// An entry does not belong into its stream.
    #[error("an entry of another kind than its stream")]
    WrongKind,
    /// No node can be reached at an address, or it lies outside the addresses allowed.
    #[error("an address that can't be one of the fleet")]
    InvalidAddress,
    /// The sender has this node's name: a datagram sent back, or another process under the same name.
    #[error("the own name as its sender")]
    OwnName,
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Tells the kinds of datagrams apart.
    pub magic: [u8; MAGIC_BYTES],
    /// Grows with every change of the format. Datagrams of another version are counted and ignored.
    pub version: u8,
    /// Hash of the fleet's name, and of what else has to be configured alike.
    pub fleet: u32,
}

impl Header {
    /// Checks header and checksum, and returns what is between them.
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
        // Nothing else is known of another version, not even where its checksum is.
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

    /// Packs messages to one receiver into datagrams, in order. Also returns how many were left out because they don't
    /// fit into a datagram by themselves. `sender` is written before the messages of each datagram.
    pub fn pack<M: Serialize>(&self, sender: &[u8], messages: &[M]) -> (Vec<Vec<u8>>, usize) {
        let overhead = sender.len() + HEADER_BYTES + CHECKSUM_BYTES + MESSAGE_COUNT_BYTES;
        let mut datagrams = Vec::new();
        let mut left_out = 0;
        let mut packed: Vec<Vec<u8>> = Vec::new();
        let mut packed_bytes = 0;
        for message in messages {
            let encoded = postcard::to_stdvec(message).ok();
            let Some(bytes) = encoded.filter(|bytes| bytes.len() + overhead <= MAX_DATAGRAM_BYTES) else {
                left_out += 1;
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
        (datagrams, left_out)
    }

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
