//! What every datagram of ours has: a head with mark, version and fleet, and a checksum over all. Whoever is read by it
//! judges what is between them.

use std::fmt;

const HEAD: usize = 2 + 1 + 4;
const CHECKSUM: usize = 4;
/// Messages are packed up to this, so that the ordinary datagram is not cut on its way.
pub const PACKED: usize = 1400;
/// The largest datagram, for one message that is larger alone.
pub const MAX_BYTES: usize = 16 * 1024;
pub const MAX_MESSAGES: usize = 64;
/// Bytes that the number of messages takes.
const COUNT: usize = 4;

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No datagram of a link at all, or one that was cut.
    Foreign,
    Checksum,
    /// Of a program that speaks another version.
    Version(u8),
    /// Of a fleet of another name, or that was told other members or another number of keepers.
    OtherFleet,
    /// It can't be read, or has more behind it.
    Unreadable,
    /// Something in it is longer than it may be, or names a member that there is not.
    OutOfRange,
    TooLarge,
    /// More of something than a message may hold, or none where one is needed.
    Amount,
    /// A name that is empty or too long.
    Name,
    /// An entry that does not belong into its stream.
    Kind,
    /// An address at which nobody can be reached, or outside the loopback where only that is told.
    Address,
    /// Its own, sent back, or another process under the same name.
    Own,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Foreign => write!(f, "no datagram of a fleet"),
            Fault::Checksum => write!(f, "a checksum that does not fit"),
            Fault::Version(version) => write!(f, "version {version}, which is not spoken here"),
            Fault::OtherFleet => write!(f, "another fleet, or other members or keepers were told there"),
            Fault::Unreadable => write!(f, "not to be read"),
            Fault::OutOfRange => write!(f, "out of range"),
            Fault::TooLarge => write!(f, "larger than a datagram may be"),
            Fault::Amount => write!(f, "too many or too few of something"),
            Fault::Name => write!(f, "a name that is empty or too long"),
            Fault::Kind => write!(f, "an entry of another kind than its stream"),
            Fault::Address => write!(f, "an address that can't be one of the fleet"),
            Fault::Own => write!(f, "the own name as its sender"),
        }
    }
}

/// What a datagram begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub mark: [u8; 2],
    /// Grows with every change of what a datagram means. A peer of another one is counted and left alone.
    pub version: u8,
    pub fleet: u32,
}

impl Head {
    fn seal(&self, from: &[u8], pack: &[Vec<u8>]) -> Vec<u8> {
        let mut bytes = self.mark.to_vec();
        bytes.push(self.version);
        bytes.extend(self.fleet.to_le_bytes());
        bytes.extend(from);
        bytes.extend(postcard::to_stdvec(&pack.len()).expect("a number is always written"));
        pack.iter().for_each(|message| bytes.extend(message));
        let sum = crc32fast::hash(&bytes);
        bytes.extend(sum.to_le_bytes());
        bytes
    }

    /// What is between head and checksum.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], Fault> {
        if bytes.len() > MAX_BYTES {
            return Err(Fault::TooLarge);
        }
        if bytes.len() < HEAD + CHECKSUM || bytes[..2] != self.mark {
            return Err(Fault::Foreign);
        }
        // Of another version nothing else is known, not even where its checksum is.
        if bytes[2] != self.version {
            return Err(Fault::Version(bytes[2]));
        }
        let (rest, sum) = bytes.split_at(bytes.len() - CHECKSUM);
        if crc32fast::hash(rest).to_le_bytes() != sum {
            return Err(Fault::Checksum);
        }
        if rest[3..HEAD] != self.fleet.to_le_bytes() {
            return Err(Fault::OtherFleet);
        }
        Ok(&rest[HEAD..])
    }

    /// Packs messages to one peer into datagrams, in order. What does not fit even alone is left out, and counted.
    pub fn pack<M: serde::Serialize>(&self, from: &[u8], messages: &[M]) -> (Vec<Vec<u8>>, usize) {
        let around = from.len() + HEAD + CHECKSUM + COUNT;
        let (mut frames, mut left_out) = (Vec::new(), 0);
        let (mut pack, mut size) = (Vec::new(), 0);
        for message in messages {
            let Some(bytes) =
                postcard::to_stdvec(message).ok().filter(|bytes| bytes.len() + around <= MAX_BYTES)
            else {
                left_out += 1;
                continue;
            };
            let full = size + bytes.len() + around > PACKED || pack.len() == MAX_MESSAGES;
            if !pack.is_empty() && full {
                frames.push(self.seal(from, &std::mem::take(&mut pack)));
                size = 0;
            }
            size += bytes.len();
            pack.push(bytes);
        }
        if !pack.is_empty() {
            frames.push(self.seal(from, &pack));
        }
        (frames, left_out)
    }
}
