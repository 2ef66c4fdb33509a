//! Durable state of rockflow: whole snapshots under generations that only grow. One is written aside, synced,
//! renamed to its name and the folder synced, so that a process killed at any step leaves the one before or the
//! new one, whole. What can't be read is passed over with a complaint, never repaired, and never written over.
//!
//! `Store` does no I/O but through the narrow trait `Disk`: `Folder` is one of the file system, `faulty::Disk`
//! one in memory that fails and forgets as told.

pub mod disk;
pub mod faulty;
pub mod snapshot;

pub use disk::{Disk, Folder};
pub use snapshot::{Fault, Found, Store};
