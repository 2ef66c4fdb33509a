//! Restores the datastores at startup, before the dispatcher starts.

use crate::audit::{Audit, OpenAuditError};
use crate::operator_config::{ManagementSection, RestartFrom};
use crate::service::{Datastores, ManagementService, SetLogLevel, StorageBackend};
use rockflow_dispatcher::{Clock, ServiceHandle};
use rockflow_endpoints::AdminOverrides;
use rockflow_management::{
    record, Management, ManagementOptions, RestoreError, Restored, StartupMode, VolatileStorage,
};
use rockflow_store::{Folder, Opened, Store};
use rockflow_yang::Schema;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;
use tracing::{error, info, warn};

/// Base name of the snapshot files in their folder.
const SNAPSHOT_NAME: &str = "config";

/// The datastores can't be restored. An unusable folder is an error; it is not treated as an empty one.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The folder with the snapshots can't be opened or read.
    #[error("store {}: {source}", path.display())]
    Store {
        /// The folder's path.
        path: PathBuf,
        /// The error of the file operation.
        source: io::Error,
    },
    /// The latest readable snapshot holds no valid configuration.
    #[error("stored configuration: {0}")]
    Configuration(#[from] RestoreError),
    /// The audit file can't be opened for appending.
    #[error(transparent)]
    Audit(#[from] OpenAuditError),
}

/// The restored datastores and the opened audit log, not yet attached to a dispatcher.
pub struct RestoredState {
    datastores: Datastores,
    audit: Audit,
    clock: Clock,
}

struct OpenedStorage {
    backend: StorageBackend,
    payload: Option<Vec<u8>>,
}

impl RestoredState {
    /// Opens the storage and the audit log that the section names, and restores the datastores.
    ///
    /// # Errors
    /// Fails if the storage or the audit file can't be opened, or the stored configuration is invalid.
    pub fn open(clock: Clock, section: &ManagementSection) -> Result<RestoredState, OpenError> {
        let storage = match &section.store {
            None => OpenedStorage { backend: Box::new(VolatileStorage), payload: None },
            Some(path) => open_folder(path)?,
        };
        let options = ManagementOptions {
            schema: Arc::new(Schema::published()),
            owner: Some(section.owner.clone()),
            startup: match section.restart_from {
                RestartFrom::Startup => StartupMode::Separate,
                RestartFrom::Running => StartupMode::FollowsRunning,
            },
        };
        let payload = storage.payload.as_deref();
        let restored = Management::restore(clock.now(), options, storage.backend, payload)?;
        let Restored { management: datastores, warnings } = restored;
        for warning in warnings {
            warn!(%warning, "stored configuration adjusted during restore");
        }
        let overrides = datastores.administrative_overrides().len();
        info!(version = datastores.version(), overrides, "management datastores restored");
        Ok(RestoredState { datastores, audit: Audit::open(section.audit.as_deref())?, clock })
    }

    /// The administrative overrides that the dispatcher must apply from its first request on.
    pub fn administrative_overrides(&self) -> AdminOverrides {
        self.datastores.administrative_overrides()
    }

    /// Attaches the datastores to a running dispatcher. `set_log_level` is called when the configured level
    /// changes.
    pub fn into_service(
        self,
        dispatcher: ServiceHandle,
        set_log_level: SetLogLevel,
    ) -> Arc<ManagementService> {
        ManagementService::start(self.datastores, self.audit, self.clock, dispatcher, set_log_level)
    }
}

fn open_folder(path: &Path) -> Result<OpenedStorage, OpenError> {
    let error = |source: io::Error| OpenError::Store { path: path.to_path_buf(), source };
    let folder = Folder::open(path).map_err(error)?;
    let opened = Store::open(folder, SNAPSHOT_NAME, record::FORMAT_VERSION, record::MAX_PAYLOAD_BYTES);
    let Opened { store, snapshot, unreadable } = opened.map_err(error)?;
    for file in unreadable {
        error!(error = %file, folder = %path.display(), "unreadable snapshot skipped, using the last readable one");
    }
    let payload = snapshot.map(|snapshot| snapshot.payload);
    Ok(OpenedStorage { backend: Box::new(store), payload })
}
