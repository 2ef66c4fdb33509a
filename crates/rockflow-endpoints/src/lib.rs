//! The endpoint registry: merges the endpoint list of the discovery service with administrative overrides, without I/O.
//!
//! | in the endpoint list | override | effective readiness | source |
//! | --- | --- | --- | --- |
//! | not listed, or gone | any or none | not listed; an override is kept | - |
//! | ready | none, or expired | ready | discovery |
//! | ready | draining or gone | as the override | operator or control |
//! | draining | none, or expired | draining | discovery |
//! | draining | draining | draining | several |
//! | draining | gone | gone | operator or control |
//!
//! Overrides have two sources: the operators of this dispatcher, and the control nodes, which disseminate theirs to all
//! dispatchers. Neither source replaces the other; the most restrictive readiness applies. Losing the connection to
//! discovery changes nothing. An endpoint is identified by its name, so a replacement under another name inherits no
//! override.

mod availability;
mod overrides;
mod registry;

pub use availability::{apply_overrides, find_emptied_group, EmptiedGroup, ListedEndpoint};
pub use overrides::{
    effective_readiness, merge_readiness, AdminOverride, AdminOverrides, EffectiveReadiness, ReadinessSource,
};
pub use registry::{ControlUpdate, EndpointRegistry, RegistryEntry, RejectedOverride, MAX_CONTROL_OVERRIDES};
