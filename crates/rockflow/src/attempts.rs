//! Chooses the next attempt of a request: its host, source, kind and timeout.

use crate::action::{Attempt, CachePriority};
use crate::concurrency::ConcurrencyLimit;
use crate::config::{Class, Effect};
use crate::endpoints::Role;
use crate::ids::HostId;
use crate::placement::CacheChoice;
use crate::request::{AttemptKind, AttemptPhase, AttemptState, OpenRequest, USUAL_TRANSFER_FACTOR};
use crate::source_path::SourcePath;
use crate::state::RoutingState;
use std::time::Duration;

/// Limit on all attempts of a request, including those that were never sent, as a multiple of `max_attempts`.
const TOTAL_ATTEMPTS_FACTOR: usize = 2;
/// The fraction of the latency objective that a timeout leaves for a retry, in addition to its transfer time.
const RETRY_FIXED_FRACTION: f64 = 0.2;

/// The host and source of an attempt, and its kind.
#[derive(Clone, Copy, Debug)]
struct Route {
    host: HostId,
    source: Option<HostId>,
    kind: AttemptKind,
}

/// Restrictions that the concurrency limits of fills impose on an attempt.
#[derive(Clone, Copy, Debug)]
struct FillRestrictions {
    /// A cached fresh copy must be looked up before a fill is requested.
    lookup_first: bool,
    /// That lookup is limited to the cache; its source is not asked.
    lookup_at_cache_only: bool,
    /// No fill is admitted.
    is_fill_limited: bool,
    /// The attempt must not name a source.
    is_source_excluded: bool,
}

impl RoutingState {
    /// Chooses the next attempt of a request that has none in flight. None: the request must be rejected or failed.
    pub(crate) fn next_attempt(&self, open: &OpenRequest) -> Option<AttemptState> {
        if !self.has_attempts_left(open) || self.now >= open.deadline {
            return None;
        }
        let route = self.choose_route(open)?;
        let is_kind_allowed = route.kind == AttemptKind::Fetch || self.class(open).cacheable;
        if !is_kind_allowed || !self.may_repeat(open, route.host) {
            return None;
        }
        let source = route.source.and_then(|id| self.endpoints.get(id));
        Some(AttemptState {
            attempt: self.build_attempt(open, route),
            kind: route.kind,
            phase: AttemptPhase::Unsent,
            decided_at: self.now,
            source_location: source.map(|host| host.entry().location),
        })
    }

    /// Whether the request may have another attempt. Attempts that were never sent don't count towards `max_attempts`,
    /// but the total is limited too.
    fn has_attempts_left(&self, open: &OpenRequest) -> bool {
        let attempts = open.attempts.len() + open.request.previous_attempts.len();
        let max_attempts = self.config.max_attempts;
        attempts - open.unsent_attempts < max_attempts && attempts < TOTAL_ATTEMPTS_FACTOR * max_attempts
    }

    fn choose_route(&self, open: &OpenRequest) -> Option<Route> {
        let may_serve_stale = self.may_try_stale(open);
        if let Some(last) = open.attempts.last() {
            if may_serve_stale && last.kind == AttemptKind::Fetch {
                return self.stale_route(open, last.attempt.host);
            }
        }
        let cache = self.choose_serving_host(open)?;
        let host = cache.host;
        let source = self.choose_source(open);
        let restrictions = self.fill_restrictions(open, cache, source);
        let source = source.filter(|_| !restrictions.is_source_excluded);
        if restrictions.lookup_first && (restrictions.lookup_at_cache_only || !restrictions.is_fill_limited) {
            return Some(self.fresh_only_route(host, source, restrictions));
        }
        match source {
            Some(source) => {
                let source = (source != host).then_some(source);
                Some(Route { host, source, kind: AttemptKind::Fetch })
            }
            None if may_serve_stale || open.attempts.is_empty() => {
                Some(Route { host, source: None, kind: AttemptKind::StaleAllowed })
            }
            None => None,
        }
    }

    /// Whether the class allows stale copies and the request has not asked for one yet.
    fn may_try_stale(&self, open: &OpenRequest) -> bool {
        let class = self.class(open);
        class.cacheable && class.grace > Duration::ZERO && !open.has_attempted(AttemptKind::StaleAllowed)
    }

    /// The route of the retry after a failed fetch, for a stale copy. It goes to the same cache, which may have one,
    /// unless that cache itself failed or can't take the attempt.
    fn stale_route(&self, open: &OpenRequest, last_host: HostId) -> Option<Route> {
        let candidates = self.candidates(self.ranking(Role::Cache, &open.request), open, open.transfer_s);
        let host = if candidates.contains(&last_host) { last_host } else { self.choose_cache(open)?.host };
        Some(Route { host, source: None, kind: AttemptKind::StaleAllowed })
    }

    /// Chooses the host that answers: a cache or, if no cache of the location is ready and direct access to sources is
    /// configured, a source.
    fn choose_serving_host(&self, open: &OpenRequest) -> Option<CacheChoice> {
        if let Some(cache) = self.choose_cache(open) {
            return Some(cache);
        }
        if !self.config.direct_source_access || !self.ranking(Role::Cache, &open.request).is_empty() {
            return None;
        }
        let host = self.choose_source(open)?;
        Some(CacheChoice { host, hits_only: false })
    }

    /// Determines the restrictions on fills. While fills are constrained, a fresh cached copy is looked up first, and
    /// only a miss is sent as a fill.
    ///
    /// The lookup includes the parent, unless the link is constrained, or the parent is in slow start, where even hits
    /// would use up its budget. An overloaded cache gets no fills: they would displace hits.
    fn fill_restrictions(
        &self,
        open: &OpenRequest,
        cache: CacheChoice,
        source: Option<HostId>,
    ) -> FillRestrictions {
        let path = source.and_then(|id| self.source_path(id)).map(SourcePath::limit);
        let link = self.fill_limits.link();
        let parent_fetches = self.fill_limits.parent_fetches();
        let is_constrained = |limit: &ConcurrencyLimit| limit.is_constrained(self.now);
        let is_limited = |limit: &ConcurrencyLimit| limit.is_limited(self.now, open.draw);

        let is_source_warming = source.is_some_and(|id| self.is_warming(id));
        let is_cacheable = self.class(open).cacheable;
        let may_look_up = is_cacheable && !cache.hits_only && !open.has_attempted(AttemptKind::Fetch);
        let is_link_constrained = is_constrained(link) || path.is_some_and(is_constrained);
        let lookup_at_cache_only = may_look_up
            && !open.has_attempted(AttemptKind::FreshOnly)
            && (is_link_constrained || is_source_warming);
        let lookup_at_parent = may_look_up
            && is_constrained(parent_fetches)
            && !has_looked_up_at_source(open)
            && !is_source_warming;
        let lookup_first = lookup_at_cache_only || lookup_at_parent;

        let is_link_limited = is_limited(link) || path.is_some_and(is_limited);
        let is_fill_limited = is_link_limited || !lookup_first && is_limited(parent_fetches);
        let is_cached_only = cache.hits_only || is_fill_limited && !lookup_at_cache_only;
        FillRestrictions {
            lookup_first,
            lookup_at_cache_only,
            is_fill_limited,
            is_source_excluded: is_cacheable && is_cached_only || open.origin_failed,
        }
    }

    fn fresh_only_route(
        &self,
        host: HostId,
        source: Option<HostId>,
        restrictions: FillRestrictions,
    ) -> Route {
        let source =
            if restrictions.lookup_at_cache_only { None } else { source.filter(|id| self.is_parent(*id)) };
        Route { host, source, kind: AttemptKind::FreshOnly }
    }

    fn is_parent(&self, id: HostId) -> bool {
        self.endpoints.get(id).is_some_and(|host| host.entry().role == Role::Parent)
    }

    fn is_warming(&self, id: HostId) -> bool {
        self.endpoints.get(id).is_some_and(|host| host.capacity_share(self.now) < 1.0)
    }

    fn build_attempt(&self, open: &OpenRequest, route: Route) -> Attempt {
        let request = &open.request;
        let class = self.class(open);
        let is_fetch = route.kind == AttemptKind::Fetch;
        Attempt {
            host: route.host,
            source: route.source,
            timeout: self.attempt_timeout(open, route.kind),
            send_by: self.repeat_deadline(open),
            cache_priority: self.cache_priority(open, class),
            max_age: self.purges.max_age(self.now, request, class, route.kind),
            coalesce: self.config.coalescing && class.cacheable && is_fetch,
            cached_at_source_only: route.kind == AttemptKind::FreshOnly,
            no_store_at_parent: false,
            revalidate: class.cacheable && class.fresh_lifetime > Duration::ZERO && is_fetch,
        }
    }

    fn cache_priority(&self, open: &OpenRequest, class: &Class) -> CachePriority {
        if !class.cacheable {
            CachePriority::NoStore
        } else if self.popularity.is_popular(self.now, &open.request) {
            CachePriority::Medium
        } else {
            CachePriority::Low
        }
    }

    /// The timeout of an attempt. None unless the request is idempotent.
    ///
    /// It leaves time for a retry, but an ordinary attempt can finish unless the client gives up first. If a stale copy
    /// may be served, the retry has to finish before the latency objective, otherwise before the client gives up.
    fn attempt_timeout(&self, open: &OpenRequest, kind: AttemptKind) -> Option<Duration> {
        let class = self.class(open);
        if class.effect != Effect::Idempotent {
            return None;
        }
        let is_stale_attempt = kind == AttemptKind::StaleAllowed;
        let may_serve_stale = class.grace > Duration::ZERO
            && !is_stale_attempt
            && !open.has_attempted(AttemptKind::StaleAllowed);
        let retry_due = if may_serve_stale { open.objective } else { open.deadline };
        let retry_time = if is_stale_attempt {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(USUAL_TRANSFER_FACTOR * open.transfer_s)
                + class.latency_objective.mul_f64(RETRY_FIXED_FRACTION)
        };
        let timeout = retry_due.saturating_sub(self.now + retry_time).max(open.usual_duration);
        Some(timeout.min(open.deadline.saturating_sub(self.now)))
    }
}

/// Whether an earlier attempt of the request looked up a cached copy at a source.
fn has_looked_up_at_source(open: &OpenRequest) -> bool {
    open.attempts
        .iter()
        .any(|attempt| attempt.kind == AttemptKind::FreshOnly && attempt.attempt.source.is_some())
}
