//! The rockflow dispatcher as an embeddable library: actors on `may` coroutines that do the network I/O for
//! the routing decisions.
//!
//! [`Service`] is a running dispatcher, from start to graceful shutdown. Each actor runs in a coroutine, owns
//! its state and receives messages through its [`mailbox::Mailbox`]; its message type is defined in the
//! module next to it.
//!
//! | actor | owns |
//! | --- | --- |
//! | [`decision::DecisionActor`] | routing decisions, open requests, deadlines, health checks |
//! | [`endpoint_list::EndpointListActor`] | the endpoint list and its administrative overrides |
//! | [`discovery::DiscoveryClient`] | the connection to the discovery service |
//! | [`client`] | one client connection |
//! | [`host::HostsActor`] | the connections to each host in use, and the attempts that wait for one |
//! | [`upstream`] | one upstream connection to a host |

pub mod attempt;
pub mod backpressure;
pub mod caps;
pub mod client;
pub mod clock;
pub mod config;
pub mod connection_pool;
pub mod decision;
pub mod discovery;
pub mod endpoint;
pub mod endpoint_list;
pub mod handle;
pub mod host;
pub mod listener;
pub mod mailbox;
pub mod memory;
pub mod phase;
pub mod purge;
pub mod purge_backlog;
pub mod purge_follower;
pub mod send_permit;
pub mod service;
pub mod status;
mod supervisor;
pub mod timer;
mod turns;
pub mod upstream;

pub use clock::Clock;
pub use config::{Config, ConfigError};
pub use discovery::DiscoveryStatus;
pub use handle::ServiceHandle;
pub use phase::Phase;
pub use purge::{Purge, PurgeTimestamp};
pub use purge_follower::{ObservedPurge, PurgeFollower};
pub use service::Service;
pub use status::{FillLevel, OutcomeCounts, StatusReport};
