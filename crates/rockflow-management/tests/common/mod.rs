//! Datastores on a disk in memory.

use rockflow_management::{record, Management, ManagementOptions, StartupMode};
use rockflow_store::faulty::FaultyDisk;
use rockflow_store::{Opened, Store};
use rockflow_yang::Schema;
use std::sync::Arc;
use std::time::Duration;

pub type DiskManagement = Management<Store<FaultyDisk>>;

/// The snapshots on the disk, under the names and formats of the program.
pub fn open_store(disk: FaultyDisk) -> Opened<FaultyDisk> {
    Store::open(disk, "config", record::FORMAT_VERSION, record::MAX_PAYLOAD_BYTES).unwrap()
}

/// The datastores that a process finds at its start; a snapshot that can't be read is skipped.
pub fn restore(schema: &Arc<Schema>, disk: FaultyDisk, owner: &str, now: Duration) -> DiskManagement {
    let Opened { store, snapshot, .. } = open_store(disk);
    let payload = snapshot.map(|snapshot| snapshot.payload);
    let startup = StartupMode::FollowsRunning;
    let options = ManagementOptions { schema: schema.clone(), owner: Some(owner.into()), startup };
    Management::restore(now, options, store, payload.as_deref()).unwrap().management
}
