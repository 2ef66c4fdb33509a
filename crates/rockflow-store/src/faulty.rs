//! A disk in memory for tests. It fails at the steps that a test chooses. After a crash it retains what was synced, and
//! those unsynced changes that the test chooses among the ones that a real disk might retain.

use crate::disk::Disk;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// What a crash leaves of the bytes of a file that were written but not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedBytes {
    /// The file has the bytes that were synced last.
    Lost,
    /// The file has the first half of the written bytes.
    Half,
    /// The file has the written length, but all bytes are zero.
    Zeros,
    /// The file has all written bytes.
    All,
}

impl UnsyncedBytes {
    /// All cases, for tests that go through them.
    pub const EACH: [UnsyncedBytes; 4] =
        [UnsyncedBytes::Lost, UnsyncedBytes::Half, UnsyncedBytes::Zeros, UnsyncedBytes::All];
}

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// The bytes at the last sync. None: the file was never synced.
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

/// A change of file names. A file is identified by its index in [`FaultyDisk::files`].
#[derive(Clone, Debug)]
enum NameChange {
    Link(String, usize),
    Rename(String, String),
    Unlink(String),
}

/// A folder in memory whose faults a test chooses.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk {
    files: Vec<File>,
    /// By name: the index of the file.
    names: BTreeMap<String, usize>,
    /// The names at the last sync of the folder.
    synced_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the folder, in order.
    unsynced_changes: Vec<NameChange>,
    /// The number of steps so far: writes, renames, removals and syncs that were requested.
    steps: usize,
    /// The process dies at this step: it and all later ones fail and change nothing.
    dies_at: Option<usize>,
    /// These steps fail and change nothing.
    fails_at: BTreeSet<usize>,
    /// The bytes that all files together may have. A write beyond that is cut short and fails. None: no limit.
    capacity: Option<usize>,
    read_only: bool,
}

impl FaultyDisk {
    /// Lets the process die after `step` more steps: the step after those and all later ones fail.
    pub fn dying_at(mut self, step: usize) -> FaultyDisk {
        self.dies_at = Some(self.steps + step);
        self
    }

    /// Lets the given steps fail, and no others. They are counted from now on, beginning with 0.
    pub fn failing_at(mut self, steps: impl IntoIterator<Item = usize>) -> FaultyDisk {
        self.fails_at = steps.into_iter().map(|step| self.steps + step).collect();
        self
    }

    /// Limits the bytes that all files together may have.
    pub fn with_capacity(mut self, bytes: usize) -> FaultyDisk {
        self.capacity = Some(bytes);
        self
    }

    /// Lets all changes and syncs fail, while reading still works.
    pub fn read_only(mut self) -> FaultyDisk {
        self.read_only = true;
        self
    }

    /// The number of steps so far: writes, renames, removals and syncs that were requested, including failed ones.
    pub fn steps(&self) -> usize {
        self.steps
    }

    /// The number of changes of names that are not durable yet.
    pub fn unsynced_names(&self) -> usize {
        self.unsynced_changes.len()
    }

    /// Whether the process has reached the step at which it dies.
    pub fn has_died(&self) -> bool {
        self.dies_at.is_some_and(|step| self.steps > step)
    }

    /// The disk as a new process finds it after a crash. The first `name_changes` of the unsynced changes of names are
    /// durable, and `unsynced` determines what remains of unsynced bytes. The new disk has no faults.
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

    /// Adds a synced file, or replaces the one of that name. Counts no step.
    pub fn insert_synced(&mut self, name: &str, bytes: &[u8]) {
        self.files.push(File { bytes: bytes.to_vec(), synced: Some(bytes.to_vec()) });
        self.names.insert(name.to_string(), self.files.len() - 1);
        self.synced_names.insert(name.to_string(), self.files.len() - 1);
    }

    /// The present bytes of a file, synced or not. None if there is no such file.
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        self.names.get(name).map(|file| self.files[*file].bytes.as_slice())
    }

    /// The present names of all files, synced or not, in alphabetical order.
    pub fn names(&self) -> Vec<String> {
        self.names.keys().cloned().collect()
    }

    /// Counts a step, and returns an error if the step is to fail.
    fn begin_step(&mut self) -> io::Result<()> {
        let step = self.steps;
        if self.dies_at.is_some_and(|dies_at| step >= dies_at) {
            self.steps = self.steps.max(step + 1);
            return Err(io::Error::other("the process has died"));
        }
        self.steps += 1;
        if self.read_only {
            return Err(io::Error::from(io::ErrorKind::ReadOnlyFilesystem));
        }
        if self.fails_at.contains(&step) {
            return Err(io::Error::other("injected failure"));
        }
        Ok(())
    }

    /// The index of the file of that name, which is created if there is none.
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

    /// The index of the file of that name.
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
