//! Snapshots by generation. A snapshot file consists of a header of fixed size and the payload. All numbers are
//! little-endian:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..8 | `rockflow` |
//! | 8..10 | version of the file format |
//! | 10..12 | version of the payload format |
//! | 12..20 | generation, as in the file name |
//! | 20..28 | length of the payload in bytes |
//! | 28..32 | CRC-32 of the payload |
//! | 32..36 | CRC-32 of bytes 0..32 |

use crate::disk::Disk;
use std::io;
use thiserror::Error;

const MAGIC: &[u8; 8] = b"rockflow";
const FILE_FORMAT: u16 = 1;
const HEADER_BYTES: usize = 36;
// The offset of each field in the header.
const FILE_FORMAT_OFFSET: usize = 8;
const PAYLOAD_FORMAT_OFFSET: usize = 10;
const GENERATION_OFFSET: usize = 12;
const LENGTH_OFFSET: usize = 20;
const PAYLOAD_CHECKSUM_OFFSET: usize = 28;
const HEADER_CHECKSUM_OFFSET: usize = 32;
/// The number of retained snapshots: the newest, and one to fall back on if the newest can't be read.
const MAX_RETAINED: usize = 2;
/// The number of digits of the generation in a file name, padded with zeros.
const GENERATION_DIGITS: usize = 20;
/// The extension of the temporary file, which is renamed once it is complete and synced.
const TEMPORARY_EXTENSION: &str = "aside";

/// A snapshot that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The number of the snapshot: a later one has a greater number.
    pub generation: u64,
    /// The version of the format of the payload.
    pub payload_format: u16,
    /// The bytes that were passed to [`Store::save`].
    pub payload: Vec<u8>,
}

/// Why a payload was not saved.
#[derive(Debug, Error)]
pub enum SaveError {
    /// The payload is larger than the limit up to which a snapshot is read back.
    #[error("{bytes} bytes, over the cap of {max_bytes}")]
    TooLarge {
        /// The length of the payload in bytes.
        bytes: usize,
        /// The limit in bytes.
        max_bytes: usize,
    },
    /// The disk failed and the payload was not saved. The snapshots saved before are still durable.
    #[error("not saved: {0}")]
    NotSaved(#[source] io::Error),
    /// The payload may or may not be durable: the folder could not be synced, and the new file could not be removed
    /// durably either. The next successful save makes it irrelevant which of the two holds.
    #[error("perhaps not saved: {0}")]
    Uncertain(#[source] io::Error),
}

/// A snapshot file that was skipped.
#[derive(Debug, Error)]
#[error("{file}: {reason}")]
pub struct UnreadableSnapshot {
    /// The name of the file.
    pub file: String,
    /// Why the snapshot can't be used.
    #[source]
    pub reason: ReadError,
}

/// Why a snapshot file can't be used.
#[derive(Debug, Error)]
pub enum ReadError {
    /// Reading the file failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is shorter than a header.
    #[error("shorter than a header")]
    TooShort,
    /// The file does not begin with the magic bytes of a snapshot.
    #[error("not a file of rockflow")]
    WrongMagic,
    /// The header is damaged.
    #[error("the checksum of the header does not match")]
    HeaderChecksum,
    /// A newer version of the program wrote the file.
    #[error("has the newer format {file_format}.{payload_format}")]
    NewerFormat {
        /// The version of the file format.
        file_format: u16,
        /// The version of the payload format.
        payload_format: u16,
    },
    /// The generation in the header, given here, differs from that in the file name.
    #[error("contains generation {0}, which is not that of its name")]
    WrongGeneration(u64),
    /// The payload is shorter or longer than the header states.
    #[error("the payload has {found} bytes instead of {expected}")]
    Length {
        /// The length of the payload in bytes.
        found: usize,
        /// The length in the header, in bytes.
        expected: u64,
    },
    /// The payload is damaged.
    #[error("the checksum of the payload does not match")]
    PayloadChecksum,
}

/// The result of opening a store.
#[derive(Debug)]
pub struct Opened<D> {
    /// The store, ready for saving.
    pub store: Store<D>,
    /// The newest snapshot that is complete and undamaged. None: there is no such snapshot.
    pub snapshot: Option<Snapshot>,
    /// Files that are newer than `snapshot` and were skipped, the newest first.
    pub unreadable: Vec<UnreadableSnapshot>,
}

/// The snapshots of one name on a disk.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    name: String,
    /// The payload format that is written; snapshots of newer formats are skipped.
    payload_format: u16,
    max_payload_bytes: usize,
    /// The greatest generation found or used so far, even if its file is unreadable. The next save uses a greater one.
    generation: u64,
    /// Generations of the snapshots that are known to be readable, the oldest first.
    readable: Vec<u64>,
}

impl<D: Disk> Store<D> {
    /// Opens the snapshots of a name, and reads the newest one that is complete and undamaged.
    ///
    /// # Errors
    /// If the files of the disk can't be listed. Snapshots may exist, so the caller must not treat the store as empty.
    pub fn open(disk: D, name: &str, payload_format: u16, max_payload_bytes: usize) -> io::Result<Opened<D>> {
        let name = name.to_string();
        let mut store =
            Store { disk, name, payload_format, max_payload_bytes, generation: 0, readable: Vec::new() };
        let mut generations: Vec<u64> =
            store.disk.list()?.iter().filter_map(|file| store.generation_of(file)).collect();
        generations.sort_unstable();
        store.generation = generations.last().copied().unwrap_or(0);
        let mut newest = None;
        let mut unreadable = Vec::new();
        for generation in generations.into_iter().rev() {
            match store.read(generation) {
                Ok(snapshot) => {
                    store.readable.insert(0, generation);
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

    /// Saves the payload durably and returns its generation. From then on, a restart reads this payload or a later one.
    ///
    /// # Errors
    /// If the payload is too large, or the disk fails.
    pub fn save(&mut self, payload: &[u8]) -> Result<u64, SaveError> {
        if payload.len() > self.max_payload_bytes {
            let max_bytes = self.max_payload_bytes;
            return Err(SaveError::TooLarge { bytes: payload.len(), max_bytes });
        }
        // A generation is not used again even if this save fails, as an incomplete file of its name may remain.
        self.generation += 1;
        let generation = self.generation;
        let file = self.file_name(generation);
        self.write_file(&file, &self.encode(generation, payload))?;
        self.readable.push(generation);
        while self.readable.len() > MAX_RETAINED {
            let oldest = self.readable.remove(0);
            // A file that can't be removed only takes space; the next opening finds it, and a later save removes it.
            let _ = self.disk.remove(&self.file_name(oldest));
        }
        Ok(generation)
    }

    /// The greatest generation found on the disk or used by a save.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The disk that holds the snapshots.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// The disk that holds the snapshots, for tests that change it.
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
        let bytes = self.disk.read(&self.file_name(generation), HEADER_BYTES + self.max_payload_bytes)?;
        self.decode(generation, &bytes)
    }

    fn encode(&self, generation: u64, payload: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
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
        let Some((header, payload)) = bytes.split_at_checked(HEADER_BYTES) else {
            return Err(ReadError::TooShort);
        };
        if !header.starts_with(MAGIC) {
            return Err(ReadError::WrongMagic);
        }
        if crc32fast::hash(&header[..HEADER_CHECKSUM_OFFSET])
            != u32::from_le_bytes(header_field(header, HEADER_CHECKSUM_OFFSET))
        {
            return Err(ReadError::HeaderChecksum);
        }
        let file_format = u16::from_le_bytes(header_field(header, FILE_FORMAT_OFFSET));
        let payload_format = u16::from_le_bytes(header_field(header, PAYLOAD_FORMAT_OFFSET));
        if file_format > FILE_FORMAT || payload_format > self.payload_format {
            return Err(ReadError::NewerFormat { file_format, payload_format });
        }
        let stored_generation = u64::from_le_bytes(header_field(header, GENERATION_OFFSET));
        if stored_generation != generation {
            return Err(ReadError::WrongGeneration(stored_generation));
        }
        let expected = u64::from_le_bytes(header_field(header, LENGTH_OFFSET));
        if payload.len() as u64 != expected {
            return Err(ReadError::Length { found: payload.len(), expected });
        }
        if crc32fast::hash(payload) != u32::from_le_bytes(header_field(header, PAYLOAD_CHECKSUM_OFFSET)) {
            return Err(ReadError::PayloadChecksum);
        }
        Ok(Snapshot { generation, payload_format, payload: payload.to_vec() })
    }

    /// Writes a file under a temporary name, syncs it, renames it and syncs the folder.
    fn write_file(&mut self, file: &str, bytes: &[u8]) -> Result<(), SaveError> {
        let temporary = format!("{}.{TEMPORARY_EXTENSION}", self.name);
        let written = self.disk.write(&temporary, bytes).and_then(|()| self.disk.sync(&temporary));
        if let Err(error) = written.and_then(|()| self.disk.rename(&temporary, file)) {
            // Removing the temporary file frees space on a full disk. If it remains, the next save overwrites it.
            let _ = self.disk.remove(&temporary);
            return Err(SaveError::NotSaved(error));
        }
        if let Err(error) = self.disk.sync_folder() {
            // Removes the file, so that a commit reported as failed does not reappear after a restart.
            let removed = self.disk.remove(file).and_then(|()| self.disk.sync_folder());
            return Err(match removed {
                Ok(()) => SaveError::NotSaved(error),
                Err(_) => SaveError::Uncertain(error),
            });
        }
        Ok(())
    }
}

/// The `N` bytes of the header that begin at the offset.
fn header_field<const N: usize>(header: &[u8], offset: usize) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&header[offset..offset + N]);
    bytes
}
