//! Snapshots by generation. A file is a head of fixed size, the payload, and nothing else:
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..8 | `rockflow` |
//! | 8..10 | the form of this file, little-endian |
//! | 10..12 | the version of the payload's own form |
//! | 12..20 | the generation, as in the file's name |
//! | 20..28 | the payload's length |
//! | 28..32 | CRC-32 of the payload |
//! | 32..36 | CRC-32 of all before this |

use crate::disk::Disk;
use std::fmt;
use std::io;

const MAGIC: &[u8; 8] = b"rockflow";
const FORM: u16 = 1;
const HEAD: usize = 36;
/// Snapshots that are kept: the one in force, and the one to fall back on.
const KEPT: usize = 2;
const ASIDE: &str = "aside";

/// What a store holds at its opening.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    pub generation: u64,
    pub version: u16,
    pub payload: Vec<u8>,
}

#[derive(Debug)]
pub enum Fault {
    /// Larger than what would be read back.
    TooLarge { bytes: usize, most: usize },
    /// It was not saved; what is durable is what was before.
    NotSaved(io::Error),
    /// It may or may not be durable, as the folder's sync failed and the new name could not be taken back. The
    /// next save settles it.
    Unsure(io::Error),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::TooLarge { bytes, most } => write!(f, "{bytes} bytes, over the cap of {most}"),
            Fault::NotSaved(what) => write!(f, "not saved: {what}"),
            Fault::Unsure(what) => write!(f, "perhaps not saved: {what}"),
        }
    }
}

pub struct Store<D> {
    disk: D,
    name: String,
    /// The payload's own form; newer ones are passed over.
    version: u16,
    most: usize,
    /// The greatest generation seen, read or not: what is written next is greater.
    generation: u64,
    /// Generations known to be whole, oldest first.
    whole: Vec<u64>,
}

impl<D: Disk> Store<D> {
    /// Opens the snapshots of that name, and hands out the newest that is whole, with a complaint for each newer
    /// one that is not. A disk that can't be listed is an error: nothing is known of it, so it must not be
    /// taken for an empty one.
    pub fn open(
        disk: D,
        name: &str,
        version: u16,
        most: usize,
    ) -> io::Result<(Store<D>, Option<Found>, Vec<String>)> {
        let mut store =
            Store { disk, name: name.to_string(), version, most, generation: 0, whole: Vec::new() };
        let mut generations: Vec<u64> =
            store.disk.list()?.iter().filter_map(|file| store.generation_of(file)).collect();
        generations.sort_unstable();
        store.generation = generations.last().copied().unwrap_or(0);
        let (mut found, mut complaints) = (None, Vec::new());
        for generation in generations.into_iter().rev() {
            let file = store.file(generation);
            let bytes = store.disk.read(&file, HEAD + most);
            let read =
                bytes.map_err(|what| what.to_string()).and_then(|bytes| store.judge(generation, &bytes));
            match read {
                Ok(whole) => {
                    store.whole.insert(0, generation);
                    found = found.or(Some(whole));
                }
                Err(what) if found.is_none() => complaints.push(format!("{file}: {what}")),
                Err(_) => {}
            }
        }
        Ok((store, found, complaints))
    }

    fn file(&self, generation: u64) -> String {
        format!("{}.{generation:020}", self.name)
    }

    fn generation_of(&self, file: &str) -> Option<u64> {
        let number = file.strip_prefix(&self.name)?.strip_prefix('.')?;
        (number.len() == 20).then(|| number.parse().ok()).flatten()
    }

    fn judge(&self, generation: u64, bytes: &[u8]) -> Result<Found, String> {
        let head = bytes.get(..HEAD).ok_or("shorter than a head")?;
        let word = |at: usize| u16::from_le_bytes([head[at], head[at + 1]]);
        let long = |at: usize| u64::from_le_bytes(head[at..at + 8].try_into().unwrap_or_default());
        let sum = |at: usize| u32::from_le_bytes(head[at..at + 4].try_into().unwrap_or_default());
        if &head[..8] != MAGIC {
            return Err("not a file of rockflow's".to_string());
        }
        if crc32fast::hash(&head[..HEAD - 4]) != sum(HEAD - 4) {
            return Err("the head's checksum does not hold".to_string());
        }
        if word(8) > FORM || word(10) > self.version {
            return Err(format!("of a newer form, {}.{}", word(8), word(10)));
        }
        if long(12) != generation {
            return Err(format!("holds generation {}", long(12)));
        }
        let payload = &bytes[HEAD..];
        if payload.len() as u64 != long(20) {
            return Err(format!("{} bytes of {}", payload.len(), long(20)));
        }
        if crc32fast::hash(payload) != sum(28) {
            return Err("the checksum does not hold".to_string());
        }
        Ok(Found { generation, version: word(10), payload: payload.to_vec() })
    }

    /// Makes the payload durable. Once this returns its generation, a restart comes back with it.
    pub fn save(&mut self, payload: &[u8]) -> Result<u64, Fault> {
        if payload.len() > self.most {
            return Err(Fault::TooLarge { bytes: payload.len(), most: self.most });
        }
        // Not used again even if this fails: a torn file of that number may stay behind.
        self.generation += 1;
        let generation = self.generation;
        let aside = format!("{}.{ASIDE}", self.name);
        let mut bytes = Vec::with_capacity(HEAD + payload.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&FORM.to_le_bytes());
        bytes.extend_from_slice(&self.version.to_le_bytes());
        bytes.extend_from_slice(&generation.to_le_bytes());
        bytes.extend_from_slice(&(payload.len() as u64).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
        bytes.extend_from_slice(payload);
        let file = self.file(generation);
        let written = self.disk.write(&aside, &bytes).and_then(|()| self.disk.sync(&aside));
        if let Err(what) = written.and_then(|()| self.disk.rename(&aside, &file)) {
            // What stays aside is written over next time; taking it away frees a full disk.
            let _ = self.disk.remove(&aside);
            return Err(Fault::NotSaved(what));
        }
        if let Err(what) = self.disk.sync_folder() {
            // Guards against a commit that was told to have failed and is there after a restart.
            let taken_back = self.disk.remove(&file).and_then(|()| self.disk.sync_folder());
            return Err(if taken_back.is_ok() { Fault::NotSaved(what) } else { Fault::Unsure(what) });
        }
        self.whole.push(generation);
        while self.whole.len() > KEPT {
            let old = self.whole.remove(0);
            // One that stays costs its bytes and is tried again at the next opening.
            let _ = self.disk.remove(&self.file(old));
        }
        Ok(generation)
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    pub fn disk(&self) -> &D {
        &self.disk
    }

    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}
