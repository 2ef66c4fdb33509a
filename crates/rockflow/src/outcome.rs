//! Updates health, load and fill statistics when an attempt ends.

use crate::action::Attempt;
use crate::concurrency::Timeliness;
use crate::config::CacheStatusDetail;
use crate::event::{AttemptEnd, CacheStatus, Outcome};
use crate::health::HealthSample;
use crate::ids::{ClassId, HostId, LocationId};
use crate::request::{AttemptState, OpenRequest};
use crate::source_path::{FillTiming, SourceUse};
use crate::state::RoutingState;
use std::time::Duration;

/// An attempt that ended, with the properties of its request that are needed to assess the outcome.
#[derive(Debug)]
pub(crate) struct EndedAttempt<'a> {
    end: &'a AttemptEnd,
    attempt: Attempt,
    source_use: SourceUse,
    source_location: Option<LocationId>,
    class: ClassId,
    has_size: bool,
    /// Expected transfer time of the response, in seconds.
    transfer_s: f64,
    /// Whether the attempt ended before the latency objective of its request.
    is_in_time: bool,
    /// Whether the attempt took longer than the usual duration of its request.
    is_slow: bool,
    /// Whether the deployment is configured without cache status in responses.
    status_unreported: bool,
}

/// How an outcome changes the health of the host and of the source, and which host the request avoids from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HealthEffect {
    host: HealthSample,
    source: HealthSample,
    /// The host that later attempts of the same request avoid. `None`: the request avoids no further host.
    avoided: Option<HostId>,
}

impl HealthEffect {
    /// Leaves the health of both host and source unchanged.
    const NONE: HealthEffect =
        HealthEffect { host: HealthSample::NONE, source: HealthSample::NONE, avoided: None };
    /// Counts as a success of the host and leaves the health of the source unchanged.
    const HOST_ANSWERED: HealthEffect = HealthEffect { host: HealthSample::SUCCESS, ..HealthEffect::NONE };
    /// Counts as a failure of the host and leaves the health of the source unchanged.
    const HOST_FAILED: HealthEffect = HealthEffect { host: HealthSample::FAILURE, ..HealthEffect::NONE };

    fn avoiding(self, avoided: Option<HostId>) -> Self {
        HealthEffect { avoided, ..self }
    }
}

impl<'a> EndedAttempt<'a> {
    /// Combines the end of an attempt with its open request, at the time of `state`.
    pub(crate) fn new(
        state: &RoutingState,
        open: &OpenRequest,
        ended: &AttemptState,
        end: &'a AttemptEnd,
    ) -> Self {
        EndedAttempt {
            end,
            attempt: ended.attempt,
            source_use: ended.source_use(),
            source_location: ended.source_location,
            class: open.request.class,
            has_size: open.has_size(),
            transfer_s: open.transfer_s,
            is_in_time: state.now <= open.objective,
            is_slow: end.duration > open.usual_duration,
            status_unreported: state.config.cache_status_detail == CacheStatusDetail::None,
        }
    }

    fn has_succeeded(&self) -> bool {
        self.end.outcome == Outcome::Succeeded
    }

    /// Whether the host asked the source, or may have done so.
    fn may_have_used_source(&self) -> bool {
        self.attempt.source.is_some() && self.end.cache_status != CacheStatus::Hit
    }

    /// Whether the response was filled from the source. Assumed where responses carry no cache status.
    fn was_filled(&self) -> bool {
        let is_filled = matches!(self.end.cache_status, CacheStatus::Filled | CacheStatus::FilledByOrigin);
        self.status_unreported || is_filled
    }

    /// Whether the failure cannot be attributed to either the host or the source.
    fn is_failure_unattributable(&self) -> bool {
        if !self.may_have_used_source() {
            return false;
        }
        match self.end.outcome {
            Outcome::TimedOut => self.end.first_byte_sent,
            Outcome::HostError | Outcome::Rejected => self.status_unreported,
            _ => false,
        }
    }

    /// The host or source that could not be reached, if any.
    fn unreachable_host(&self) -> Option<HostId> {
        match (self.end.outcome, self.end.cache_status) {
            (Outcome::ConnectFailed | Outcome::ConnectionLost, _) => Some(self.attempt.host),
            (Outcome::Rejected, CacheStatus::SourceUnreachable) => self.attempt.source,
            _ => None,
        }
    }

    /// How the outcome changes the health of the host and of the source.
    fn health_effect(&self) -> HealthEffect {
        let host = Some(self.attempt.host);
        let source = self.attempt.source;
        // The cause may be the connection alone. After the first attempt of a request the same host is tried once more,
        // as it may have cached the response that was damaged in transit.
        let host_after_retry = host.filter(|_| self.end.attempt.0 > 0);
        match self.end.outcome {
            Outcome::Succeeded if self.is_slow => self.slow_success_effect(),
            Outcome::Succeeded if self.was_filled() => {
                HealthEffect { source: HealthSample::SUCCESS, ..HealthEffect::HOST_ANSWERED }
            }
            Outcome::Succeeded => HealthEffect::HOST_ANSWERED,
            Outcome::Miss => {
                HealthEffect::HOST_ANSWERED.avoiding(source.filter(|_| self.source_use == SourceUse::Fill))
            }
            Outcome::Cancelled => HealthEffect::NONE,
            Outcome::NotSent => HealthEffect::NONE.avoiding(host_after_retry),
            Outcome::MalformedResponse => HealthEffect::HOST_FAILED.avoiding(host_after_retry),
            _ => self.failure_effect(),
        }
    }

    /// A slow success counts half as a success and half as a failure, for the host and for a source that it may have
    /// asked, as the response doesn't show which of them was slow. A slow host becomes visible by comparison with the
    /// others of its role.
    fn slow_success_effect(&self) -> HealthEffect {
        let source = HealthSample {
            success: if self.was_filled() { 0.5 } else { 0.0 },
            failure: if self.may_have_used_source() { 0.5 } else { 0.0 },
        };
        HealthEffect { host: HealthSample::SLOW, source, avoided: None }
    }

    /// The effect of a failure, attributed by the cache status where there is one.
    fn failure_effect(&self) -> HealthEffect {
        let host = Some(self.attempt.host);
        let source = self.attempt.source;
        match self.end.cache_status {
            CacheStatus::NoFillCapacity => HealthEffect::NONE.avoiding(host),
            // The origin failed, not the source, and another source would ask the same origin.
            CacheStatus::OriginFailed => HealthEffect::HOST_ANSWERED,
            CacheStatus::SourceRejected | CacheStatus::SourceUnreachable | CacheStatus::SourceMiss => {
                HealthEffect { host: HealthSample::SUCCESS, source: HealthSample::FAILURE, avoided: source }
            }
            _ if self.is_failure_unattributable() => HealthEffect {
                host: HealthSample::HALF_FAILURE,
                source: HealthSample::HALF_FAILURE,
                avoided: source,
            },
            _ => HealthEffect::HOST_FAILED.avoiding(host),
        }
    }
}

impl RoutingState {
    /// Records the end of an attempt, and returns the host that later attempts of the request avoid.
    pub(crate) fn record_attempt_end(&mut self, ended: &EndedAttempt) -> Option<HostId> {
        let now = self.now;
        self.record_load(ended);
        self.fill_limits.attempt_ended(ended.source_location, ended.source_use);
        let is_size_informative = ended.has_size && self.config.stream_kb_per_s > 0.0;
        if ended.has_succeeded() && !is_size_informative {
            self.class_stats_mut(ended.class).record_transfer(now, ended.end.duration.as_secs_f64());
        }
        if let Some(host) = ended.unreachable_host().and_then(|id| self.endpoints.get_mut(id)) {
            host.warm_up.presume_restart(now);
        }
        let effect = ended.health_effect();
        self.endpoints.record_health(ended.attempt.host, now, effect.host);
        self.record_fill_timing(ended, &effect);
        if let Some(source) = ended.attempt.source {
            self.endpoints.record_health(source, now, effect.source);
        }
        effect.avoided
    }

    /// Updates the attempts in flight, hit durations and slow start of the host.
    fn record_load(&mut self, ended: &EndedAttempt) {
        let now = self.now;
        let Some(host) = self.endpoints.get_mut(ended.attempt.host) else { return };
        host.load.attempt_ended();
        if ended.has_succeeded() && ended.end.cache_status == CacheStatus::Hit && ended.has_size {
            host.load.record_hit(now, ended.end.duration.as_secs_f64(), ended.transfer_s);
        }
        if matches!(ended.end.outcome, Outcome::Succeeded | Outcome::Miss) {
            host.warm_up.record_answer();
        }
    }

    /// Records whether a fill met its latency objective. A late fill isn't counted when its host or source is already
    /// ejected.
    fn record_fill_timing(&mut self, ended: &EndedAttempt, effect: &HealthEffect) {
        let Some(source_location) = ended.source_location else { return };
        let now = self.now;
        let timeliness = if self.is_late(ended, effect) {
            Timeliness::Late
        } else if ended.has_succeeded() && ended.is_in_time {
            Timeliness::Timely
        } else {
            return;
        };
        if timeliness == Timeliness::Late && self.is_host_or_source_ejected(&ended.attempt, now) {
            return;
        }
        // A copy that the parent had cached measures the link to the parent; a copy that the parent had to fetch
        // measures the fetch as well.
        let is_timed = matches!(ended.end.outcome, Outcome::Succeeded | Outcome::TimedOut);
        let is_cached_at_source =
            ended.source_use == SourceUse::CachedOnly || ended.end.cache_status == CacheStatus::Filled;
        let timing = FillTiming {
            timeliness,
            source_location,
            measures_link: is_timed && ended.may_have_used_source() && is_cached_at_source,
            source_use: ended.source_use,
            status_unreported: ended.status_unreported,
        };
        self.fill_limits.record(now, timing);
    }

    /// Whether an attempt counts as a late fill.
    ///
    /// Where responses carry a cache status, a parent that rejects or is down doesn't count, as the status distinguishes
    /// it from a failed origin.
    fn is_late(&self, ended: &EndedAttempt, effect: &HealthEffect) -> bool {
        match ended.end.outcome {
            Outcome::Succeeded => !ended.is_in_time,
            Outcome::TimedOut => ended.end.first_byte_sent,
            _ if ended.end.cache_status == CacheStatus::OriginFailed => true,
            _ => {
                let is_from_origin =
                    ended.attempt.source.is_some_and(|id| self.endpoints.is_usable_origin(id));
                (ended.status_unreported || is_from_origin) && effect.source.failure > 0.0
            }
        }
    }

    /// Whether the host or the source of an attempt is ejected as an outlier.
    fn is_host_or_source_ejected(&self, attempt: &Attempt, now: Duration) -> bool {
        let is_ejected = |id: HostId| self.endpoints.is_ejected(id, now);
        is_ejected(attempt.host) || attempt.source.is_some_and(is_ejected)
    }
}
