//! The soak test of a dispatcher process among faulty peers, which checks the rules of the service at the sockets. The
//! benchmarks themselves are in the binary of this package.

pub mod soak;
