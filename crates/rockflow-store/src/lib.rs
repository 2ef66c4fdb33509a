//! Durable state of rockflow: complete snapshots, numbered by generations that only increase.
//!
//! A snapshot is written under a temporary name and synced; then the file is renamed and the folder synced. A process
//! killed at any step therefore leaves either the previous snapshot or the new one, complete. A file that can't be read
//! is skipped and reported; it is never repaired or overwritten.
//!
//! [`Store`] does all its I/O through the trait [`Disk`]. [`Folder`] implements it on the file system;
//! [`faulty::FaultyDisk`] implements it in memory for tests, with faults and data loss that a test chooses.

pub mod disk;
pub mod faulty;
pub mod snapshot;

pub use disk::{Disk, Folder};
pub use snapshot::{Opened, ReadError, SaveError, Snapshot, Store, UnreadableSnapshot};
