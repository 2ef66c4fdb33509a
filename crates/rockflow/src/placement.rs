//! Placement: chooses the cache that serves a request and the source of its fill.
//!
//! Hosts are ranked by weighted rendezvous hashing of the object part, so every dispatcher computes the same ranking.
//! Load, health and limits only determine how far down the ranking a request goes.

use crate::config::WeightMeaning;
use crate::endpoints::Role;
use crate::event::Request;
use crate::health;
use crate::host::Host;
use crate::ids::HostId;
use crate::request::{OpenRequest, USUAL_FIXED_FRACTION};
use crate::source_path::SourcePath;
use crate::state::RoutingState;

/// The number of caches that serve a hot object; one less if those would be all caches.
const HOT_OBJECT_CACHES: usize = 2;
/// The highest relative load at which a cache serves the requests that hash to it without restriction.
const OVERLOAD_THRESHOLD: f64 = 2.0;
/// The highest relative load at which a cache takes over requests from overloaded caches.
const SPARE_CAPACITY_THRESHOLD: f64 = 1.0;
/// The fraction of the time until the latency objective that a transfer from an overloaded cache may take.
const OVERLOADED_TRANSFER_FRACTION: f64 = 0.8;
/// Lower bound of the transfer time by which the latency objective is divided, in seconds. Avoids division by zero.
const MIN_TRANSFER_S: f64 = 1e-3;
/// Lower bound of the weight of a host in rendezvous hashing.
const MIN_HASH_WEIGHT: f64 = 1e-3;

/// The cache that an attempt goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheChoice {
    /// The chosen cache, or a source that is accessed directly.
    pub(crate) host: HostId,
    /// Whether the host is too loaded for a fill, so that it is asked only for copies in its cache.
    pub(crate) hits_only: bool,
}

/// A host with its rendezvous hash score. The highest score ranks first.
struct RankedHost {
    score: f64,
    host: HostId,
}

impl RoutingState {
    /// Ranks the ready hosts of a role by rendezvous hashing of the requested object part, the preferred host first.
    pub(crate) fn ranking(&self, role: Role, request: &Request) -> Vec<HostId> {
        let score =
            |host: &Host| RankedHost { score: self.hash_score(host, request), host: host.entry().host };
        let mut ranked: Vec<RankedHost> = self.endpoints.ready(role).map(score).collect();
        ranked.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.host.cmp(&b.host)));
        ranked.into_iter().map(|ranked| ranked.host).collect()
    }

    /// Filters a ranking by the hosts that can take an attempt of `work_s` seconds now: the healthy hosts or, if there
    /// are none, the ejected ones. Some requests try the first host even if it is ejected, to find out if it recovered.
    pub(crate) fn candidates(&self, ranking: Vec<HostId>, open: &OpenRequest, work_s: f64) -> Vec<HostId> {
        let tried_even_if_ejected = ranking.first().copied().filter(|_| health::may_try_ejected(open.draw));
        let can_take = |id: &HostId| self.has_capacity(*id, work_s) && !open.failed_hosts.contains(id);
        let is_healthy =
            |id: &HostId| !self.endpoints.is_ejected(*id, self.now) || tried_even_if_ejected == Some(*id);
        let (healthy, ejected): (Vec<HostId>, Vec<HostId>) =
            ranking.into_iter().filter(can_take).partition(is_healthy);
        if healthy.is_empty() {
            ejected
        } else {
            healthy
        }
    }

    /// Chooses the cache for an attempt. None: no cache can take it.
    pub(crate) fn choose_cache(&self, open: &OpenRequest) -> Option<CacheChoice> {
        let request = &open.request;
        let mean_transfer_s = self.class_stats(request.class).transfer_estimate(self.now).expected_s;
        let ranking = self.ranking(Role::Cache, request);
        let serving_caches = self.serving_cache_count(request, ranking.len());
        let candidates = self.candidates(ranking, open, mean_transfer_s);
        let least_loaded = candidates
            .iter()
            .copied()
            .take(serving_caches)
            .min_by(|a, b| self.relative_load(*a).total_cmp(&self.relative_load(*b)))?;
        if self.relative_load(least_loaded) <= OVERLOAD_THRESHOLD {
            return Some(CacheChoice { host: least_loaded, hits_only: false });
        }
        // The cache is overloaded: the request goes to the next cache in the ranking whose link has spare capacity.
        if let Some(host) =
            candidates.iter().copied().find(|id| self.relative_load(*id) <= SPARE_CAPACITY_THRESHOLD)
        {
            return Some(CacheChoice { host, hits_only: false });
        }
        self.choose_overloaded_cache(open, least_loaded, mean_transfer_s)
    }

    /// Chooses the source of a fill: the first parent of the ranking that can take it, otherwise the origin.
    pub(crate) fn choose_source(&self, open: &OpenRequest) -> Option<HostId> {
        let request = &open.request;
        let mean_transfer_s = self.class_stats(request.class).transfer_estimate(self.now).expected_s;
        let parents = self.candidates(self.ranking(Role::Parent, request), open, mean_transfer_s);
        let Some(first) = parents.first().copied() else {
            let origins = self.ranking(Role::Origin, request);
            return origins.into_iter().find(|id| !open.failed_hosts.contains(id));
        };
        // If fills from the location of the first parent are limited, the next parent whose location has timely fills
        // is preferred.
        let is_limited = |path: &SourcePath| path.limit().is_limited(self.now, open.draw);
        if self.source_path(first).is_some_and(is_limited) {
            let is_unconstrained = |path: &SourcePath| !path.limit().is_constrained(self.now);
            let unconstrained =
                parents.iter().copied().find(|id| self.source_path(*id).is_none_or(is_unconstrained));
            return unconstrained.or(Some(first));
        }
        Some(first)
    }

    /// The path that fills from a source take. None: the source is not listed.
    pub(crate) fn source_path(&self, source: HostId) -> Option<&SourcePath> {
        let location = self.endpoints.get(source)?.entry().location;
        self.fill_limits.path(location)
    }

    /// Chooses an overloaded cache, if it can still answer the request in time. None: the expected transfer takes too
    /// long. A fill takes more of the available time than a hit, so fills stop at a lower load than hits.
    fn choose_overloaded_cache(
        &self,
        open: &OpenRequest,
        cache: HostId,
        mean_transfer_s: f64,
    ) -> Option<CacheChoice> {
        let class = self.class(open);
        let objective_s = class.latency_objective.as_secs_f64();
        // Without a size, the expected transfer time is learned from answers and grows with the load itself, so a
        // fraction of the latency objective is used instead.
        let transfer_s = if open.has_size() { open.transfer_s } else { objective_s * USUAL_FIXED_FRACTION };
        let is_under_served = self.class_stats(open.request.class).is_large_under_served(self.now);
        let transfer_s = if is_under_served { transfer_s.min(mean_transfer_s) } else { transfer_s };
        let max_load = |objective_fraction: f64| {
            let objective_transfers = objective_fraction * objective_s / transfer_s.max(MIN_TRANSFER_S);
            OVERLOADED_TRANSFER_FRACTION * (class.transfer_stretch + objective_transfers)
        };
        let load = self.relative_load(cache);
        (load <= max_load(1.0))
            .then(|| CacheChoice { host: cache, hits_only: load > max_load(USUAL_FIXED_FRACTION) })
    }

    /// The number of caches that serve an object: more than one if the object is hot, but never all.
    fn serving_cache_count(&self, request: &Request, caches: usize) -> usize {
        let max = if self.popularity.is_hot(self.now, request, caches) { HOT_OBJECT_CACHES } else { 1 };
        max.min(caches.saturating_sub(1)).max(1)
    }

    fn hash_score(&self, host: &Host, request: &Request) -> f64 {
        let entry = host.entry();
        let key = (u128::from(request.object.0) << 32 | u128::from(request.part)).to_be_bytes();
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&key, entry.host.0);
        // The upper 53 bits of the hash, as a number between 0 and 1, both excluded.
        let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        let weight = match self.config.weight_meaning {
            WeightMeaning::LinkCapacity => entry.weight.max(MIN_HASH_WEIGHT),
            WeightMeaning::Unknown => 1.0,
        };
        -weight / libm::log(uniform)
    }

    fn has_capacity(&self, id: HostId, work_s: f64) -> bool {
        self.endpoints.get(id).is_some_and(|host| host.has_capacity(&self.config, work_s, self.now))
    }

    fn relative_load(&self, id: HostId) -> f64 {
        self.endpoints.get(id).map_or(0.0, |host| host.relative_load(&self.config, self.now))
    }
}
