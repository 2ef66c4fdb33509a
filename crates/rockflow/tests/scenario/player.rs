//! Feeds events to a dispatcher and compares its actions with those expected.

use super::notation::{parse_config, parse_duration, parse_event, parse_host, Words};
use rockflow::{Action, Attempt, AttemptNumber, Dispatcher, Event, HostId, RequestId, TimerId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A dispatcher with what was sent and what is still to be expected.
#[derive(Default)]
pub struct Player {
    dispatcher: Option<Dispatcher>,
    /// The hosts of the attempts sent, by request.
    sent_to: BTreeMap<RequestId, Vec<HostId>>,
    /// The hosts that `$x` stand for.
    bound_hosts: BTreeMap<String, HostId>,
    timers: Vec<(Duration, TimerId)>,
    actions: VecDeque<Action>,
}

impl Player {
    /// Plays the first step of a line.
    pub fn play(&mut self, step: &[&str]) -> Result<(), String> {
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
            other => return Err(format!("no such line: {other}")),
        }
        Ok(())
    }

    /// Compares the next action with the one expected.
    pub fn expect_action(&mut self, step: &[&str]) -> Result<(), String> {
        if step[0] == "ignore" {
            self.actions.clear();
            return Ok(());
        }
        let action = self.actions.pop_front().ok_or("no action came")?;
        if self.matches(step, &action) {
            Ok(())
        } else {
            Err(format!("came: {action:?}"))
        }
    }

    /// Actions that came and were not expected so far.
    pub fn unexpected_actions(&self) -> &VecDeque<Action> {
        &self.actions
    }

    fn handle(&mut self, now: Duration, event: Event) {
        let dispatcher = self.dispatcher.as_mut().expect("the configuration comes first");
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
        let is = |request: RequestId| step.get(1).is_some_and(|word| *word == format!("q{}", request.0));
        match action {
            Action::SendAttempt { request, attempt } => {
                step[0] == "send" && is(*request) && self.matches_attempt(step, attempt)
            }
            Action::CancelAttempt { request, attempt } => {
                step[0] == "cancel" && is(*request) && u64::from(attempt.0) == words.number("attempt", 0)
            }
            Action::Reject { request, retry_after } => {
                step[0] == "reject" && is(*request) && retry_after.is_some() == words.has("retry-after")
            }
            Action::Fail { request } => step[0] == "fail" && is(*request),
            Action::Subscribe { on: true } => step[0] == "subscribe",
            _ => false,
        }
    }

    fn matches_attempt(&mut self, step: &[&str], attempt: &Attempt) -> bool {
        let words = Words(step);
        // Both are evaluated: each may bind a host.
        let is_source = self.matches_source(step, attempt.source);
        let is_host = self.matches_host(step[2], attempt.host);
        let is_under = |text| attempt.timeout.is_some_and(|timeout| timeout < parse_duration(text));
        let priority = format!("{:?}", attempt.cache_priority).to_lowercase();
        is_source
            && is_host
            && words.value("max-age").is_none_or(|text| is_time_or_any(text, attempt.max_age))
            && words.value("timeout-under").is_none_or(is_under)
            && words.value("send-by").is_none_or(|text| is_time_or_any(text, attempt.send_by))
            && words.value("revalidate").is_none_or(|text| attempt.revalidate == (text == "yes"))
            && words.value("cached-only").is_none_or(|text| attempt.cached_at_source_only == (text == "yes"))
            && words.value("priority").is_none_or(|text| priority == text.replace('-', ""))
    }

    /// `from HOST` or `from none`.
    fn matches_source(&mut self, step: &[&str], source: Option<HostId>) -> bool {
        let Some(place) = step.iter().position(|word| *word == "from") else { return true };
        match (step[place + 1], source) {
            ("none", source) => source.is_none(),
            (pattern, Some(source)) => self.matches_host(pattern, source),
            (_, None) => false,
        }
    }

    fn matches_host(&mut self, pattern: &str, found: HostId) -> bool {
        if let Some(name) = pattern.strip_prefix("!$") {
            return self.bound_hosts.get(name).is_some_and(|bound| *bound != found);
        }
        match pattern.strip_prefix('$') {
            Some(name) => *self.bound_hosts.entry(name.to_string()).or_insert(found) == found,
            None => pattern == "any" || parse_host(pattern) == found,
        }
    }
}

/// `any` stands for no time.
fn is_time_or_any(text: &str, found: Option<Duration>) -> bool {
    match text {
        "any" => found.is_none(),
        text => found == Some(parse_duration(text)),
    }
}
