//! Durable state of rockflow: whole snapshots under generations that only grow.
//!
//! A snapshot is written under a temporary name, synced, renamed, and the folder synced, so that a process killed
//! at any step leaves the one before or the new one, whole. A file that can't be read is skipped and reported,
//! never repaired and never written over.
//!
//! [`Store`] does no I/O but through the narrow trait [`Disk`]: [`Folder`] is one of the file system,
//! [`faulty::FaultyDisk`] one in memory for tests, which fails and loses what tests tell it to.

pub mod disk;
pub mod faulty;
pub mod snapshot;

pub use disk::{Disk, Folder};
pub use snapshot::{Opened, ReadError, SaveError, Snapshot, Store, UnreadableSnapshot};
