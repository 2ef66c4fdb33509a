//! A temporary folder that only its owner can access.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of the next folder, which makes the folder's name unique within the process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A new folder with mode 0700 in the system's temporary folder. It is removed with its content when the handle is
/// dropped.
pub struct TemporaryFolder {
    path: PathBuf,
}

impl TemporaryFolder {
    /// Creates a folder whose name contains `purpose`.
    ///
    /// # Panics
    /// If the folder can't be created.
    pub fn new(purpose: &str) -> TemporaryFolder {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("rockflow-{purpose}-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a new folder");
        std::fs::set_permissions(&path, Permissions::from_mode(0o700)).expect("mode 0700 of the folder");
        TemporaryFolder { path }
    }

    /// The path of the folder, which exists until the handle is dropped.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The path of a file in the folder, which need not exist.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes a file in the folder with the permission bits `mode`, and returns the path of the file.
    ///
    /// # Panics
    /// If the file can't be written.
    pub fn write(&self, name: &str, text: &str, mode: u32) -> PathBuf {
        let path = self.file(name);
        std::fs::write(&path, text).expect("a written file");
        std::fs::set_permissions(&path, Permissions::from_mode(mode)).expect("the mode of the file");
        path
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
