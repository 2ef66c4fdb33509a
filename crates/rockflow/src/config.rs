//! The configuration that a dispatcher is started with.

use crate::ids::LocationId;
use std::time::Duration;

/// The hosts that share deduplication records, so that each drops a repeated request with a known idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All hosts.
    All,
    /// The hosts of the location in which the request first executed.
    Location,
    /// The hosts of the cell in which the request first executed.
    Cell,
}

/// The effect of executing a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No effect: the request may be repeated freely.
    Idempotent,
    /// No effect, as long as the repeat reaches a host of the scope within the deduplication window.
    IdempotencyKey {
        /// The hosts that drop a repeat.
        scope: KeyScope,
        /// Time after an execution within which its repeats are dropped.
        deduplication_window: Duration,
    },
    /// A harmful effect: the request must not be executed twice.
    AtMostOnce,
}

/// A class of requests with its latency objective, its freshness rules and its idempotency.
#[derive(Clone, Debug)]
pub struct Class {
    /// The effect of a second execution, which decides whether and where a request may be retried.
    pub effect: Effect,
    /// Latency objective of a request, before the allowance for its transfer (`transfer_stretch`).
    pub latency_objective: Duration,
    /// Allowance for the transfer on top of the latency objective, as a multiple of the expected transfer time.
    pub transfer_stretch: f64,
    /// Total time from the arrival of a request until the client gives up, over all attempts.
    pub deadline: Duration,
    /// Value of an answer within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Value of an answer after the latency objective, on the scale of `priority_weight`.
    pub late_priority_weight: f64,
    /// Freshness lifetime of a copy. Zero: a copy is fresh until it is purged.
    pub fresh_lifetime: Duration,
    /// Time past its freshness lifetime for which a copy may be served after a failed fill (stale-if-error).
    pub grace: Duration,
    /// Whether caches may store a copy.
    pub cacheable: bool,
}

/// The meaning and unit of the weights of endpoint entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// The capacity of a host's link, in transfers at full rate.
    LinkCapacity,
    /// No known meaning: the weights are ignored, and all hosts of a role count as equal.
    Unknown,
}

/// Slow start: a limit on the load of a recently started host, which has a cold cache.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The capacity of a host at its start, as a share of its full capacity, from 0 to 1.
    pub initial_share: f64,
    /// Time from the start of a host until it has its full capacity; the share grows linearly.
    pub ramp: Duration,
    /// The work that a host tolerates within a window, as a multiple of its current capacity.
    pub overload_multiple: f64,
    /// The length of the window over which the work is counted.
    pub window: Duration,
}

/// How much detail responses report about cache hits and fills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// Hits, fills and the reason of a failed fill.
    All,
    /// Only hits.
    HitsOnly,
    /// No cache status at all.
    None,
}

/// The configuration of a deployment from the point of view of one dispatcher.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// The location of this dispatcher.
    pub location: LocationId,
    /// The number of dispatchers in this location, including this one.
    pub location_dispatchers: usize,
    /// The number of dispatchers in all locations.
    pub dispatcher_count: usize,
    /// The index of this dispatcher among all dispatchers, from 0.
    pub dispatcher_index: usize,
    /// The request classes, indexed by [`ClassId`](crate::ClassId).
    pub classes: Vec<Class>,
    /// The meaning and unit of the weights of endpoint entries.
    pub weight_meaning: WeightMeaning,
    /// Slow start of caches.
    pub cache_slow_start: SlowStart,
    /// Slow start of parents.
    pub parent_slow_start: SlowStart,
    /// Time after a purge by which every cache has dropped the purged copies.
    pub purge_window: Duration,
    /// Transfer rate of a single response, in kB/s. Zero: unknown.
    pub stream_kb_per_s: f64,
    /// How much detail responses report about hits and fills.
    pub cache_status_detail: CacheStatusDetail,
    /// Whether a host can coalesce a fill with one already in progress.
    pub coalescing: bool,
    /// Whether a dispatcher may send an attempt to a parent or the origin directly when no cache is ready.
    pub direct_source_access: bool,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// Whether an attempt in flight can be cancelled.
    pub cancellation: bool,
    /// Whether hosts answer health checks.
    pub health_checks: bool,
    /// The maximum number of attempts for a request, not counting those of which no byte was sent.
    pub max_attempts: usize,
    /// The maximum number of object parts whose popularity is tracked. Also the number of tracked purges from which
    /// on a purge of an object is widened to its group.
    pub max_tracked: usize,
    /// The longest `Retry-After` that a client honours. None: a rejection carries none.
    pub max_retry_after: Option<Duration>,
    /// How long an endpoint list may be used after its last update. None: the list comes without a subscription.
    pub endpoint_list_max_age: Option<Duration>,
}
