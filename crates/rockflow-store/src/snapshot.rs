//! Snapshots by generation. A file is a head of fixed size, the payload, and nothing else:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..8 | `rockflow` |
//! | 8..10 | the version of the file's format, little-endian as all numbers |
//! | 10..12 | the version of the payload's format |
//! | 12..20 | the generation, as in the file's name |
//! | 20..28 | the payload's length in bytes |
//! | 28..32 | CRC-32 of the payload |
//! | 32..36 | CRC-32 of all before this |

use crate::disk::Disk;
use std::io;
use thiserror::Error;

const MAGIC: &[u8; 8] = b"rockflow";
const FILE_FORMAT: u16 = 1;
const HEAD_BYTES: usize = 36;
/// Where each part of the head begins.
const FILE_FORMAT_AT: usize = 8;
const PAYLOAD_FORMAT_AT: usize = 10;
const GENERATION_AT: usize = 12;
const LENGTH_AT: usize = 20;
const PAYLOAD_CHECKSUM_AT: usize = 28;
const HEAD_CHECKSUM_AT: usize = 32;
/// Snapshots that are retained: the newest, and the one to fall back on.
const MAX_RETAINED: usize = 2;
/// Digits of the generation in a file's name.
const GENERATION_DIGITS: usize = 20;
/// The extension of the file that is written before it gets its name.
const TEMPORARY: &str = "aside";

/// A snapshot that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Its generation.
    pub generation: u64,
    /// The version of the payload's format.
    pub payload_format: u16,
    /// What was saved.
    pub payload: Vec<u8>,
}

/// Why a payload was not saved.
#[derive(Debug, Error)]
pub enum SaveError {
    /// It is larger than what would be read back.
    #[error("{bytes} bytes, over the cap of {max_bytes}")]
    TooLarge {
        /// Its length.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    /// It was not saved; what was durable before still is.
    #[error("not saved: {0}")]
    NotSaved(#[source] io::Error),
    /// It may or may not be durable, as the folder could not be synced and the new name not be taken back. The
    /// next save settles it.
    #[error("perhaps not saved: {0}")]
    Uncertain(#[source] io::Error),
}

/// A snapshot file that was skipped.
#[derive(Debug, Error)]
#[error("{file}: {reason}")]
pub struct UnreadableSnapshot {
    /// The file's name.
    pub file: String,
    /// Why it can't be used.
    #[source]
    pub reason: ReadError,
}

/// Why a snapshot file can't be used.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The disk did not deliver it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is shorter than a head.
    #[error("shorter than a head")]
    TooShort,
    /// It does not begin as a snapshot does.
    #[error("not a file of rockflow's")]
    Foreign,
    /// The head is damaged.
    #[error("the head's checksum does not hold")]
    HeadChecksum,
    /// A newer program wrote it.
    #[error("of a newer form, {file_format}.{payload_format}")]
    NewerFormat {
        /// The version of the file's format.
        file_format: u16,
        /// The version of the payload's format.
        payload_format: u16,
    },
    /// The generation in the head is not that of the file's name.
    #[error("holds generation {0}")]
    WrongGeneration(u64),
    /// The payload is shorter or longer than the head says.
    #[error("{found} bytes of {expected}")]
    Length {
        /// The payload's length in bytes.
        found: usize,
        /// The length in the head.
        expected: u64,
    },
    /// The payload is damaged.
    #[error("the checksum does not hold")]
    PayloadChecksum,
}

/// A store as it was found at its opening.
#[derive(Debug)]
pub struct Opened<D> {
    /// The store.
    pub store: Store<D>,
    /// The newest snapshot that is whole.
    pub snapshot: Option<Snapshot>,
    /// Newer files that were skipped.
    pub unreadable: Vec<UnreadableSnapshot>,
}

/// The snapshots of one name in a folder.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    name: String,
    /// The payload's own format; newer ones are skipped.
    payload_format: u16,
    max_payload_bytes: usize,
    /// The greatest generation seen, readable or not: what is written next is greater.
    generation: u64,
    /// Generations known to be whole, oldest first.
    whole: Vec<u64>,
}

impl<D: Disk> Store<D> {
    /// Opens the snapshots of that name, and reads the newest that is whole.
    ///
    /// # Errors
    /// Where the disk can't be listed: nothing is known of it, so it must not be taken for an empty one.
    pub fn open(disk: D, name: &str, payload_format: u16, max_payload_bytes: usize) -> io::Result<Opened<D>> {
        let name = name.to_string();
        let mut store =
            Store { disk, name, payload_format, max_payload_bytes, generation: 0, whole: Vec::new() };
        let mut generations: Vec<u64> =
            store.disk.list()?.iter().filter_map(|file| store.generation_of(file)).collect();
        generations.sort_unstable();
        store.generation = generations.last().copied().unwrap_or(0);
        let mut newest = None;
        let mut unreadable = Vec::new();
        for generation in generations.into_iter().rev() {
            match store.read(generation) {
                Ok(snapshot) => {
                    store.whole.insert(0, generation);
                    newest = newest.or(Some(snapshot));
                }
                Err(reason) if newest.is_none() => {
                    unreadable.push(UnreadableSnapshot { file: store.file_name(generation), reason });
                }
                Err(_) => {}
            }
        }
        Ok(Opened { store, snapshot: newest, unreadable })
    }

    /// Makes the payload durable. Once this returns its generation, a restart comes back with it.
    ///
    /// # Errors
    /// Where it is too large, or the disk fails.
    pub fn save(&mut self, payload: &[u8]) -> Result<u64, SaveError> {
        if payload.len() > self.max_payload_bytes {
            let max_bytes = self.max_payload_bytes;
            return Err(SaveError::TooLarge { bytes: payload.len(), max_bytes });
        }
        // Not used again even if this fails: a torn file of that number may stay behind.
        self.generation += 1;
        let generation = self.generation;
        let file = self.file_name(generation);
        self.write_file(&file, &self.encode(generation, payload))?;
        self.whole.push(generation);
        while self.whole.len() > MAX_RETAINED {
            let oldest = self.whole.remove(0);
            // One that stays costs its bytes and is tried again at the next opening.
            let _ = self.disk.remove(&self.file_name(oldest));
        }
        Ok(generation)
    }

    /// The greatest generation seen or written.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The disk.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// The disk, to be changed by tests.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    fn file_name(&self, generation: u64) -> String {
        format!("{}.{generation:0GENERATION_DIGITS$}", self.name)
    }

    fn generation_of(&self, file: &str) -> Option<u64> {
        let number = file.strip_prefix(&self.name)?.strip_prefix('.')?;
        (number.len() == GENERATION_DIGITS).then(|| number.parse().ok()).flatten()
    }

    fn read(&self, generation: u64) -> Result<Snapshot, ReadError> {
        let bytes = self.disk.read(&self.file_name(generation), HEAD_BYTES + self.max_payload_bytes)?;
        self.decode(generation, &bytes)
    }

    fn encode(&self, generation: u64, payload: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_BYTES + payload.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&FILE_FORMAT.to_le_bytes());
        bytes.extend_from_slice(&self.payload_format.to_le_bytes());
        bytes.extend_from_slice(&generation.to_le_bytes());
        bytes.extend_from_slice(&(payload.len() as u64).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
        bytes.extend_from_slice(payload);
        bytes
    }

    fn decode(&self, generation: u64, bytes: &[u8]) -> Result<Snapshot, ReadError> {
        let Some((head, payload)) = bytes.split_at_checked(HEAD_BYTES) else {
            return Err(ReadError::TooShort);
        };
        if !head.starts_with(MAGIC) {
            return Err(ReadError::Foreign);
        }
        if crc32fast::hash(&head[..HEAD_CHECKSUM_AT]) != u32::from_le_bytes(field(head, HEAD_CHECKSUM_AT)) {
            return Err(ReadError::HeadChecksum);
        }
        let file_format = u16::from_le_bytes(field(head, FILE_FORMAT_AT));
        let payload_format = u16::from_le_bytes(field(head, PAYLOAD_FORMAT_AT));
        if file_format > FILE_FORMAT || payload_format > self.payload_format {
            return Err(ReadError::NewerFormat { file_format, payload_format });
        }
        let stored_generation = u64::from_le_bytes(field(head, GENERATION_AT));
        if stored_generation != generation {
            return Err(ReadError::WrongGeneration(stored_generation));
        }
        let expected = u64::from_le_bytes(field(head, LENGTH_AT));
        if payload.len() as u64 != expected {
            return Err(ReadError::Length { found: payload.len(), expected });
        }
        if crc32fast::hash(payload) != u32::from_le_bytes(field(head, PAYLOAD_CHECKSUM_AT)) {
            return Err(ReadError::PayloadChecksum);
        }
        Ok(Snapshot { generation, payload_format, payload: payload.to_vec() })
    }

    /// Writes a file under a temporary name, syncs it, renames it and syncs the folder.
    fn write_file(&mut self, file: &str, bytes: &[u8]) -> Result<(), SaveError> {
        let temporary = format!("{}.{TEMPORARY}", self.name);
        let written = self.disk.write(&temporary, bytes).and_then(|()| self.disk.sync(&temporary));
        if let Err(error) = written.and_then(|()| self.disk.rename(&temporary, file)) {
            // The next save writes over what stays; removing it frees a full disk.
            let _ = self.disk.remove(&temporary);
            return Err(SaveError::NotSaved(error));
        }
        if let Err(error) = self.disk.sync_folder() {
            // Guards against a commit that was reported as failed and is there after a restart.
            let removed = self.disk.remove(file).and_then(|()| self.disk.sync_folder());
            return Err(match removed {
                Ok(()) => SaveError::NotSaved(error),
                Err(_) => SaveError::Uncertain(error),
            });
        }
        Ok(())
    }
}

/// The bytes of the head from that place on.
fn field<const N: usize>(head: &[u8], at: usize) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&head[at..at + N]);
    bytes
}
