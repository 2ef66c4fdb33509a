//! Seeded schedules of a cluster in virtual time: members that are killed, restarted with empty memory, paused and
//! resumed, cut off one way or both; frames that are lost, late, duplicated and overtaken; clients that ask again
//! elsewhere under the same id. The state machine under test is the one that runs; what must never happen is counted by
//! what hosts and clients observed.

pub mod faults;
pub mod summary;
pub mod world;

pub use faults::{Faults, CALM, ROUGH};
pub use summary::{Row, Summary};
pub use world::{Observations, Violation, World};
