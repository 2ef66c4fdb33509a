//! Numbered dissemination with acknowledgement: purges and configuration go from a few control nodes through a tree of
//! dispatchers to all of them, each entry once in effect, and control knows what is done everywhere. Without I/O: frames
//! and time come in, frames and facts go out. `docs/design/dissemination.md` says what was weighed and what must hold.

pub mod children;
mod control;
pub mod directory;
mod effects;
mod entries;
pub mod everywhere;
pub mod following;
mod joining;
mod log;
pub mod made;
pub mod messages;
pub mod node;
pub mod outs;
pub mod pace;
pub mod publisher;
mod publishing;
mod pulses;
mod repairs;
pub mod reports;
pub mod settings;
mod sizes;
pub mod stream;
pub mod streams;
pub mod survey;
mod table_entries;
pub mod tables;
pub mod tickets;
pub mod words;

pub use directory::{Directory, Fault, Listed, Placement};
pub use messages::*;
pub use node::Node;
pub use outs::*;
pub use publisher::Publisher;
pub use publishing::MAX_UNSENT;
pub use survey::{ControlSurvey, HeldNow, StreamSurvey, Survey};
pub use words::*;
