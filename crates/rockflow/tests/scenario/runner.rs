//! Feeds events to a dispatcher and compares its actions with those expected.

use super::notation::{parse_config, parse_duration, parse_event, parse_host, Words};
use rockflow::{Action, Attempt, AttemptNumber, Dispatcher, Event, HostId, RequestId, TimerId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Runs the lines of one scenario on a dispatcher.
#[derive(Default)]
pub struct ScenarioRunner {
    dispatcher: Option<Dispatcher>,
    /// The hosts of the attempts sent for each request, by attempt number.
    sent_to: BTreeMap<RequestId, Vec<HostId>>,
    /// The hosts that names of the form `$x` matched first, by name without `$`.
    bound_hosts: BTreeMap<String, HostId>,
    /// Timers that have not fired, with the time at which they are due.
    timers: Vec<(Duration, TimerId)>,
    /// Actions that the dispatcher returned and that have not been compared yet.
    actions: VecDeque<Action>,
}

impl ScenarioRunner {
    /// Runs the first step of a line, a configuration or an event.
    pub fn run_step(&mut self, step: &[&str]) -> Result<(), String> {
        match step[0] {
            "config" => {
                let mut dispatcher = Dispatcher::new(parse_config(Words(step)), 1);
                self.actions.extend(dispatcher.start());
                self.dispatcher = Some(dispatcher);
            }
            "at" => {
                let now = parse_duration(step[1]);
                self.fire_timers(now);
                let host_of_attempt = |request, attempt| self.host_of_attempt(request, attempt);
                if let Some(event) = parse_event(Words(&step[2..]), host_of_attempt) {
                    self.handle(now, event);
                }
            }
            other => return Err(format!("unknown command: {other}")),
        }
        Ok(())
    }

    /// Compares the next action with the expected one.
    pub fn expect_action(&mut self, step: &[&str]) -> Result<(), String> {
        if step[0] == "ignore" {
            self.actions.clear();
            return Ok(());
        }
        let action = self.actions.pop_front().ok_or("no further action")?;
        if self.matches(step, &action) {
            Ok(())
        } else {
            Err(format!("the action was {action:?}"))
        }
    }

    /// Actions that no expected action was compared with so far.
    pub fn unexpected_actions(&self) -> &VecDeque<Action> {
        &self.actions
    }

    fn handle(&mut self, now: Duration, event: Event) {
        let dispatcher = self.dispatcher.as_mut().expect("a scenario starts with `config`");
        for action in dispatcher.handle(now, event) {
            match action {
                Action::SetTimer { timer, delay } => self.timers.push((now + delay, timer)),
                Action::SendAttempt { request, attempt } => {
                    self.sent_to.entry(request).or_default().push(attempt.host);
                    self.actions.push_back(action);
                }
                other => self.actions.push_back(other),
            }
        }
    }

    fn fire_timers(&mut self, until: Duration) {
        self.timers.sort();
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= until) {
            self.timers.remove(0);
            self.handle(at, Event::TimerFired(timer));
            self.timers.sort();
        }
    }

    fn host_of_attempt(&self, request: RequestId, attempt: AttemptNumber) -> HostId {
        let hosts = self.sent_to.get(&request);
        hosts.and_then(|hosts| hosts.get(usize::from(attempt.0))).copied().unwrap_or(HostId(0))
    }

    fn matches(&mut self, step: &[&str], action: &Action) -> bool {
        let words = Words(step);
        let names_request =
            |request: RequestId| step.get(1).is_some_and(|word| *word == format!("q{}", request.0));
        match action {
            Action::SendAttempt { request, attempt } => {
                step[0] == "send" && names_request(*request) && self.matches_attempt(step, attempt)
            }
            Action::CancelAttempt { request, attempt } => {
                step[0] == "cancel"
                    && names_request(*request)
                    && u64::from(attempt.0) == words.number("attempt", 0)
            }
            Action::Reject { request, retry_after } => {
                step[0] == "reject"
                    && names_request(*request)
                    && retry_after.is_some() == words.has("retry-after")
            }
            Action::Fail { request } => step[0] == "fail" && names_request(*request),
            Action::Subscribe { on: true } => step[0] == "subscribe",
            _ => false,
        }
    }

    fn matches_attempt(&mut self, step: &[&str], attempt: &Attempt) -> bool {
        let words = Words(step);
        // Both are evaluated before the comparison, as each may bind a `$x`.
        let is_source = self.matches_source(step, attempt.source);
        let is_host = self.matches_host(step[2], attempt.host);
        let is_timeout_under = |text| attempt.timeout.is_some_and(|timeout| timeout < parse_duration(text));
        let priority = format!("{:?}", attempt.cache_priority).to_lowercase();
        is_source
            && is_host
            && words.value("max-age").is_none_or(|text| matches_duration(text, attempt.max_age))
            && words.value("timeout-under").is_none_or(is_timeout_under)
            && words.value("send-by").is_none_or(|text| matches_duration(text, attempt.send_by))
            && words.value("revalidate").is_none_or(|text| attempt.revalidate == (text == "yes"))
            && words.value("cached-only").is_none_or(|text| attempt.cached_at_source_only == (text == "yes"))
            && words.value("priority").is_none_or(|text| priority == text.replace('-', ""))
    }

    /// Compares with `from HOST` or `from none`; a step without `from` matches any source.
    fn matches_source(&mut self, step: &[&str], source: Option<HostId>) -> bool {
        let Some(from_index) = step.iter().position(|word| *word == "from") else { return true };
        match (step[from_index + 1], source) {
            ("none", source) => source.is_none(),
            (pattern, Some(source)) => self.matches_host(pattern, source),
            (_, None) => false,
        }
    }

    fn matches_host(&mut self, pattern: &str, actual: HostId) -> bool {
        if let Some(name) = pattern.strip_prefix("!$") {
            return self.bound_hosts.get(name).is_some_and(|bound| *bound != actual);
        }
        match pattern.strip_prefix('$') {
            Some(name) => *self.bound_hosts.entry(name.to_string()).or_insert(actual) == actual,
            None => pattern == "any" || parse_host(pattern) == actual,
        }
    }
}

/// Compares an optional duration, where `any` stands for `None`.
fn matches_duration(text: &str, actual: Option<Duration>) -> bool {
    match text {
        "any" => actual.is_none(),
        text => actual == Some(parse_duration(text)),
    }
}
