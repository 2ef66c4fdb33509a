//! What the end of an attempt says of its host, its source and the path between them.

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

/// An attempt that ended, with what of its request bears on the judgement.
#[derive(Debug)]
pub(crate) struct EndedAttempt<'a> {
    end: &'a AttemptEnd,
    attempt: Attempt,
    source_use: SourceUse,
    source_location: Option<LocationId>,
    class: ClassId,
    has_size: bool,
    transfer_s: f64,
    /// Whether the latency objective of the request has not passed.
    is_in_time: bool,
    /// Whether it took longer than an ordinary attempt.
    is_slow: bool,
    /// Whether responses report nothing of hits and fills.
    status_unreported: bool,
}

/// What an outcome says of the host and the source, and what the request avoids from now on.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Verdict {
    host: HealthSample,
    source: HealthSample,
    avoided: Option<HostId>,
}

impl Verdict {
    /// Neither the host nor the source is judged.
    const NONE: Verdict = Verdict { host: HealthSample::NONE, source: HealthSample::NONE, avoided: None };
    /// The host answered, and nothing is said of the source.
    const HOST_ANSWERED: Verdict = Verdict { host: HealthSample::SUCCESS, ..Verdict::NONE };
    /// The host failed, and nothing is said of the source.
    const HOST_FAILED: Verdict = Verdict { host: HealthSample::FAILURE, ..Verdict::NONE };

    fn avoiding(self, avoided: Option<HostId>) -> Self {
        Verdict { avoided, ..self }
    }
}

impl<'a> EndedAttempt<'a> {
    /// The end of an attempt of a request, at a time.
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

    /// Whether it surely or possibly went on to its source.
    fn went_to_source(&self) -> bool {
        self.attempt.source.is_some() && self.end.cache_status != CacheStatus::Hit
    }

    /// Whether its copy came from the source, as far as is reported.
    fn was_filled(&self) -> bool {
        let is_filled = matches!(self.end.cache_status, CacheStatus::Filled | CacheStatus::FilledByOrigin);
        self.status_unreported || is_filled
    }

    /// Whether nothing tells which of host and source failed.
    fn is_failure_of_either(&self) -> bool {
        if !self.went_to_source() {
            return false;
        }
        match self.end.outcome {
            Outcome::TimedOut => self.end.first_byte_sent,
            Outcome::HostError | Outcome::Rejected => self.status_unreported,
            _ => false,
        }
    }

    /// The host that could not be reached.
    fn unreachable_host(&self) -> Option<HostId> {
        match (self.end.outcome, self.end.cache_status) {
            (Outcome::ConnectFailed | Outcome::ConnectionLost, _) => Some(self.attempt.host),
            (Outcome::Rejected, CacheStatus::SourceUnreachable) => self.attempt.source,
            _ => None,
        }
    }

    fn verdict(&self) -> Verdict {
        let host = Some(self.attempt.host);
        let source = self.attempt.source;
        // A fault of the connection: the same host, which may have cached what was damaged, is tried once more.
        let host_after_retry = host.filter(|_| self.end.attempt.0 > 0);
        match self.end.outcome {
            Outcome::Succeeded if self.is_slow => self.slow_verdict(),
            Outcome::Succeeded if self.was_filled() => {
                Verdict { source: HealthSample::SUCCESS, ..Verdict::HOST_ANSWERED }
            }
            Outcome::Succeeded => Verdict::HOST_ANSWERED,
            Outcome::Miss => {
                Verdict::HOST_ANSWERED.avoiding(source.filter(|_| self.source_use == SourceUse::Fill))
            }
            Outcome::Cancelled => Verdict::NONE,
            Outcome::NotSent => Verdict::NONE.avoiding(host_after_retry),
            Outcome::MalformedResponse => Verdict::HOST_FAILED.avoiding(host_after_retry),
            _ => self.failure_verdict(),
        }
    }

    /// Slow, and nothing tells where: both count; what is a host's own shows beside the others of its role.
    fn slow_verdict(&self) -> Verdict {
        let source = HealthSample {
            success: if self.was_filled() { 0.5 } else { 0.0 },
            failure: if self.went_to_source() { 0.5 } else { 0.0 },
        };
        Verdict { host: HealthSample::SLOW, source, avoided: None }
    }

    fn failure_verdict(&self) -> Verdict {
        let host = Some(self.attempt.host);
        let source = self.attempt.source;
        match self.end.cache_status {
            CacheStatus::NoFillCapacity => Verdict::NONE.avoiding(host),
            // The source is not at fault, and another would ask the same origin.
            CacheStatus::OriginFailed => Verdict::HOST_ANSWERED,
            CacheStatus::SourceRejected | CacheStatus::SourceUnreachable | CacheStatus::SourceMiss => {
                Verdict { host: HealthSample::SUCCESS, source: HealthSample::FAILURE, avoided: source }
            }
            _ if self.is_failure_of_either() => Verdict {
                host: HealthSample::HALF_FAILURE,
                source: HealthSample::HALF_FAILURE,
                avoided: source,
            },
            _ => Verdict::HOST_FAILED.avoiding(host),
        }
    }
}

impl RoutingState {
    /// Records the end of an attempt, and returns the host that the request avoids from now on.
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
        let verdict = ended.verdict();
        self.endpoints.record_health(ended.attempt.host, now, verdict.host);
        self.record_fill_timing(ended, &verdict);
        if let Some(source) = ended.attempt.source {
            self.endpoints.record_health(source, now, verdict.source);
        }
        verdict.avoided
    }

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

    /// Records whether a fill came in time, unless it was late for a host that is ejected anyway.
    fn record_fill_timing(&mut self, ended: &EndedAttempt, verdict: &Verdict) {
        let Some(source_location) = ended.source_location else { return };
        let now = self.now;
        let timeliness = if self.is_late(ended, verdict) {
            Timeliness::Late
        } else if ended.has_succeeded() && ended.is_in_time {
            Timeliness::Timely
        } else {
            return;
        };
        if timeliness == Timeliness::Late && self.has_ejected_part(&ended.attempt, now) {
            return;
        }
        // What the parent had cached tells of the link; what it had to fetch tells of what lies behind it.
        let is_timed = matches!(ended.end.outcome, Outcome::Succeeded | Outcome::TimedOut);
        let is_cached_at_source =
            ended.source_use == SourceUse::CachedOnly || ended.end.cache_status == CacheStatus::Filled;
        let timing = FillTiming {
            timeliness,
            source_location,
            over_link: is_timed && ended.went_to_source() && is_cached_at_source,
            source_use: ended.source_use,
            status_unreported: ended.status_unreported,
        };
        self.fill_limits.record(now, timing);
    }

    /// Whether an attempt counts as a late fill. A parent that rejects or is down is told apart from what lies behind it,
    /// where responses report it.
    fn is_late(&self, ended: &EndedAttempt, verdict: &Verdict) -> bool {
        match ended.end.outcome {
            Outcome::Succeeded => !ended.is_in_time,
            Outcome::TimedOut => ended.end.first_byte_sent,
            _ if ended.end.cache_status == CacheStatus::OriginFailed => true,
            _ => {
                let is_from_origin =
                    ended.attempt.source.is_some_and(|id| self.endpoints.is_usable_origin(id));
                (ended.status_unreported || is_from_origin) && verdict.source.failure > 0.0
            }
        }
    }

    /// Whether the host or the source of an attempt is ejected.
    fn has_ejected_part(&self, attempt: &Attempt, now: Duration) -> bool {
        let is_ejected = |id: HostId| self.endpoints.is_ejected(id, now);
        is_ejected(attempt.host) || attempt.source.is_some_and(is_ejected)
    }
}
