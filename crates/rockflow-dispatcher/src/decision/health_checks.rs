//! Health checks: sent on request of the decision logic, and ended by a response, a failure or a timeout.

use crate::decision::deadlines::Deadline;
use crate::decision::DecisionActor;
use crate::host::message::HostMessage;
use rockflow::{Event, HostId, Outcome};
use rockflow_protocol::upstream::{HealthCheckKind, HostResponse, Status};
use std::collections::BTreeMap;
use std::time::Duration;

/// A health check that has not ended.
struct HealthCheck {
    host: HostId,
    started: Duration,
}

/// Owns the health checks in flight, keyed by tag.
#[derive(Default)]
pub(super) struct HealthChecks {
    in_flight: BTreeMap<u64, HealthCheck>,
    next_tag: u64,
}

impl HealthChecks {
    /// Registers a health check and returns its tag.
    fn start(&mut self, host: HostId, now: Duration) -> u64 {
        let tag = self.next_tag;
        self.next_tag += 1;
        self.in_flight.insert(tag, HealthCheck { host, started: now });
        tag
    }

    /// Whether the health check with this tag has not ended.
    pub(super) fn is_in_flight(&self, tag: u64) -> bool {
        self.in_flight.contains_key(&tag)
    }
}

impl DecisionActor {
    /// Sends a health check to a host. It fails at once if the host is not listed, and times out like a connect.
    pub(super) fn check_health(&mut self, host: HostId) {
        let now = self.dependencies.clock.now();
        let tag = self.health_checks.start(host, now);
        let timeout = self.dependencies.pool.connect_timeout;
        self.deadlines.push(now + timeout, Deadline::HealthCheck(tag));
        let wants_report = !self.dependencies.load_report.is_empty();
        let kind = if wants_report { HealthCheckKind::LoadReport } else { HealthCheckKind::Liveness };
        match self.host_handle(host) {
            Some(handle) => handle.send(HostMessage::CheckHealth { tag, kind }),
            None => self.end_health_check(tag, Outcome::NotSent, Vec::new()),
        }
    }

    /// Handles the response to a health check.
    pub(super) fn on_health_check_answered(&mut self, tag: u64, response: &HostResponse) {
        let is_healthy = response.status == Status::Healthy;
        let outcome = if is_healthy { Outcome::Succeeded } else { Outcome::HostError };
        let report = self.load_report(response);
        self.end_health_check(tag, outcome, report);
    }

    /// Reports the end of a health check to the decision logic; does nothing if it has already ended.
    pub(super) fn end_health_check(&mut self, tag: u64, outcome: Outcome, load_report: Vec<f32>) {
        let Some(HealthCheck { host, started }) = self.health_checks.in_flight.remove(&tag) else { return };
        let duration = self.dependencies.clock.now().saturating_sub(started);
        self.events.push_back(Event::HealthChecked { host, outcome, duration, load_report });
    }

    /// The values of the load report in the configured order, with 0 for a missing value. Empty if the response has no
    /// load report.
    fn load_report(&self, response: &HostResponse) -> Vec<f32> {
        if response.load.is_empty() {
            return Vec::new();
        }
        let value_of = |name: &String| response.load.iter().find(|value| value.name == *name);
        let names = self.dependencies.load_report.iter();
        names.map(|name| value_of(name).map_or(0.0, |found| found.value)).collect()
    }
}
