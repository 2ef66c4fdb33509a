//! The interface to durable storage of snapshots.

use rockflow_store::{Disk, SaveError, Store};

/// Durable storage of one snapshot.
pub trait SnapshotStorage {
    /// Replaces the stored payload. Once this has returned without an error, a restart restores the new payload; after
    /// an error it may restore either.
    fn save(&mut self, payload: &[u8]) -> Result<(), SaveError>;
}

/// Storage that keeps nothing, for a dispatcher whose datastores need not survive a restart.
#[derive(Debug, Default)]
pub struct VolatileStorage;

impl SnapshotStorage for VolatileStorage {
    fn save(&mut self, _: &[u8]) -> Result<(), SaveError> {
        Ok(())
    }
}

impl<D: Disk> SnapshotStorage for Store<D> {
    fn save(&mut self, payload: &[u8]) -> Result<(), SaveError> {
        Store::save(self, payload).map(|_| ())
    }
}

impl<T: SnapshotStorage + ?Sized> SnapshotStorage for Box<T> {
    fn save(&mut self, payload: &[u8]) -> Result<(), SaveError> {
        (**self).save(payload)
    }
}
