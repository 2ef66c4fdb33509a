//! The interface to a folder of files, and its implementation on the file system.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// A folder of files. File names contain no path separator. Nothing survives a crash for certain before it is synced:
/// the bytes of a file need [`sync`](Disk::sync), its name needs [`sync_folder`](Disk::sync_folder).
pub trait Disk {
    /// The names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file. A file longer than `max_bytes` is an error.
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;
    /// Creates the file, or truncates an existing one, and writes the bytes to it.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the bytes of the file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames the file, and replaces a file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes the file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all creations, renames and removals of files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system, which only one process at a time can open.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Holds the lock of the folder until it is dropped.
    _lock: File,
}

/// The file that a process locks while it has the folder open.
const LOCK_FILE: &str = "lock";

impl Folder {
    /// Opens the folder. A folder that does not exist is created with access for its owner only.
    ///
    /// # Errors
    /// If the folder can't be used, or if another process has it open: two dispatchers would overwrite each other's
    /// state.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Folder> {
        let path = path.into();
        if !path.exists() {
            std::fs::create_dir_all(&path)?;
            #[cfg(unix)]
            {
                use std::os::unix::fs::PermissionsExt;
                std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700))?;
            }
        }
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path, _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(io::Error::new(
                io::ErrorKind::ResourceBusy,
                format!("{} is in use by another process", path.display()),
            )),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.extend(entry.file_name().into_string().ok());
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let file = File::open(self.path.join(name))?;
        file.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
        if bytes.len() > max_bytes {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                format!("longer than {max_bytes} bytes"),
            ));
        }
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut options = OpenOptions::new();
        options.create(true).truncate(true).write(true);
        #[cfg(unix)]
        {
            use std::os::unix::fs::OpenOptionsExt;
            options.mode(0o600);
        }
        options.open(self.path.join(name))?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
