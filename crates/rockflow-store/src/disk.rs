//! The narrow interface to a folder of files.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::PathBuf;

/// A folder of files. Names are plain, without a separator. Nothing is durable before it is synced: neither a
/// file's bytes, nor, before the folder is, its name.
pub trait Disk {
    /// The names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a file, up to so many bytes; a longer one is an error.
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;
    /// Creates the file, or empties it, and writes it.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the file's bytes durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives the file another name, in place of a file that had it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes the file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all changes of names durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the file system, held by one process at a time.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Locked until it is dropped.
    _lock: File,
}

/// The file whose lock says that the folder is in use.
const LOCK_FILE: &str = "lock";

impl Folder {
    /// Opens the folder, which is created for its owner alone where it does not exist.
    ///
    /// # Errors
    /// Where it can't be used, or another process has it open: two dispatchers would write over each other's
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
                format!("{} is held by another process", path.display()),
            )),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl Disk for Folder {
    /// The names of all files.
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
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, format!("over {max_bytes} bytes")));
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
