//! Starts, signals, measures and stops processes for tests and benchmarks, and injects faults into the datagrams
//! between them.
//!
//! All sockets are bound to loopback addresses. Dropping the handle of a process kills the process.

pub mod datagrams;
mod fleet;
mod ports;
mod process;
mod usage;
mod wait;

pub use datagrams::Proxy;
pub use fleet::{Fleet, Layout, Member, Place, ServeError};
pub use ports::{free_tcp, free_udp};
pub use process::{Process, Signal, Start};
pub use usage::{cpu_time_of_threads, processor_waits, thread_names, Usage};
pub use wait::wait_until;
