//! What a deployment is told, as the facts that the decisions and the network go by. One reading serves the
//! simulator's adapter and the dispatcher on sockets.

pub mod dotted;
pub mod facts;
pub mod wiring;

pub use dotted::Pairs;
pub use facts::{parse, Facts};
pub use wiring::Wiring;
