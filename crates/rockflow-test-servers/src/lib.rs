//! Stand-ins on loopback for the peers of a dispatcher, for tests and benchmarks: cache hosts, parents and origins, a
//! discovery service, clients that generate load, and keys and certificates for management sessions.
//!
//! Each server runs in its own thread, at a port that the operating system chooses, and stops when its handle is
//! dropped. A server that can't be set up panics.

pub mod keys;
pub mod memory;

mod discovery;
mod folder;
mod host;
mod load;
mod runtime;
mod site;

pub use discovery::DiscoveryServer;
pub use folder::TemporaryFolder;
pub use host::{Host, RecordedAttempt};
pub use load::{Load, LoadPhase, LoadSummary};
pub use site::Site;
