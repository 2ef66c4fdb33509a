//! rockflow decides where objects are served, cached and filled from. It does no I/O: a caller hands in events with
//! their time and carries out the actions that come back.
//!
//! Every time is a span since the start of the caller's clock.

pub mod action;
pub mod config;
pub mod endpoints;
pub mod event;
pub mod ids;
pub mod rules;

pub use action::{Action, Attempt, CachePriority};
pub use config::{CacheStatusDetail, Class, DeploymentConfig, Effect, KeyScope, SlowStart, WeightMeaning};
pub use endpoints::{EndpointEntry, HostStatus, ListScope, Readiness, Role};
pub use event::{AttemptEnd, CacheStatus, Event, Outcome, PreviousAttempt, Request};
pub use ids::{AttemptNumber, CellId, ClassId, GroupId, HostId, LocationId, ObjectId, RequestId, TimerId};
pub use rules::Dispatcher;
