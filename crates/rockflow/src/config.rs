//! The configuration that a dispatcher is started with.

use crate::ids::LocationId;
use std::time::Duration;

/// Which hosts drop a repeat of a request that carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every host.
    All,
    /// The hosts of the location in which the request ran first.
    Location,
    /// The hosts of the cell in which the request ran first.
    Cell,
}

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the request may be repeated freely.
    Idempotent,
    /// Nothing, as long as the repeat reaches a host of the scope within the deduplication window.
    IdempotencyKey {
        /// The hosts that drop a repeat.
        scope: KeyScope,
        /// How long after an execution its repeats are dropped.
        deduplication_window: Duration,
    },
    /// Harm: the request must not be executed twice.
    AtMostOnce,
}

/// A class of requests and what is promised for it.
#[derive(Clone, Debug)]
pub struct Class {
    /// What a second execution does.
    pub effect: Effect,
    /// Latency objective of a request that takes no time to transfer.
    pub latency_objective: Duration,
    /// How many times its transfer time a request may take on top of the latency objective.
    pub transfer_stretch: f64,
    /// How long a client waits in all, over all attempts.
    pub deadline: Duration,
    /// Value of an answer within the latency objective.
    pub priority_weight: f64,
    /// Value of an answer after the latency objective.
    pub late_priority_weight: f64,
    /// Freshness lifetime of a copy. Zero: a copy is fresh until it is purged.
    pub fresh_lifetime: Duration,
    /// How long past its freshness lifetime a copy may be served when a fill failed (stale-if-error).
    pub grace: Duration,
    /// Whether caches may keep a copy.
    pub cacheable: bool,
}

/// What the weights of endpoint entries stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// The capacity of a host's link, in transfers at full rate.
    LinkCapacity,
    /// Not known: all hosts count alike.
    Unknown,
}

/// Slow start: the load that a host with a cold cache may receive.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The part of its capacity that a host has when it starts.
    pub initial_share: f64,
    /// The time until it has its whole capacity.
    pub ramp: Duration,
    /// The work that it tolerates within a window, as a multiple of its present capacity.
    pub overload_multiple: f64,
    /// The window in which the work is counted.
    pub window: Duration,
}

/// How much responses report of cache hits and fills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// Hits, fills and why a fill failed.
    All,
    /// Hits alone.
    HitsOnly,
    /// Nothing.
    None,
}

/// The configuration of a deployment, as one dispatcher sees it.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// The location of this dispatcher.
    pub location: LocationId,
    /// Dispatchers in this location, this one included.
    pub location_dispatchers: usize,
    /// Dispatchers in all.
    pub dispatcher_count: usize,
    /// The index of this dispatcher among all, from 0.
    pub dispatcher_index: usize,
    /// The request classes, by [`ClassId`](crate::ClassId).
    pub classes: Vec<Class>,
    /// What the weights of endpoint entries stand for.
    pub weight_meaning: WeightMeaning,
    /// Slow start of caches.
    pub cache_slow_start: SlowStart,
    /// Slow start of parents.
    pub parent_slow_start: SlowStart,
    /// The time after a purge within which every cache has dropped the copies it names.
    pub purge_window: Duration,
    /// Transfer rate of a single response, in kB/s. Zero: unknown.
    pub stream_kb_per_s: f64,
    /// How much responses report of hits and fills.
    pub cache_status_detail: CacheStatusDetail,
    /// Whether a host can coalesce a fill with one already in progress.
    pub coalescing: bool,
    /// Whether a dispatcher may go to a parent or the origin without a cache.
    pub direct_source_access: bool,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// Whether an attempt in flight can be cancelled.
    pub cancellation: bool,
    /// Whether hosts answer health checks.
    pub health_checks: bool,
    /// Attempts that a request may take.
    pub max_attempts: usize,
    /// Objects, and purges, that are tracked at once.
    pub max_tracked: usize,
    /// The longest `Retry-After` that a client honours. None: a rejection carries none.
    pub max_retry_after: Option<Duration>,
    /// Set where the endpoint list must be requested: how long an old list may be relied on.
    pub endpoint_list_max_age: Option<Duration>,
}
