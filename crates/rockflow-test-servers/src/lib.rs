//! The peers of a dispatcher, played on loopback for tests and benchmarks: cache hosts and origins, a discovery service,
//! clients under load, and the keys and certificates of managers.
//!
//! Each server runs in a thread of its own, at a port that the operating system chooses, and stops when its handle is
//! dropped. Failures to set one up panic.

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
