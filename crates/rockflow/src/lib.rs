//! rockflow decides where objects are served, kept and filled from. It does no I/O: a caller hands events in
//! with their time and carries out the actions that come back.

pub mod interface;
pub mod rules;

pub use interface::{Action, Deployment, Event};
pub use rules::Dispatcher;
