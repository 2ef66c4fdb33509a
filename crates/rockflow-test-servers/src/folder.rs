//! A temporary folder that only its owner can read.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of the next folder of this process, which makes its name unique.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A new folder below the system's temporary folder, with mode 0700, removed with its content when dropped.
pub struct TemporaryFolder {
    path: PathBuf,
}

impl TemporaryFolder {
    /// Creates a folder whose name holds `purpose`.
    ///
    /// # Panics
    /// If it can't be created.
    pub fn new(purpose: &str) -> TemporaryFolder {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("rockflow-{purpose}-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        std::fs::set_permissions(&path, Permissions::from_mode(0o700)).expect("its mode");
        TemporaryFolder { path }
    }

    /// The folder's path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The path of a file in the folder, which need not exist.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes a file with the given permission bits, and returns its path.
    ///
    /// # Panics
    /// If it can't be written.
    pub fn write(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.file(name);
        std::fs::write(&path, text).expect("a file");
        std::fs::set_permissions(&path, Permissions::from_mode(mode)).expect("its mode");
        path
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
