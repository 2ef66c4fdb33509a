//! The configuration of the simulated deployment: one location, one class, and hosts with slow start.

use rockflow::{
    CacheStatusDetail, CellId, Class, DeploymentConfig, Effect, EndpointEntry, HostId, LocationId, Readiness,
    Role, SlowStart, WeightMeaning,
};
use std::time::Duration;

/// The rate of a single transfer, in kB/s.
pub const STREAM_KB_PER_S: f64 = 1000.0;

/// The slow start of caches and parents alike.
pub const SLOW_START: SlowStart = SlowStart {
    initial_share: 0.1,
    ramp: Duration::from_secs(20),
    overload_multiple: 2.0,
    window: Duration::from_secs(2),
};

/// The deadline of every request, from its arrival at a dispatcher.
pub const DEADLINE: Duration = Duration::from_secs(3);

const LOCATION: LocationId = LocationId(1);

/// The configuration of the dispatcher with the given index, from 0, in a fleet of `dispatcher_count` dispatchers.
pub fn deployment_config(dispatcher_index: usize, dispatcher_count: usize) -> DeploymentConfig {
    let class = Class {
        effect: Effect::Idempotent,
        latency_objective: Duration::from_millis(500),
        transfer_stretch: 2.0,
        deadline: DEADLINE,
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        fresh_lifetime: Duration::from_secs(10),
        grace: Duration::from_secs(20),
        cacheable: true,
    };
    DeploymentConfig {
        location: LOCATION,
        location_dispatchers: dispatcher_count,
        dispatcher_count,
        dispatcher_index,
        classes: vec![class],
        weight_meaning: WeightMeaning::LinkCapacity,
        cache_slow_start: SLOW_START,
        parent_slow_start: SLOW_START,
        purge_window: Duration::from_secs(6),
        stream_kb_per_s: STREAM_KB_PER_S,
        cache_status_detail: CacheStatusDetail::All,
        coalescing: true,
        direct_source_access: false,
        hedging: true,
        cancellation: true,
        health_checks: false,
        max_attempts: 6,
        max_tracked: 1000,
        max_retry_after: None,
        endpoint_list_max_age: None,
    }
}

/// The endpoint list entry of a host that is ready. `started` is when the host started; None: long ago, so that it is
/// past its slow start.
pub fn endpoint_entry(id: u64, role: Role, weight: f64, started: Option<Duration>) -> EndpointEntry {
    EndpointEntry {
        host: HostId(id),
        cell: CellId(0),
        location: LOCATION,
        role,
        readiness: Readiness::Ready,
        weight,
        started,
    }
}
