//! rockflow decides where objects are served, cached and filled from. It does no I/O: a caller hands in events with
//! their time and carries out the actions that come back. Every time is a span since the start of the caller's clock.
//!
//! [`Dispatcher`] is the entry point. What goes in and out of it:
//!
//! | module | holds |
//! | --- | --- |
//! | [`config`] | the configuration of a deployment |
//! | [`event`] | what the decisions are informed of |
//! | [`action`] | what they want done |
//! | [`endpoints`] | hosts, as discovery lists them and as status reports show them |
//! | [`ids`] | identifiers |
//!
//! Which private module decides what:
//!
//! | module | decides |
//! | --- | --- |
//! | `dispatcher` | what each event sets off; when a failed subscription to the endpoint list is tried again |
//! | `attempts` | the next attempt of a request: where it goes, what it asks for, its timeout; when a request is given up |
//! | `placement` | which cache serves and which source fills: rendezvous hashing, spreading of hot objects, passing on |
//! | `effects` | whether an attempt may be repeated, until when, and whether a request may be rejected |
//! | `outcome` | what the end of an attempt says of its host, its source and the path between them |
//! | `health` | when a host is ejected as an outlier, and which requests try it again |
//! | `slow_start` | what a host with a cold cache may be sent |
//! | `load` | how loaded a cache is in relation to the capacity of its link |
//! | `concurrency` | how many fills are admitted while they come late |
//! | `source_path` | which limits a late fill bears on: the path from its source, the link, or what lies behind parents |
//! | `popularity` | which objects are popular, and which are hot |
//! | `class_stats` | transfer times of a class, and whether its large requests are under-served |
//! | `freshness` | the maximum age of an acceptable copy, by lifetime, grace and purges |
//! | `request` | when a request is late, and how long an ordinary attempt takes |
//! | `endpoint_table` | which hosts this dispatcher uses, and what an update of the list changes |
//! | `emit` | nothing: turns what is wanted of a request into actions |
//!
//! `state` holds together what is known (`RoutingState`), `host` what is known of one host, and `decay` the sums that all
//! rates are kept in.

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
