//! Memory by purpose. A `Budget` is a tree of purposes, each with a cap, a guaranteed minimum, and what it may
//! borrow of its parent beyond its cap. What is taken is a `Charge`, which gives back when it is dropped; nothing
//! is charged without a purpose. Pressure is graded, and rises earlier than it falls.
//!
//! Nothing here allocates, frees or sheds by itself: it says what may be held, and how short it is.

pub mod budget;
pub mod growth;
pub mod heavy;
pub mod plan;
pub mod pressure;
pub mod purposes;

pub use budget::{Budget, Charge, Refused, Row};
pub use growth::Growth;
pub use heavy::Heavy;
pub use plan::{AtCap, Declared, Plan, PurposeId};
pub use pressure::{Level, Pressure};
