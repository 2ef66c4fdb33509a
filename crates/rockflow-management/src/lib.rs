//! The management side of a dispatcher, without I/O: who may change what, what is changed when, and what comes
//! of it for the list of hosts. Time comes with each call, as a span on the dispatcher's clock (Unix time of
//! its start, counted on). What has to last goes through the narrow trait `Durable`.
//!
//! `Management` holds the datastores and sessions; `marks` reads those of a configuration; `Access` is the
//! rules compiled; `Subscription` says what a follower is owed and when.

pub mod access;
pub mod fault;
pub mod machine;
pub mod marks;
pub mod moment;
pub mod record;
pub mod subscription;
pub mod words;

pub use access::{Access, Operation};
pub use fault::{Fault, Tag};
pub use machine::{Confirm, Datastore, Durable, ErrorOption, Management, Memory, Notice, Surroundings};
pub use subscription::{Changed, Subscription, Trigger, Update};
pub use words::{Commit, Operator, Origin, Protocol, SessionId};
