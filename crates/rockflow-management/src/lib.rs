//! The management side of a dispatcher, without I/O: who may change what, what is changed when, and what comes
//! of it for the list of hosts. Time comes with each call, as a span on the dispatcher's clock (Unix time of
//! its start, counted on). What has to last goes through the narrow trait `Durable`.
//!
//! `Management` holds the datastores and sessions; `marks` reads those of a configuration; `Access` is the
//! rules compiled; `Subscription` says what a follower is owed and when.

pub mod access;
pub mod error;
pub mod machine;
pub mod marks;
pub mod record;
pub mod subscription;
pub mod timestamp;
pub mod words;

pub use access::{Access, Operation};
pub use error::{ErrorTag, ManagementError};
pub use machine::{
    CommitOptions, Datastore, Durable, ErrorOption, Management, Memory, Notification, ValidationContext,
    DEFAULT_CONFIRM_TIMEOUT,
};
pub use subscription::{ChangedValue, Subscription, Trigger, Update};
pub use words::{Commit, Operator, Origin, Protocol, SessionId};
