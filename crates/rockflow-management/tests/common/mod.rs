//! Opens datastores on a simulated disk.

use rockflow_management::{record, Management, ManagementOptions, StartupMode};
use rockflow_store::faulty::FaultyDisk;
use rockflow_store::{Opened, Store};
use rockflow_yang::Schema;
use std::sync::Arc;
use std::time::Duration;

pub type DiskManagement = Management<Store<FaultyDisk>>;

/// Opens the snapshots on the disk, with the file name and format version that dispatchers use.
pub fn open_store(disk: FaultyDisk) -> Opened<FaultyDisk> {
    Store::open(disk, "config", record::FORMAT_VERSION, record::MAX_PAYLOAD_BYTES).unwrap()
}

/// Restores the datastores from the disk as a start of the process does. Skips a snapshot that can't be read.
pub fn restore(schema: &Arc<Schema>, disk: FaultyDisk, owner: &str, now: Duration) -> DiskManagement {
    let Opened { store, snapshot, .. } = open_store(disk);
    let payload = snapshot.map(|snapshot| snapshot.payload);
    let startup = StartupMode::FollowsRunning;
    let options = ManagementOptions { schema: schema.clone(), owner: Some(owner.into()), startup };
    Management::restore(now, options, store, payload.as_deref()).unwrap().management
}
