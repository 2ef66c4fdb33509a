//! rockflow decides where objects are served, cached and filled from. It does no I/O: the caller passes in timestamped
//! events and carries out the actions that are returned. Every timestamp is the time elapsed on the caller's clock.
//!
//! [`Dispatcher`] is the entry point. Its inputs and outputs:
//!
//! | module | contents |
//! | --- | --- |
//! | [`config`] | the configuration of a deployment |
//! | [`event`] | the inputs: requests, ends of attempts, endpoint lists, purges, timers |
//! | [`action`] | the outputs: attempts, cancellations, rejections, timers |
//! | [`endpoints`] | hosts, as discovery lists them and as status reports show them |
//! | [`ids`] | the identifiers that events and actions use |
//!
//! Responsibilities of the private modules:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `dispatcher` | handles each event; retries a failed subscription to the endpoint list |
//! | `attempts` | chooses the host, source, kind and timeout of the next attempt, or gives the request up |
//! | `placement` | chooses the serving cache and the source of a fill: rendezvous hashing, spreading, overflow |
//! | `effects` | decides whether an attempt may be repeated, until when, and whether a request may be rejected |
//! | `outcome` | updates health, load and fill statistics when an attempt ends |
//! | `health` | ejects a host as an outlier, and admits the requests that try it again |
//! | `slow_start` | limits the work sent to a host with a cold cache |
//! | `load` | measures the load of a cache relative to the capacity of its link |
//! | `concurrency` | limits concurrent fills while fills are late |
//! | `source_path` | charges a late fill to a limit: path from the source, local link, or fetches by parents |
//! | `popularity` | tells which objects are popular, and which are hot |
//! | `class_stats` | estimates the transfer times of a class; detects that its large requests are under-served |
//! | `freshness` | computes the maximum age of an acceptable copy from lifetime, grace and purges |
//! | `request` | tracks open requests and their attempts; computes objective, deadline and usual duration |
//! | `endpoint_table` | keeps the listed hosts, and tells which of them this dispatcher may use |
//! | `emit` | turns the decisions on a request into actions |
//!
//! `state` holds the whole routing state (`RoutingState`), `host` the state of one host, and `decay` the exponentially
//! decaying sums behind all rates.

pub mod action;
pub mod config;
pub mod endpoints;
pub mod event;
pub mod ids;

mod attempts;
mod class_stats;
mod concurrency;
mod decay;
mod dispatcher;
mod effects;
mod emit;
mod endpoint_table;
mod freshness;
mod health;
mod host;
mod load;
mod outcome;
mod placement;
mod popularity;
mod request;
mod slow_start;
mod source_path;
mod state;

pub use action::{Action, Attempt, CachePriority};
pub use config::{CacheStatusDetail, Class, DeploymentConfig, Effect, KeyScope, SlowStart, WeightMeaning};
pub use dispatcher::Dispatcher;
pub use endpoints::{EndpointEntry, HostStatus, ListScope, Readiness, Role};
pub use event::{AttemptEnd, CacheStatus, Event, Outcome, PreviousAttempt, Request};
pub use ids::{AttemptNumber, CellId, ClassId, GroupId, HostId, LocationId, ObjectId, RequestId, TimerId};
