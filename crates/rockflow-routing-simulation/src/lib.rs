//! A fleet of dispatchers in virtual time, for tests and measurements.
//!
//! Each dispatcher holds the decisions alone, without sockets, and sees only its own part of the traffic. A test says how
//! hosts respond. The same seed gives the same course of events.
//!
//! - [`FleetSimulation`] runs the dispatchers, their requests and the hosts' responses.
//! - [`SlowStartHost`] judges what a host with a cold cache was sent by all of them.
//! - [`warm_up`] is a ready-made case: one such host before a fleet of any size.

mod deployment;
mod fleet;
mod slow_start_host;
pub mod warm_up;

pub use deployment::{deployment_config, endpoint_entry, DEADLINE, SLOW_START, STREAM_KB_PER_S};
pub use fleet::{
    FinalAnswer, FinalAnswerKind, FleetOptions, FleetSimulation, HostResponse, SentAttempt, SimulatedRequest,
};
pub use slow_start_host::SlowStartHost;
