//! The rockflow dispatcher on sockets, to be embedded: actors on `may` that carry what the decisions say.
//! `Service` is the program from start to exit; each other file holds one actor or one thing they share.

pub mod backpressure;
pub mod caps;
pub mod client;
pub mod clock;
pub mod config;
pub mod connection_pool;
pub mod decision;
pub mod discovery;
pub mod discovery_clock;
pub mod endpoint;
pub mod endpoint_list;
pub mod handle;
pub mod host;
pub mod listener;
pub mod mailbox;
pub mod messages;
pub mod phase;
pub mod purge;
pub mod purge_backlog;
pub mod purge_follower;
pub mod send_permit;
pub mod service;
pub mod status;
pub mod timer;
pub mod upstream;

pub use clock::Clock;
pub use config::Config;
pub use discovery::DiscoveryStatus;
pub use handle::ServiceHandle;
pub use phase::Phase;
pub use purge::{Purge, PurgeTimestamp};
pub use purge_follower::{ObservedPurge, PurgeFollower};
pub use service::Service;
pub use status::{FillLevel, OutcomeCounts, StatusReport};
