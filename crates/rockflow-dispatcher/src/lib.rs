//! The rockflow dispatcher on sockets, to be embedded: actors on `may` that carry out what the decisions say.
//!
//! [`Service`] is the program from start to exit. Each actor runs in a coroutine, owns its state and is reached through
//! its [`mailbox::Mailbox`]; the messages of an actor lie beside it.
//!
//! | actor | owns |
//! | --- | --- |
//! | [`decision::DecisionActor`] | the decisions, open requests, deadlines, health checks, the hosts' mailboxes |
//! | [`endpoint_list::EndpointListActor`] | the endpoint list and its administrative overrides |
//! | [`discovery::DiscoveryClient`] | the connection to the discovery service |
//! | [`client`] | one connection of a client |
//! | [`host::HostActor`] | the connections to one host, and what waits for one |
//! | [`upstream`] | one connection to a host |

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
pub mod phase;
pub mod purge;
pub mod purge_backlog;
pub mod purge_follower;
pub mod send_permit;
pub mod service;
pub mod status;
mod supervisor;
pub mod timer;
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
