//! Placement: which cache serves a request, and which source fills it.
//!
//! Hosts are ranked by weighted rendezvous hashing of the part of the object, alike at every dispatcher. Load, health
//! and limits only decide how far down the ranking a request goes.

use crate::config::WeightMeaning;
use crate::endpoints::Role;
use crate::event::Request;
use crate::health;
use crate::host::Host;
use crate::ids::HostId;
use crate::request::{OpenRequest, USUAL_FIXED_PART};
use crate::source_path::SourcePath;
use crate::state::RoutingState;

/// Caches that a hot object is spread over, fewer where that would be all.
const HOT_SPREAD: usize = 2;
/// The relative load up to which the hash order stands.
const CALM_LOAD: f64 = 2.0;
/// The relative load up to which a cache takes what crowded ones pass on.
const IDLE_LOAD: f64 = 1.0;
/// The part of the time to the latency objective that a transfer at a crowded cache may be expected to take.
const CROWDED_PART: f64 = 0.8;
/// The shortest transfer that a load is compared with, in seconds.
const MIN_TRANSFER_S: f64 = 1e-3;
/// The least weight of a host in the hash order.
const MIN_HASH_WEIGHT: f64 = 1e-3;

/// The cache for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheChoice {
    /// The cache.
    pub(crate) host: HostId,
    /// Whether it is too crowded for a fill.
    pub(crate) is_crowded: bool,
}

/// A host with its place in the hash order.
struct Ranked {
    score: f64,
    host: HostId,
}

impl RoutingState {
    /// The ready hosts of a role in the hash order of a part of an object.
    pub(crate) fn ranking(&self, role: Role, request: &Request) -> Vec<HostId> {
        let score = |host: &Host| Ranked { score: self.hash_score(host, request), host: host.entry().host };
        let mut ranked: Vec<Ranked> = self.endpoints.ready(role).map(score).collect();
        ranked.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.host.cmp(&b.host)));
        ranked.into_iter().map(|ranked| ranked.host).collect()
    }

    /// Those of a ranking that can take an attempt now: the healthy ones, or the ejected if there are no others.
    pub(crate) fn candidates(&self, ranking: Vec<HostId>, open: &OpenRequest, work_s: f64) -> Vec<HostId> {
        let tried_anyway = ranking.first().copied().filter(|_| health::may_try_ejected(open.draw));
        let can_take = |id: &HostId| self.has_capacity(*id, work_s) && !open.failed_hosts.contains(id);
        let is_healthy = |id: &HostId| !self.endpoints.is_ejected(*id, self.now) || tried_anyway == Some(*id);
        let (healthy, ejected): (Vec<HostId>, Vec<HostId>) =
            ranking.into_iter().filter(can_take).partition(is_healthy);
        if healthy.is_empty() {
            ejected
        } else {
            healthy
        }
    }

    /// The cache for an attempt. None: none can take it.
    pub(crate) fn choose_cache(&self, open: &OpenRequest) -> Option<CacheChoice> {
        let request = &open.request;
        let mean_s = self.class_stats(request.class).transfer_estimate(self.now).expected_s;
        let ranking = self.ranking(Role::Cache, request);
        let spread = self.spread(request, ranking.len());
        let candidates = self.candidates(ranking, open, mean_s);
        let least_loaded = candidates
            .iter()
            .copied()
            .take(spread)
            .min_by(|a, b| self.relative_load(*a).total_cmp(&self.relative_load(*b)))?;
        if self.relative_load(least_loaded) <= CALM_LOAD {
            return Some(CacheChoice { host: least_loaded, is_crowded: false });
        }
        // A crowded cache passes the request on, in hash order, to one whose link has capacity.
        if let Some(idle) = candidates.iter().copied().find(|id| self.relative_load(*id) <= IDLE_LOAD) {
            return Some(CacheChoice { host: idle, is_crowded: false });
        }
        self.choose_crowded_cache(open, least_loaded, mean_s)
    }

    /// The source of a fill: the first parent in hash order that can take it, else the origin.
    pub(crate) fn choose_source(&self, open: &OpenRequest) -> Option<HostId> {
        let request = &open.request;
        let mean_s = self.class_stats(request.class).transfer_estimate(self.now).expected_s;
        let parents = self.candidates(self.ranking(Role::Parent, request), open, mean_s);
        let Some(first) = parents.first().copied() else {
            let origins = self.ranking(Role::Origin, request);
            return origins.into_iter().find(|id| !open.failed_hosts.contains(id));
        };
        // Past a location whose fills are limited, in hash order, to one whose fills come in time.
        let is_limited = |path: &SourcePath| path.limit().is_limited(self.now, open.draw);
        if self.source_path(first).is_some_and(is_limited) {
            let is_free = |path: &SourcePath| !path.limit().is_constrained(self.now);
            let free = parents.iter().copied().find(|id| self.source_path(*id).is_none_or(is_free));
            return free.or(Some(first));
        }
        Some(first)
    }

    /// The path from a source.
    pub(crate) fn source_path(&self, source: HostId) -> Option<&SourcePath> {
        let location = self.endpoints.get(source)?.entry().location;
        self.fill_limits.path(location)
    }

    /// A crowded cache, where the request can still be answered in time. A fill takes more of the time than a hit.
    fn choose_crowded_cache(&self, open: &OpenRequest, cache: HostId, mean_s: f64) -> Option<CacheChoice> {
        let class = self.class(open);
        let objective_s = class.latency_objective.as_secs_f64();
        // A transfer time that is learned from answers grows with crowding.
        let transfer_s = if open.has_size() { open.transfer_s } else { objective_s * USUAL_FIXED_PART };
        let is_under_served = self.class_stats(open.request.class).is_large_under_served(self.now);
        let transfer_s = if is_under_served { transfer_s.min(mean_s) } else { transfer_s };
        let max_load = |objective_part: f64| {
            let objective_transfers = objective_part * objective_s / transfer_s.max(MIN_TRANSFER_S);
            CROWDED_PART * (class.transfer_stretch + objective_transfers)
        };
        let load = self.relative_load(cache);
        (load <= max_load(1.0))
            .then(|| CacheChoice { host: cache, is_crowded: load > max_load(USUAL_FIXED_PART) })
    }

    /// How many caches an object is spread over: more than one when this dispatcher sees it often, but never all.
    fn spread(&self, request: &Request, caches: usize) -> usize {
        let max = if self.popularity.is_hot(self.now, request, caches) { HOT_SPREAD } else { 1 };
        max.min(caches.saturating_sub(1)).max(1)
    }

    fn hash_score(&self, host: &Host, request: &Request) -> f64 {
        let entry = host.entry();
        let key = (u128::from(request.object.0) << 32 | u128::from(request.part)).to_be_bytes();
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&key, entry.host.0);
        // The upper 53 bits, as a number between 0 and 1, both excluded.
        let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        let weight = match self.config.weight_meaning {
            WeightMeaning::LinkCapacity => entry.weight.max(MIN_HASH_WEIGHT),
            WeightMeaning::Unknown => 1.0,
        };
        -weight / libm::log(unit)
    }

    fn has_capacity(&self, id: HostId, work_s: f64) -> bool {
        self.endpoints.get(id).is_some_and(|host| host.has_capacity(&self.config, work_s, self.now))
    }

    fn relative_load(&self, id: HostId) -> f64 {
        self.endpoints.get(id).map_or(0.0, |host| host.relative_load(&self.config, self.now))
    }
}
