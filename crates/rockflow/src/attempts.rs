//! The next attempt of a request: where it goes, what it asks for, and how long it may take.

use crate::action::{Attempt, CachePriority};
use crate::concurrency::ConcurrencyLimit;
use crate::config::{Class, Effect};
use crate::endpoints::Role;
use crate::ids::HostId;
use crate::placement::CacheChoice;
use crate::request::{AttemptKind, AttemptPhase, AttemptState, OpenRequest, USUAL_TRANSFERS};
use crate::source_path::SourcePath;
use crate::state::RoutingState;
use std::time::Duration;

/// How many times the configured attempts a request may take where some of them were never sent.
const UNSENT_ATTEMPTS_FACTOR: usize = 2;
/// The part of the latency objective that a timeout leaves to a retry besides the transfer.
const RETRY_FIXED_PART: f64 = 0.2;

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
struct Route {
    host: HostId,
    source: Option<HostId>,
    kind: AttemptKind,
}

/// How the limits of fills bear on an attempt.
#[derive(Clone, Copy, Debug)]
struct FillRestrictions {
    /// Look for a fresh copy before a fill.
    look_first: bool,
    /// That look asks the cache alone and not its source.
    look_at_cache_alone: bool,
    /// No fill is admitted.
    is_limited: bool,
    /// No source is used at all.
    without_source: bool,
}

impl RoutingState {
    /// The next attempt of a request that has none in flight. None: the request is given up.
    pub(crate) fn next_attempt(&self, open: &OpenRequest) -> Option<AttemptState> {
        if !self.has_attempts_left(open) || self.now >= open.deadline {
            return None;
        }
        let route = self.choose_route(open)?;
        let is_allowed = route.kind == AttemptKind::Fetch || self.class(open).cacheable;
        if !is_allowed || !self.may_repeat(open, route.host) {
            return None;
        }
        let source = route.source.and_then(|id| self.endpoints.get(id));
        Some(AttemptState {
            attempt: self.build_attempt(open, route),
            kind: route.kind,
            phase: AttemptPhase::Unsent,
            sent: self.now,
            source_location: source.map(|host| host.entry().location),
        })
    }

    /// Attempts that were never sent don't use up the configured number, but there is an end to them too.
    fn has_attempts_left(&self, open: &OpenRequest) -> bool {
        let attempts = open.attempts.len() + open.request.previous_attempts.len();
        let max_attempts = self.config.max_attempts;
        attempts - open.unsent_attempts < max_attempts && attempts < UNSENT_ATTEMPTS_FACTOR * max_attempts
    }

    fn choose_route(&self, open: &OpenRequest) -> Option<Route> {
        let may_be_stale = self.may_try_stale(open);
        if let Some(last) = open.attempts.last() {
            if may_be_stale && last.kind == AttemptKind::Fetch {
                return self.stale_route(open, last.attempt.host);
            }
        }
        let cache = self.choose_serving_host(open)?;
        let host = cache.host;
        let source = self.choose_source(open);
        let restrictions = self.fill_restrictions(open, cache, source);
        let source = source.filter(|_| !restrictions.without_source);
        if restrictions.look_first && (restrictions.look_at_cache_alone || !restrictions.is_limited) {
            return Some(self.fresh_only_route(host, source, restrictions));
        }
        match source {
            Some(source) => {
                let source = (source != host).then_some(source);
                Some(Route { host, source, kind: AttemptKind::Fetch })
            }
            None if may_be_stale || open.attempts.is_empty() => {
                Some(Route { host, source: None, kind: AttemptKind::StaleAllowed })
            }
            None => None,
        }
    }

    /// Whether a stale copy may still be tried.
    fn may_try_stale(&self, open: &OpenRequest) -> bool {
        let class = self.class(open);
        class.cacheable && class.grace > Duration::ZERO && !open.has_attempted(AttemptKind::StaleAllowed)
    }

    /// The retry after a failed fetch: the same cache, which may hold a stale copy, unless the cache is what failed.
    fn stale_route(&self, open: &OpenRequest, last_host: HostId) -> Option<Route> {
        let candidates = self.candidates(self.ranking(Role::Cache, &open.request), open, open.transfer_s);
        let host = if candidates.contains(&last_host) { last_host } else { self.choose_cache(open)?.host };
        Some(Route { host, source: None, kind: AttemptKind::StaleAllowed })
    }

    /// The host that answers: a cache or, where none of the location is ready and it is allowed, a source.
    fn choose_serving_host(&self, open: &OpenRequest) -> Option<CacheChoice> {
        if let Some(cache) = self.choose_cache(open) {
            return Some(cache);
        }
        if !self.config.direct_source_access || !self.ranking(Role::Cache, &open.request).is_empty() {
            return None;
        }
        let host = self.choose_source(open)?;
        Some(CacheChoice { host, is_crowded: false })
    }

    /// While fills are constrained, a look for a fresh copy comes first; only what is missed counts as a fill.
    ///
    /// The look asks the parent too, unless the link is constrained or the parent is in slow start, as hits would use
    /// its budget. A crowded cache is asked only for what it has: fills would crowd the hits out.
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
        let may_look = is_cacheable && !cache.is_crowded && !open.has_attempted(AttemptKind::Fetch);
        let is_link_constrained = is_constrained(link) || path.is_some_and(is_constrained);
        let look_at_cache_alone = may_look
            && !open.has_attempted(AttemptKind::FreshOnly)
            && (is_link_constrained || is_source_warming);
        let look_at_parent =
            may_look && is_constrained(parent_fetches) && !has_looked_at_source(open) && !is_source_warming;
        let look_first = look_at_cache_alone || look_at_parent;

        let is_link_limited = is_limited(link) || path.is_some_and(is_limited);
        let is_fill_limited = is_link_limited || !look_first && is_limited(parent_fetches);
        let is_cached_only = cache.is_crowded || is_fill_limited && !look_at_cache_alone;
        FillRestrictions {
            look_first,
            look_at_cache_alone,
            is_limited: is_fill_limited,
            without_source: is_cacheable && is_cached_only || open.origin_failed,
        }
    }

    fn fresh_only_route(
        &self,
        host: HostId,
        source: Option<HostId>,
        restrictions: FillRestrictions,
    ) -> Route {
        let source =
            if restrictions.look_at_cache_alone { None } else { source.filter(|id| self.is_parent(*id)) };
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
            send_by: self.repeat_by(open),
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

    /// The timeout leaves time for a retry, but lets an ordinary attempt finish. Where a stale copy can serve, that time
    /// is before the latency objective, else before the client gives up. Only idempotent requests have one.
    fn attempt_timeout(&self, open: &OpenRequest, kind: AttemptKind) -> Option<Duration> {
        let class = self.class(open);
        if class.effect != Effect::Idempotent {
            return None;
        }
        let is_stale_attempt = kind == AttemptKind::StaleAllowed;
        let may_be_stale = class.grace > Duration::ZERO
            && !is_stale_attempt
            && !open.has_attempted(AttemptKind::StaleAllowed);
        let until = if may_be_stale { open.objective } else { open.deadline };
        let retry_time = if is_stale_attempt {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(USUAL_TRANSFERS * open.transfer_s)
                + class.latency_objective.mul_f64(RETRY_FIXED_PART)
        };
        let limit = until.saturating_sub(self.now + retry_time).max(open.usual_duration);
        Some(limit.min(open.deadline.saturating_sub(self.now)))
    }
}

/// Whether the request has asked a source for what it has cached.
fn has_looked_at_source(open: &OpenRequest) -> bool {
    open.attempts
        .iter()
        .any(|attempt| attempt.kind == AttemptKind::FreshOnly && attempt.attempt.source.is_some())
}
