//! Dissemination on sockets: its frames, and the thread in which its machine lives.

pub mod carry;
pub mod frame;

pub use carry::{Link, Plan, Tally, WeakLink, Word};
pub use frame::{Bounds, Frame};
