//! The management side of a dispatcher, without I/O: who may change what, what is changed when, and what comes
//! of it for the list of hosts. Time comes with each call, as a span on the dispatcher's clock (Unix time of
//! its start, counted on). What has to last goes through the narrow trait `Durable`.
//!
//! `Management` holds the datastores and sessions; `membership` merges what is said of a host; `Access` is the
//! rules compiled; `Subscription` says what a follower is owed and when.

pub mod access;
pub mod fault;
pub mod machine;
pub mod membership;
pub mod moment;
pub mod record;
pub mod subscription;

pub use access::{Access, Operation};
pub use fault::{Fault, Tag};
pub use machine::{
    Commit, Confirm, Datastore, Durable, ErrorOption, Management, Memory, Notice, Operator, Protocol,
    SessionId, Surroundings,
};
pub use membership::{Mark, Roll, Says};
pub use subscription::{Changed, Subscription, Trigger, Update};
