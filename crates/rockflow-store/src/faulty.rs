//! A disk in memory for tests: it fails at the steps it is told to, and after a crash it keeps only what was
//! synced, or any part of the rest that a real one might have kept.

use crate::disk;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// How a disk takes part in a crash: which of the unsynced things it had already made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bytes {
    Synced,
    Half,
    /// The length arrived, the bytes did not.
    Zeros,
    All,
}

pub const EVERY_BYTES: [Bytes; 4] = [Bytes::Synced, Bytes::Half, Bytes::Zeros, Bytes::All];

#[derive(Clone, Debug, Default)]
struct File {
    now: Vec<u8>,
    synced: Option<Vec<u8>>,
}

#[derive(Clone, Debug)]
enum Naming {
    Link(String, usize),
    Rename(String, String),
    Unlink(String),
}

#[derive(Clone, Debug, Default)]
pub struct Disk {
    files: Vec<File>,
    now: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    pending: Vec<Naming>,
    /// Changes and syncs asked for so far.
    steps: usize,
    /// The process dies at this step: nothing from it on is done.
    dies_at: Option<usize>,
    /// These steps fail, and do nothing.
    fails_at: BTreeSet<usize>,
    /// Bytes that fit; a write past that is cut and fails.
    room: Option<usize>,
    read_only: bool,
}

impl Disk {
    pub fn dying_at(mut self, step: usize) -> Disk {
        self.dies_at = Some(self.steps + step);
        self
    }

    pub fn failing_at(mut self, steps: impl IntoIterator<Item = usize>) -> Disk {
        self.fails_at = steps.into_iter().map(|step| self.steps + step).collect();
        self
    }

    pub fn with_room(mut self, bytes: usize) -> Disk {
        self.room = Some(bytes);
        self
    }

    pub fn read_only(mut self) -> Disk {
        self.read_only = true;
        self
    }

    pub fn steps(&self) -> usize {
        self.steps
    }

    /// Changes of names that are not durable yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    pub fn died(&self) -> bool {
        self.dies_at.is_some_and(|step| self.steps > step)
    }

    /// The disk as a new process finds it: the first so many changes of names were durable, and of unsynced
    /// bytes what is told.
    pub fn after_crash(&self, names: usize, bytes: Bytes) -> Disk {
        let mut kept = self.synced.clone();
        for naming in self.pending.iter().take(names) {
            name(&mut kept, naming);
        }
        let survive = |file: &File| {
            let old = file.synced.clone().unwrap_or_default();
            let now = match bytes {
                _ if file.synced.as_ref() == Some(&file.now) => file.now.clone(),
                Bytes::Synced => old,
                Bytes::Half => file.now[..file.now.len() / 2].to_vec(),
                Bytes::Zeros => vec![0; file.now.len()],
                Bytes::All => file.now.clone(),
            };
            File { synced: Some(now.clone()), now }
        };
        Disk {
            files: self.files.iter().map(survive).collect(),
            now: kept.clone(),
            synced: kept,
            ..Disk::default()
        }
    }

    /// Puts a file there, synced.
    pub fn plant(&mut self, name: &str, bytes: &[u8]) {
        self.files.push(File { now: bytes.to_vec(), synced: Some(bytes.to_vec()) });
        self.now.insert(name.to_string(), self.files.len() - 1);
        self.synced.insert(name.to_string(), self.files.len() - 1);
    }

    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        self.now.get(name).map(|file| self.files[*file].now.as_slice())
    }

    pub fn names(&self) -> Vec<String> {
        self.now.keys().cloned().collect()
    }

    fn step(&mut self) -> io::Result<()> {
        let step = self.steps;
        if self.dies_at.is_some_and(|at| step >= at) {
            self.steps = self.steps.max(step + 1);
            return Err(io::Error::other("the process is dead"));
        }
        self.steps += 1;
        if self.read_only {
            return Err(io::Error::from(io::ErrorKind::ReadOnlyFilesystem));
        }
        if self.fails_at.contains(&step) {
            return Err(io::Error::other("told to fail"));
        }
        Ok(())
    }

    fn file(&self, name: &str) -> io::Result<usize> {
        self.now.get(name).copied().ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

fn name(names: &mut BTreeMap<String, usize>, naming: &Naming) {
    match naming {
        Naming::Link(name, file) => {
            names.insert(name.clone(), *file);
        }
        Naming::Rename(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        Naming::Unlink(name) => {
            names.remove(name);
        }
    }
}

impl disk::Disk for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let bytes = &self.files[self.file(name)?].now;
        if bytes.len() > most {
            return Err(io::Error::from(io::ErrorKind::FileTooLarge));
        }
        Ok(bytes.clone())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let file = match self.now.get(name) {
            Some(file) => *file,
            None => {
                self.files.push(File::default());
                let file = self.files.len() - 1;
                self.now.insert(name.to_string(), file);
                self.pending.push(Naming::Link(name.to_string(), file));
                file
            }
        };
        let used: usize = self.now.values().map(|file| self.files[*file].now.len()).sum();
        let used = used - self.files[file].now.len();
        let fits = self.room.map_or(bytes.len(), |room| room.saturating_sub(used).min(bytes.len()));
        self.files[file].now = bytes[..fits].to_vec();
        if fits < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let file = self.file(name)?;
        self.files[file].synced = Some(self.files[file].now.clone());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        self.file(from)?;
        let naming = Naming::Rename(from.to_string(), to.to_string());
        name(&mut self.now, &naming);
        self.pending.push(naming);
        Ok(())
    }

    fn remove(&mut self, gone: &str) -> io::Result<()> {
        self.step()?;
        self.file(gone)?;
        let naming = Naming::Unlink(gone.to_string());
        name(&mut self.now, &naming);
        self.pending.push(naming);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        for naming in std::mem::take(&mut self.pending) {
            name(&mut self.synced, &naming);
        }
        Ok(())
    }
}
