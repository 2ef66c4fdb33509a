//! The management side of a dispatcher, without I/O: datastores, sessions, locks, commits, access rules and
//! subscriptions.
//!
//! The caller passes the time to each call, as Unix time that advances with the dispatcher's monotonic clock. State
//! that has to survive a restart is written through the trait [`SnapshotStorage`].
//!
//! [`Management`] holds the datastores and sessions; [`Access`] is the compiled form of a configuration's access
//! rules; [`Subscription`] decides what a subscriber is sent and when.

pub mod access;
mod candidate;
mod confirmed_commit;
mod datastore;
mod error;
mod history;
mod lock;
mod management;
mod notification;
pub mod overrides;
pub mod record;
mod session;
mod storage;
pub mod subscription;
pub mod timestamp;
mod validation;

pub use access::{Access, Operation};
pub use confirmed_commit::{CommitOptions, PendingCommitInfo, DEFAULT_CONFIRM_TIMEOUT};
pub use datastore::{ConfigSource, Datastore, EditMode, ErrorOption, StartupMode};
pub use error::{AccessRuleError, ErrorTag, ManagementError, RestoreError, RestoreWarning};
pub use history::{Commit, Origin};
pub use lock::{LockInfo, PartialLockGrant};
pub use management::{Management, ManagementOptions, Restored};
pub use notification::{ConfirmedCommitEvent, Notification};
pub use session::{Operator, Protocol, SessionEndReason, SessionId, SessionInfo};
pub use storage::{SnapshotStorage, VolatileStorage};
pub use subscription::{ChangedValue, Subscription, Trigger, Update};
pub use validation::ValidationContext;
