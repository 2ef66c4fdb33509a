//! A disk in memory for tests: it fails at the steps that a test names, and after a crash it retains only what was
//! synced, or any part of the rest that a real one might have retained.

use crate::disk::Disk;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// What a crash leaves of bytes that were written and not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedBytes {
    /// Nothing: the bytes that were synced last.
    Lost,
    /// The first half.
    Half,
    /// The length, with zeros for bytes.
    Zeros,
    /// All of them.
    All,
}

impl UnsyncedBytes {
    /// Each of them.
    pub const EACH: [UnsyncedBytes; 4] =
        [UnsyncedBytes::Lost, UnsyncedBytes::Half, UnsyncedBytes::Zeros, UnsyncedBytes::All];
}

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    synced: Option<Vec<u8>>,
}

impl File {
    fn after_crash(&self, unsynced: UnsyncedBytes) -> File {
        let bytes = match unsynced {
            _ if self.synced.as_ref() == Some(&self.bytes) => self.bytes.clone(),
            UnsyncedBytes::Lost => self.synced.clone().unwrap_or_default(),
            UnsyncedBytes::Half => self.bytes[..self.bytes.len() / 2].to_vec(),
            UnsyncedBytes::Zeros => vec![0; self.bytes.len()],
            UnsyncedBytes::All => self.bytes.clone(),
        };
        File { synced: Some(bytes.clone()), bytes }
    }
}

/// A change of names; files are numbers.
#[derive(Clone, Debug)]
enum NameChange {
    Link(String, usize),
    Rename(String, String),
    Unlink(String),
}

/// A folder in memory that fails as tests tell it to.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    unsynced_changes: Vec<NameChange>,
    /// Changes and syncs that were requested so far.
    steps: usize,
    /// The process dies at this step: nothing from it on is done.
    dies_at: Option<usize>,
    /// These steps fail, and do nothing.
    fails_at: BTreeSet<usize>,
    /// Bytes that fit; a write past that is cut and fails.
    capacity: Option<usize>,
    read_only: bool,
}

impl FaultyDisk {
    /// The process dies so many steps from now: that step and all after it fail.
    pub fn dying_at(mut self, step: usize) -> FaultyDisk {
        self.dies_at = Some(self.steps + step);
        self
    }

    /// Those steps from now fail, and no others.
    pub fn failing_at(mut self, steps: impl IntoIterator<Item = usize>) -> FaultyDisk {
        self.fails_at = steps.into_iter().map(|step| self.steps + step).collect();
        self
    }

    /// So many bytes fit.
    pub fn with_capacity(mut self, bytes: usize) -> FaultyDisk {
        self.capacity = Some(bytes);
        self
    }

    /// All changes fail.
    pub fn read_only(mut self) -> FaultyDisk {
        self.read_only = true;
        self
    }

    /// Changes and syncs that were requested so far.
    pub fn steps(&self) -> usize {
        self.steps
    }

    /// How many changes of names are not durable yet.
    pub fn unsynced_names(&self) -> usize {
        self.unsynced_changes.len()
    }

    /// Whether the step was reached at which the process dies.
    pub fn has_died(&self) -> bool {
        self.dies_at.is_some_and(|step| self.steps > step)
    }

    /// The disk as a new process finds it after a crash: the first so many unsynced changes of names are durable,
    /// and `unsynced` says what is left of unsynced bytes.
    pub fn after_crash(&self, name_changes: usize, unsynced: UnsyncedBytes) -> FaultyDisk {
        let mut names = self.synced_names.clone();
        for change in self.unsynced_changes.iter().take(name_changes) {
            apply_name_change(&mut names, change);
        }
        FaultyDisk {
            files: self.files.iter().map(|file| file.after_crash(unsynced)).collect(),
            names: names.clone(),
            synced_names: names,
            ..FaultyDisk::default()
        }
    }

    /// Adds a file, synced.
    pub fn plant(&mut self, name: &str, bytes: &[u8]) {
        self.files.push(File { bytes: bytes.to_vec(), synced: Some(bytes.to_vec()) });
        self.names.insert(name.to_string(), self.files.len() - 1);
        self.synced_names.insert(name.to_string(), self.files.len() - 1);
    }

    /// The bytes of a file as they are now.
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        self.names.get(name).map(|file| self.files[*file].bytes.as_slice())
    }

    /// The names as they are now.
    pub fn names(&self) -> Vec<String> {
        self.names.keys().cloned().collect()
    }

    /// Counts a step, and fails where it is to fail.
    fn begin_step(&mut self) -> io::Result<()> {
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

    fn file_or_new(&mut self, name: &str) -> usize {
        if let Some(file) = self.names.get(name) {
            return *file;
        }
        self.files.push(File::default());
        let file = self.files.len() - 1;
        self.change_names(NameChange::Link(name.to_string(), file));
        file
    }

    fn change_names(&mut self, change: NameChange) {
        apply_name_change(&mut self.names, &change);
        self.unsynced_changes.push(change);
    }

    fn file(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }
}

fn apply_name_change(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Link(name, file) => {
            names.insert(name.clone(), *file);
        }
        NameChange::Rename(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        NameChange::Unlink(name) => {
            names.remove(name);
        }
    }
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        let bytes = &self.files[self.file(name)?].bytes;
        if bytes.len() > max_bytes {
            return Err(io::Error::from(io::ErrorKind::FileTooLarge));
        }
        Ok(bytes.clone())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.begin_step()?;
        let file = self.file_or_new(name);
        let used: usize = self.names.values().map(|file| self.files[*file].bytes.len()).sum();
        let used_by_others = used - self.files[file].bytes.len();
        let free = self.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(used_by_others));
        let written = bytes.len().min(free);
        self.files[file].bytes = bytes[..written].to_vec();
        if written < bytes.len() {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.begin_step()?;
        let file = self.file(name)?;
        self.files[file].synced = Some(self.files[file].bytes.clone());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_step()?;
        self.file(from)?;
        self.change_names(NameChange::Rename(from.to_string(), to.to_string()));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_step()?;
        self.file(name)?;
        self.change_names(NameChange::Unlink(name.to_string()));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.begin_step()?;
        for change in std::mem::take(&mut self.unsynced_changes) {
            apply_name_change(&mut self.synced_names, &change);
        }
        Ok(())
    }
}
