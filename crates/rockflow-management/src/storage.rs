//! The narrow interface to durable storage.

use rockflow_store::{Disk, SaveError, Store};

/// Where a snapshot is stored. Once `save` has returned without an error, a restart comes back with the payload.
pub trait SnapshotStorage {
    /// Stores the payload in place of the one before.
    fn save(&mut self, payload: &[u8]) -> Result<(), SaveError>;
}

/// Storage that lasts as long as the process: it stores nothing.
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
