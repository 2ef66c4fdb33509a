//! The one way in which tests and measurements start, fault, measure and stop processes, and fault the datagrams between
//! them. Loopback only; what was started is stopped when its handle is dropped, by its id.

pub mod datagrams;
mod fleet;
mod ports;
mod process;
mod wait;

pub use datagrams::Proxy;
pub use fleet::{Fleet, Layout, Member, Place};
pub use ports::{free_tcp, free_udp};
pub use process::{cpu_time_of_threads, thread_names, Process, Signal, Start, Usage};
pub use wait::wait_until;
