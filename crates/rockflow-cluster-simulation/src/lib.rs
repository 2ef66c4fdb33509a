//! Simulates clusters in virtual time, by seeded schedules of requests and faults. Members are killed, restart with
//! empty memory, are paused and resumed, and paths between them are cut one way or both; frames are lost, late,
//! duplicated and reordered; clients retry at another dispatcher under the same request id. The state machine under
//! test is the production code. Safety violations are detected from what hosts and clients observe.

pub mod faults;
pub mod summary;
pub mod world;

pub use faults::{Faults, MIXED_FAULTS, NO_FAULTS};
pub use summary::{Scenario, Summary};
pub use world::{Observations, Violation, World};
