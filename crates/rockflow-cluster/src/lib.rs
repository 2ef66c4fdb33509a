//! Dispatchers that know of each other, without I/O: who is a member, who holds which call, what its keepers know of it,
//! and who ends it when its owner is lost. Time comes with each call, as a span since the start of the caller's clock.
//!
//! What must never happen does not rest on clocks: an irreversible request is never run twice and no call gets two
//! different final answers, whatever is lost, late, doubled, stopped or restarted with nothing. Time decides only how
//! soon somebody else takes over, and how long a record lasts.
//!
//! `Fleet` is a member put together. Inside, `Membership` says who is there, `Keeper` and `Holding` are the two sides of a
//! record, `Votes` says which votes count where memory can be lost, and `succession` what becomes of a lost owner's call.

pub mod fleet;
pub mod holding;
pub mod keeper;
pub mod membership;
pub mod messages;
pub mod successor;
pub mod votes;
pub mod words;

pub use fleet::{Counts, Fleet, Out};
pub use holding::{Holding, News, Phase};
pub use keeper::Keeper;
pub use membership::{Change, Membership, Standing};
pub use messages::{Lesson, Message, Refusal, Step, Taught};
pub use successor::{succession, Succession};
pub use votes::Votes;
pub use words::*;
