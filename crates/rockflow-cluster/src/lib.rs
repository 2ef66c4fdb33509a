//! Dispatchers that know of each other, without I/O: who is a member, who owns which request, what its replicas record of
//! it, and who completes it when its owner is lost. Time is passed in with each call, as a span since the start of the
//! caller's clock.
//!
//! Safety does not rest on clocks: an at-most-once request is never executed twice and no request gets two different
//! final answers, whatever is lost, late, duplicated, paused or restarted with empty memory. Time decides only how soon
//! another member takes over, and how long a record is retained.
//!
//! [`ClusterNode`] is a whole member. Inside it, [`Membership`] says who is present, [`Replica`] and [`OwnedRequest`] are
//! the two sides of a record, [`Votes`] says which votes count where memory can be lost, and [`succession()`] what becomes
//! of the request of a lost owner.

pub mod config;
pub mod identity;
pub mod membership;
pub mod message;
pub mod node;
pub mod owned_request;
pub mod record;
pub mod replica;
pub mod succession;
pub mod votes;

pub use config::ClusterConfig;
pub use identity::{Ballot, Identity, Incarnation, MemberId, RequestId};
pub use membership::{Change, Membership, MembershipStatus};
pub use message::{Message, RejectionReason, StateTransfer, Step, TransferredRecord};
pub use node::{ClusterNode, Counts, Output};
pub use owned_request::{OwnedRequest, Phase, QuorumEvent};
pub use record::{Answer, EffectKind, Outcome, Record, RequestDescriptor, RequestProgress, StartedAttempt};
pub use replica::Replica;
pub use succession::{succession, Succession};
pub use votes::{KnownIncarnations, Votes};
