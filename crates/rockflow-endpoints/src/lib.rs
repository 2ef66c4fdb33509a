//! The endpoint registry: merges the endpoint list of the discovery service with administrative overrides, without I/O.
//!
//! | discovery says | override says | effective readiness | decided by |
//! | --- | --- | --- | --- |
//! | not listed, or gone | anything | not listed; the override is held | - |
//! | ready | nothing, or expired | ready | discovery |
//! | ready | draining or gone | draining or gone | the override's source |
//! | draining | nothing, or expired | draining | discovery |
//! | draining | draining | draining | several |
//! | draining | gone | gone | the override's source |
//!
//! Overrides come from two sources, local operators and control (which disseminates them to all dispatchers). Neither
//! replaces the other; the more restrictive state wins. A lost connection to discovery changes nothing. An endpoint is
//! identified by its name, so a successor under another name inherits no override.

mod availability;
mod overrides;
mod registry;

pub use availability::{apply_overrides, find_emptied_group, EmptiedGroup, ListedEndpoint};
pub use overrides::{
    effective_readiness, merge_readiness, AdminOverride, AdminOverrides, EffectiveReadiness, ReadinessSource,
};
pub use registry::{ControlUpdate, EndpointRegistry, RegistryEntry, RejectedOverride, MAX_CONTROL_OVERRIDES};
