//! Memory accounting by purpose. A [`Budget`] is a tree of purposes. Each has a cap, a guaranteed minimum (its floor),
//! and an amount that it may hold beyond its cap while its parent has room. Memory in use is accounted by a
//! [`Charge`] for one purpose, which releases its bytes when it is dropped. Memory pressure has levels; each level
//! ends at a lower use than it begins at.
//!
//! This package does not allocate, free or shed anything: it tells callers whether they may hold more memory, and how
//! high the pressure is.

pub mod budget;
pub mod growth;
pub mod heavy;
pub mod plan;
pub mod pressure;
pub mod purposes;

pub use budget::{Budget, Charge, PurposeUsage, Refused};
pub use growth::Growth;
pub use heavy::{HeavyHitter, HeavyHitters};
pub use plan::{AtCap, Plan, PurposeId, PurposeSpec};
pub use pressure::{Pressure, PressureLevel};
