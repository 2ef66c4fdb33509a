//! A fleet of dispatchers in virtual time, for tests and measurements.
//!
//! Each dispatcher runs only the decision logic (the crate `rockflow`), without sockets, and sees only its own share of
//! the traffic. A test determines how hosts respond. The same seed yields the same events.
//!
//! - [`FleetSimulation`] runs the dispatchers, their requests and the hosts' responses.
//! - [`SlowStartHost`] compares what all dispatchers sent to a host with a cold cache with what that host tolerates.
//! - [`warm_up`] simulates one such host that receives the traffic of a fleet of any size.

mod deployment;
mod fleet;
mod slow_start_host;
pub mod warm_up;

pub use deployment::{deployment_config, endpoint_entry, DEADLINE, SLOW_START, STREAM_KB_PER_S};
pub use fleet::{
    FinalAnswer, FinalAnswerKind, FleetOptions, FleetSimulation, HostResponse, SentAttempt, SimulatedRequest,
};
pub use slow_start_host::SlowStartHost;
