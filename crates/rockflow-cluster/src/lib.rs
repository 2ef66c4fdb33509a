//! Cluster membership and replicated requests of dispatchers, without I/O: which members are present, which member owns
//! a request, what its replicas record about it, and which member completes it if its owner is lost. Every call that
//! depends on time takes the current time, as the span since the start of the caller's clock.
//!
//! Safety does not depend on clocks: an at-most-once request is never executed twice and no request gets two different
//! final answers, even if messages are lost, late or duplicated and members are paused or restart with empty memory.
//! Time only determines how soon another member takes over and how long a record is retained.
//!
//! [`ClusterNode`] is the state machine of one member. It combines [`Membership`], which tracks the members that are
//! present; [`Replica`] and [`OwnedRequest`], the replica's and the owner's side of a record; [`Votes`], which counts
//! the votes of members that can lose their memory; and [`takeover_action()`], which decides how the successor of a
//! lost owner proceeds with a request.

pub mod config;
pub mod identity;
pub mod membership;
pub mod message;
pub mod node;
pub mod owned_request;
pub mod record;
pub mod replica;
pub mod takeover_policy;
pub mod votes;

pub use config::ClusterConfig;
pub use identity::{Ballot, Identity, Incarnation, MemberId, RequestId};
pub use membership::{Change, Membership, MembershipStatus};
pub use message::{Message, RejectionReason, StateTransfer, Step, TransferredRecord};
pub use node::{ClusterNode, Counts, Output};
pub use owned_request::{OwnedRequest, Phase, QuorumEvent};
pub use record::{Answer, EffectKind, Outcome, Record, RequestDescriptor, RequestProgress, StartedAttempt};
pub use replica::Replica;
pub use takeover_policy::{takeover_action, TakeoverAction};
pub use votes::{KnownIncarnations, Votes};
